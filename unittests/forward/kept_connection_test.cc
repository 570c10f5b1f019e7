#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "mangoport/forward/connection_pool.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;

constexpr char kRequest[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr char kStray[] = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";

/// A pool's loop and a server whose every byte the test writes itself.
class KeptConnection {
 public:
  KeptConnection()
      : timers_(io_),
        pool_(io_, timers_),
        acceptor_(server_io_, {asio::ip::make_address("127.0.0.1"), 0}) {}

  /// Sends a request on a connection of the pool.
  void Send() {
    status_.reset();
    failed_ = false;
    connection_ = pool_.Acquire(std::chrono::steady_clock::now(), "s",
                                acceptor_.local_endpoint(), /*fresh=*/false);
    connection_->Exchange(
        kRequest, /*bodyless=*/false,
        {.on_head =
             [this](const HttpHead& head) {
               status_ = head.status;
               return true;
             },
         .on_body = [](std::string_view) {},
         .on_complete = [this] { connection_.reset(); },
         .on_failed = [this](const HttpFailure&) { failed_ = true; }});
  }

  /// The server takes up a new connection.
  void Accept() { peers_.push_back(acceptor_.accept()); }

  void Answer(const std::string& bytes) {
    asio::write(peers_.back(), asio::buffer(bytes));
    // Loopback delivers at once, but for the scheduler.
    std::this_thread::sleep_for(milliseconds(20));
  }

  void CloseByServer() {
    peers_.back().close();
    std::this_thread::sleep_for(milliseconds(20));
  }

  /// The host's loop takes up what has arrived.
  void Run() {
    io_.restart();
    io_.run_for(milliseconds(60));
  }

  std::optional<int> status() const { return status_; }
  bool failed() const { return failed_; }
  std::uint64_t opened() const { return pool_.opened_total(); }

  /// One good exchange, after which the connection is kept.
  void FirstExchange() {
    Send();
    Run();
    Accept();
    Answer(kAnswer);
    Run();
    cr_assert_eq(*status_, 200);
  }

 private:
  asio::io_context io_;
  TimerQueue timers_;
  ConnectionPool pool_;
  asio::io_context server_io_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<asio::ip::tcp::socket> peers_;
  HttpConnection::Ptr connection_;
  std::optional<int> status_;
  bool failed_ = false;
};

Test(kept_connection, is_used_again) {
  KeptConnection it;
  it.FirstExchange();
  it.Send();
  it.Answer(kAnswer);
  it.Run();
  cr_assert_eq(*it.status(), 200);
  cr_assert_eq(it.opened(), 1);
}

// Bytes that a server wrote behind its answer were read as the answer to the
// next request, which was sent before the loop had seen them.
Test(kept_connection, bytes_from_before_a_request_are_not_its_answer) {
  KeptConnection it;
  it.FirstExchange();
  it.Answer(kStray);
  it.Send();
  it.Run();
  cr_assert_not(it.status().has_value(), "status %d", it.status().value_or(0));
  cr_assert_eq(it.opened(), 2);
  it.Accept();
  it.Answer(kAnswer);
  it.Run();
  cr_assert_eq(it.status().value_or(0), 200);
}

// A request was sent on a connection that the server had closed already, and
// might have run as far as the host could tell.
Test(kept_connection, one_that_the_server_has_closed_is_not_used) {
  KeptConnection it;
  it.FirstExchange();
  it.CloseByServer();
  it.Send();
  it.Run();
  cr_assert_not(it.failed());
  cr_assert_eq(it.opened(), 2);
}

// A request that was given up still reached its server out of this host's
// buffer, whole, once the server read on.
Test(given_up_request, does_not_leave_the_hosts_buffer_later) {
  constexpr std::size_t kBodyBytes = std::size_t{1} << 20;
  asio::io_context io;
  TimerQueue timers(io);
  ConnectionPool pool(io, timers);
  asio::io_context server_io;
  asio::ip::tcp::acceptor acceptor(server_io);
  acceptor.open(asio::ip::tcp::v4());
  // The server reads nothing yet, and its buffer is small.
  acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
  acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
  acceptor.listen();
  const HttpConnection::Ptr connection =
      pool.Acquire(std::chrono::steady_clock::now(), "s",
                   acceptor.local_endpoint(), /*fresh=*/false);
  connection->Exchange("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                           std::to_string(kBodyBytes) + "\r\n\r\n" +
                           std::string(kBodyBytes, 'a'),
                       /*bodyless=*/false,
                       {.on_head = [](const HttpHead&) { return true; },
                        .on_body = [](std::string_view) {},
                        .on_complete = [] {},
                        .on_failed = [](const HttpFailure&) {}});
  io.run_for(milliseconds(60));
  asio::ip::tcp::socket server = acceptor.accept();
  connection->Cancel();
  std::vector<char> bytes(2 * kBodyBytes);
  asio::error_code ec;
  const std::size_t n = asio::read(server, asio::buffer(bytes), ec);
  cr_assert_lt(n, kBodyBytes, "%zu bytes", n);
}

}  // namespace
}  // namespace mangoport
