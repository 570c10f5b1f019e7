// Servers that end or reset a connection before they have taken the request.
// The system tells of a reset in one call only, and of an end of file after it.
#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "mangoport/forward/connection_pool.h"
#include "mangoport/forward/tcp_stream.h"

namespace mangoport {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

/// More than both systems hold of a connection's bytes.
constexpr std::size_t kRequestBytes = std::size_t{16} << 20;
/// Less than this host's system takes, and more than a server's does.
constexpr std::size_t kBufferedBytes = std::size_t{512} << 10;
constexpr int kSmallBuffer = 4096;
constexpr char kUnframedHead[] = "HTTP/1.1 200 OK\r\n\r\n";

/// Loopback delivers at once, but for the scheduler.
void LetArrive() {
  std::this_thread::sleep_for(milliseconds(20));
}

/// A listener whose connections take little of what they are sent.
class SlowListener {
 public:
  SlowListener() : acceptor_(io_) {
    acceptor_.open(tcp::v4());
    acceptor_.set_option(asio::socket_base::receive_buffer_size(kSmallBuffer));
    acceptor_.bind({asio::ip::make_address("127.0.0.1"), 0});
    acceptor_.listen();
  }

  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  tcp::socket Accept() { return acceptor_.accept(); }

 private:
  asio::io_context io_;
  tcp::acceptor acceptor_;
};

void Reset(tcp::socket& socket) {
  socket.set_option(asio::socket_base::linger(true, 0));
  socket.close();
  LetArrive();
}

/// One large request of a pool to a server whose every byte the test writes.
class LargeExchange {
 public:
  explicit LargeExchange(std::size_t request_bytes = kRequestBytes)
      : timers_(io_), pool_(io_, timers_) {
    connection_ = pool_.Acquire(std::chrono::steady_clock::now(), "s",
                                listener_.endpoint(), /*fresh=*/false);
    connection_->Exchange(
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
            std::to_string(request_bytes) + "\r\n\r\n" +
            std::string(request_bytes, 'a'),
        /*bodyless=*/false,
        {.on_head = [](const HttpHead&) { return true; },
         .on_body = [this](std::string_view it) { body_.append(it); },
         .on_complete = [this] { complete_ = true; },
         .on_failed = [this](const HttpFailure& it) { failure_ = it; }});
    Run();
    server_.emplace(listener_.Accept());
  }

  /// The host's loop takes up what has arrived.
  void Run() {
    io_.restart();
    io_.run_for(kTurn);
  }

  /// The same until the exchange has ended, for 15 seconds at the most.
  void RunToEnd() {
    for (int i = 0; i < kMaxTurns && !complete_ && !failure_; ++i)
      Run();
  }

  void Answer(const std::string& bytes) {
    asio::write(*server_, asio::buffer(bytes));
    LetArrive();
  }

  tcp::socket& server() { return *server_; }

  void ExpectFailed(bool by_peer = true) {
    RunToEnd();
    cr_expect_not(complete_, "complete with the body '%s'", body_.c_str());
    cr_assert(failure_);
    cr_expect(failure_->request_sent);
    cr_expect_eq(failure_->by_peer, by_peer);
  }

  void ExpectComplete(const std::string& body) {
    RunToEnd();
    cr_expect(complete_);
    cr_expect_eq(body_.size(), body.size(), "%zu bytes", body_.size());
    cr_expect(body_ == body);
  }

 private:
  static constexpr milliseconds kTurn{60};
  static constexpr int kMaxTurns = 250;

  asio::io_context io_;
  TimerQueue timers_;
  ConnectionPool pool_;
  SlowListener listener_;
  HttpConnection::Ptr connection_;
  std::optional<tcp::socket> server_;
  std::string body_;
  bool complete_ = false;
  std::optional<HttpFailure> failure_;
};

// NOLINTBEGIN: Criterion's macros
// The write took the reset, and the read behind it found an end of file: a part
// of an answer without a length was passed on as a whole one.
Test(reset_answer, is_not_complete_while_its_request_is_written) {
  LargeExchange it;
  it.Answer(kUnframedHead + std::string("first part"));
  it.Run();
  Reset(it.server());
  it.ExpectFailed();
}

Test(reset_answer, is_not_complete_behind_its_head) {
  LargeExchange it;
  it.Answer(kUnframedHead);
  it.Run();
  Reset(it.server());
  it.ExpectFailed();
}

// Head, first part and reset arrive together.
Test(reset_answer, is_not_complete_if_it_comes_at_once) {
  LargeExchange it;
  it.Answer(kUnframedHead + std::string("first part"));
  Reset(it.server());
  it.ExpectFailed();
}

// The system resets a connection that is closed over unread bytes.
Test(reset_answer, is_not_complete_if_the_server_closes_over_unread_bytes) {
  LargeExchange it;
  it.Answer(kUnframedHead + std::string("first part"));
  it.Run();
  it.server().close();
  LetArrive();
  it.ExpectFailed();
}

// A server that ends its side and then resets has not taken the request, and
// has ended as one does whose process is killed.
Test(reset_answer, is_not_complete_if_an_end_comes_before_the_reset) {
  // The rest of the request waits in this process, or in the system only.
  for (const std::size_t request_bytes : {kRequestBytes, kBufferedBytes}) {
    LargeExchange it(request_bytes);
    it.Answer(kUnframedHead + std::string("first part"));
    it.server().shutdown(tcp::socket::shutdown_send);
    LetArrive();
    it.Run();
    Reset(it.server());
    it.ExpectFailed();
  }
}

// The end and the reset are there when the loop turns to the connection.
Test(reset_answer, is_not_complete_if_end_and_reset_come_together) {
  LargeExchange it;
  it.Answer(kUnframedHead + std::string("first part"));
  it.server().shutdown(tcp::socket::shutdown_send);
  Reset(it.server());
  it.ExpectFailed();
}

// A server may answer early, end its side and read the rest of the request.
Test(early_answer, is_complete_if_its_request_is_taken_later) {
  for (const std::size_t request_bytes : {kRequestBytes, kBufferedBytes}) {
    LargeExchange it(request_bytes);
    it.Answer(kUnframedHead + std::string("whole"));
    it.server().shutdown(tcp::socket::shutdown_send);
    it.Run();
    std::thread reader([&it, request_bytes] {
      std::vector<char> bytes(request_bytes);
      asio::error_code ec;
      asio::read(it.server(), asio::buffer(bytes), ec);
    });
    it.ExpectComplete("whole");
    reader.join();
  }
}

// The end has come in order, and nothing was left to be taken.
Test(early_answer, is_complete_if_its_end_comes_first, .timeout = 60) {
  LargeExchange it(/*request_bytes=*/10);
  it.Answer(kUnframedHead + std::string("whole"));
  it.server().shutdown(tcp::socket::shutdown_send);
  Reset(it.server());
  it.ExpectComplete("whole");
}

// A server that takes no more of its request is not waited for without end.
Test(early_answer, is_not_complete_if_its_request_is_never_taken) {
  LargeExchange it;
  it.Answer(kUnframedHead + std::string("whole"));
  it.server().shutdown(tcp::socket::shutdown_send);
  it.ExpectFailed(/*by_peer=*/false);
}

// What has arrived whole is delivered, whatever becomes of the connection.
Test(early_answer, with_a_length_is_complete_before_a_reset) {
  LargeExchange it;
  it.Answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
  Reset(it.server());
  it.ExpectComplete("whole");
}

// A look at what has arrived is a call that takes the reset as well.
Test(tcp_stream, tells_of_a_reset_that_a_look_has_met) {
  for (const auto& look : std::vector<std::function<void(TcpStream&)>>{
           [](TcpStream& it) { it.PeerHasClosed(); },
           [](TcpStream& it) { it.HasUnread(); },
           [](TcpStream& it) { it.IsQuiet(); }}) {
    asio::io_context io;
    SlowListener listener;
    tcp::socket socket(io);
    socket.connect(listener.endpoint());
    const auto stream = std::make_shared<TcpStream>(std::move(socket));
    bool ended = false;
    asio::error_code loss;
    stream->Start(
        {.on_data = [](std::string_view) {},
         .on_end = [&ended] { ended = true; },
         .on_error = [&loss](const asio::error_code& ec) { loss = ec; },
         .on_drained = {}});
    tcp::socket server = listener.Accept();
    Reset(server);
    look(*stream);
    io.run_for(milliseconds(60));
    cr_expect_not(ended);
    cr_expect_eq(loss.value(), ECONNRESET);
    stream->Close();
  }
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
