#include "mangoport/forward/client_session.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::milliseconds;

constexpr char kRequest[] = "GET /a/ HTTP/1.1\r\nHost: a.example\r\n\r\n";

/// A caller on loopback and this host's end of its connection.
class Caller {
 public:
  Caller()
      : acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}),
        socket_(io_),
        timers_(io_) {
    acceptor_.set_option(asio::socket_base::receive_buffer_size(kBufferBytes));
    socket_.connect(acceptor_.local_endpoint());
    asio::write(socket_, asio::buffer(kRequest, sizeof(kRequest) - 1));
  }

  /// Sends more behind the request than the host reads at once.
  void SendAhead() {
    asio::write(socket_, asio::buffer(std::string(kBufferBytes / 8, 'a')));
  }

  void Leave() { socket_.close(); }

  /// The host takes up what has arrived; returns how many requests it got.
  int TakeUp() {
    int requests = 0;
    const auto session = std::make_shared<ClientSession>(
        std::make_shared<TcpStream>(acceptor_.accept()), timers_, memory_,
        IngressLimits(),
        ClientSessionHooks{
            .on_request = [&requests](const std::shared_ptr<ClientSession>&,
                                      const HttpRequest&) { ++requests; },
            .on_refused = {},
            .on_closed = {}});
    session->Start(std::chrono::steady_clock::now());
    for (int i = 0; i < kMaxTurns && requests == 0; ++i)
      io_.run_one_for(kTurn);
    return requests;
  }

 private:
  static constexpr int kBufferBytes = 1 << 20;
  static constexpr int kMaxTurns = 20;
  static constexpr Duration kTurn = milliseconds(20);

  CallerMemory memory_{std::size_t{1} << 30};
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
  TimerQueue timers_;
};

Test(client_session, a_request_whose_caller_waits_is_taken_up) {
  Caller caller;
  cr_assert_eq(caller.TakeUp(), 1);
}

// The host stood still, for want of processor time, while a request arrived and
// its caller gave up: both are found in the socket together, and the request
// must not be sent on.
Test(client_session, a_request_whose_caller_left_meanwhile_is_dropped) {
  Caller caller;
  caller.Leave();
  cr_assert_eq(caller.TakeUp(), 0);
}

// Bytes behind the request hid that its caller had left.
Test(client_session, a_request_with_more_behind_it_is_dropped_as_well) {
  Caller caller;
  caller.SendAhead();
  caller.Leave();
  cr_assert_eq(caller.TakeUp(), 0);
}

/// A caller that sends and reads as it likes, and the session that serves it.
class Conversation {
 public:
  using OnRequest =
      std::function<void(const std::shared_ptr<ClientSession>&, HttpRequest)>;

  explicit Conversation(OnRequest on_request)
      : acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}),
        socket_(io_),
        timers_(io_) {
    socket_.connect(acceptor_.local_endpoint());
    socket_.non_blocking(true);
    session_ = std::make_shared<ClientSession>(
        std::make_shared<TcpStream>(acceptor_.accept()), timers_, memory_,
        IngressLimits(),
        ClientSessionHooks{.on_request = std::move(on_request),
                           .on_refused = {},
                           .on_use = [this](const ClientSession*,
                                            ConnectionUse use) { use_ = use; },
                           .on_closed = {}});
    session_->Start(std::chrono::steady_clock::now());
  }

  /// Sends the bytes and lets both sides go on until nothing happens any more.
  void Send(std::string_view bytes) {
    unsent_.append(bytes);
    Settle();
  }

  void Settle() {
    while (Write() + Read() + io_.run_one_for(kQuiet) > 0) {
    }
  }

  /// Whether the caller reads what arrives.
  void set_reads(bool reads) { reads_ = reads; }

  ClientSession& session() { return *session_; }

  /// What the session said last of the use of its connection.
  ConnectionUse use() const { return use_; }

  /// All that the caller has read so far.
  const std::string& received() const { return received_; }

  int CountReceived(std::string_view text) const {
    int n = 0;
    for (std::size_t at = received_.find(text); at != std::string::npos;
         at = received_.find(text, at + text.size()))
      ++n;
    return n;
  }

 private:
  static constexpr Duration kQuiet = milliseconds(100);

  std::size_t Write() {
    asio::error_code error;
    const std::size_t n = socket_.write_some(asio::buffer(unsent_), error);
    unsent_.erase(0, n);
    return n;
  }

  std::size_t Read() {
    if (!reads_)
      return 0;
    asio::error_code error;
    std::string piece(std::size_t{64} * 1024, '\0');
    const std::size_t n = socket_.read_some(asio::buffer(piece), error);
    received_.append(piece, 0, n);
    return n;
  }

  CallerMemory memory_{std::size_t{1} << 30};
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
  TimerQueue timers_;
  std::shared_ptr<ClientSession> session_;
  std::string unsent_;
  std::string received_;
  ConnectionUse use_ = ConnectionUse::kIdle;
  bool reads_ = true;
};

// The second of two requests that came together was under way on a connection
// that counted as idle, so it could be closed for a new one.
Test(client_session, a_connection_is_busy_with_each_request) {
  Conversation caller(
      [](const std::shared_ptr<ClientSession>&, const HttpRequest&) {});
  caller.Send(std::string(kRequest) + kRequest + "GET /a/ HT");
  for (int i = 0; i < 2; ++i) {
    cr_assert_eq(caller.use(), ConnectionUse::kBusy);
    caller.session().Answer({.status = 200});
    caller.Settle();
  }
  cr_assert_eq(caller.use(), ConnectionUse::kUnfinished);
}

// While the first request is served, its caller sends thousands ahead that are
// all refused at once. None may be answered inside the call of another one, or
// the stack ends before the requests do.
Test(client_session, requests_sent_ahead_are_refused_one_after_another) {
  constexpr int kAhead = 4500;
  constexpr std::string_view kShort = "GET / HTTP/1.1\r\nHost:\r\n\r\n";
  int requests = 0;
  int depth = 0;
  int deepest = 0;
  Conversation caller(
      [&](const std::shared_ptr<ClientSession>& session, const HttpRequest&) {
        deepest = std::max(deepest, ++depth);
        if (++requests > 1)
          session->Answer({.status = 503});
        --depth;
      });
  std::string all(kRequest);
  for (int i = 0; i < kAhead; ++i)
    all.append(kShort);
  caller.Send(all);
  cr_assert_eq(requests, 1);

  caller.session().Answer({.status = 200});
  caller.Settle();
  cr_expect_eq(deepest, 1, "%d requests deep", deepest);
  cr_expect_eq(caller.CountReceived("HTTP/1.1 200 "), 1);
  cr_expect_eq(caller.CountReceived("HTTP/1.1 503 "), kAhead);
}

// A caller that sends requests and takes no answers made the host keep them
// all. It is read on when it takes them, and none is lost.
Test(client_session, a_caller_that_takes_no_answers_is_read_no_more) {
  constexpr int kRequests = 5000;
  constexpr std::size_t kBodyBytes = 10000;
  constexpr std::size_t kMostUnsent = std::size_t{512} * 1024;
  std::size_t most = 0;
  Conversation caller(
      [&](const std::shared_ptr<ClientSession>& session, const HttpRequest&) {
        session->Answer({.status = 200, .body = std::string(kBodyBytes, 'x')});
        most = std::max(most, session->unsent());
      });
  caller.set_reads(false);
  std::string all;
  for (int i = 0; i < kRequests; ++i)
    all.append(kRequest);
  caller.Send(all);
  cr_expect_lt(most, kMostUnsent, "%zu bytes", most);
  caller.set_reads(true);
  caller.Settle();
  cr_expect_eq(caller.CountReceived("HTTP/1.1 200 "), kRequests);
  cr_expect_lt(most, kMostUnsent, "%zu bytes", most);
}

/// Answers a request in one of the ways that have a body.
void AnswerInPieces(const std::shared_ptr<ClientSession>& session) {
  session->BeginAnswer(200, {}, {}, "first");
  session->SendPiece("second");
  session->EndAnswer();
}

// The caller took the body of a HEAD for the start of its next answer.
Test(client_session, an_answer_in_pieces_to_head_has_no_body) {
  Conversation caller([](const std::shared_ptr<ClientSession>& session,
                         const HttpRequest&) { AnswerInPieces(session); });
  caller.Send("HEAD /a/ HTTP/1.1\r\nHost: a.example\r\n\r\n");
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  cr_expect_str_eq(caller.received().c_str(), head.c_str());
  caller.Send(kRequest);
  const std::string both =
      head + head + "5\r\nfirst\r\n6\r\nsecond\r\n0\r\n\r\n";
  cr_expect_str_eq(caller.received().c_str(), both.c_str());
}

// The refusal of a request behind a HEAD named a length and had no body.
Test(client_session, a_refusal_behind_head_has_its_body) {
  Conversation caller(
      [](const std::shared_ptr<ClientSession>& session, const HttpRequest&) {
        session->Answer({.status = 200});
      });
  caller.Send("HEAD /a/ HTTP/1.1\r\nHost: a.example\r\n\r\n");
  caller.Send("GET /a/ HTTP/1.1\r\nno field\r\n\r\n");
  cr_expect_eq(caller.CountReceived("HTTP/1.1 400 "), 1);
  cr_expect_eq(caller.CountReceived("the request is malformed"), 1);
}

// A length of 0 says that a GET would have no body, which nobody knows here;
// with 204 no length may be named at all.
Test(client_session, a_length_is_named_only_where_it_is_known) {
  int status = 0;
  std::string body;
  Conversation caller(
      [&](const std::shared_ptr<ClientSession>& session, const HttpRequest&) {
        session->AnswerWhole(status, "Any", {}, body);
      });
  const auto answer = [&](std::string_view method, int to_status,
                          std::string with_body) {
    status = to_status;
    body = std::move(with_body);
    const std::size_t before = caller.received().size();
    caller.Send(std::string(method) +
                " /a/ HTTP/1.1\r\nHost: a.example\r\n\r\n");
    return caller.received().substr(before);
  };
  const auto expect = [&](const std::string& got, const char* wanted) {
    cr_expect_str_eq(got.c_str(), wanted);
  };
  expect(answer("HEAD", 200, ""), "HTTP/1.1 200 Any\r\n\r\n");
  expect(answer("HEAD", 200, "abc"),
         "HTTP/1.1 200 Any\r\nContent-Length: 3\r\n\r\n");
  expect(answer("GET", 204, ""), "HTTP/1.1 204 Any\r\n\r\n");
  expect(answer("GET", 204, "abc"), "HTTP/1.1 204 Any\r\n\r\n");
  expect(answer("GET", 304, ""), "HTTP/1.1 304 Any\r\n\r\n");
  expect(answer("GET", 200, ""),
         "HTTP/1.1 200 Any\r\nContent-Length: 0\r\n\r\n");
  expect(answer("GET", 200, "abc"),
         "HTTP/1.1 200 Any\r\nContent-Length: 3\r\n\r\nabc");
}

}  // namespace
}  // namespace mangoport
