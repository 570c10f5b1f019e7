// When and how a caller's connection is closed.
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "mangoport/forward/client_session.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kRequest =
    "GET /a/ HTTP/1.1\r\nHost: a.example\r\n\r\n";
constexpr std::string_view kLastRequest =
    "GET /a/ HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n";

/// More than the system keeps for one connection on its way.
constexpr std::size_t kLargeBody = std::size_t{32} << 20;

/// A caller on loopback and this host's session with it.
class Call {
 public:
  explicit Call(IngressLimits limits = {}) {
    asio::ip::tcp::acceptor acceptor(io_,
                                     {asio::ip::make_address("127.0.0.1"), 0});
    socket_.connect(acceptor.local_endpoint());
    socket_.non_blocking(true);
    session_ = std::make_shared<ClientSession>(
        std::make_shared<TcpStream>(acceptor.accept()), timers_, memory_,
        limits,
        ClientSessionHooks{
            .on_request =
                [this](const std::shared_ptr<ClientSession>&,
                       const HttpRequest&) {
                  ++requests_;
                  if (on_request_)
                    on_request_();
                },
            .on_refused = {},
            .on_dropped = [this](std::string_view reason, const HttpHead&,
                                 std::size_t) { dropped_ = reason; },
            .on_closed = [this](const ClientSession*) { closed_ = true; }});
    session_->Start(std::chrono::steady_clock::now());
  }

  void Send(std::string_view bytes) {
    asio::write(socket_, asio::buffer(bytes.data(), bytes.size()));
  }

  /// Lets the host work for `time`.
  void Run(Duration time) {
    io_.restart();
    io_.run_for(time);
  }

  /// Lets the host work until it has taken up `n` requests, for a second.
  bool RunUntilRequest(int n) {
    for (int i = 0; i < 100 && requests_ < n; ++i)
      Run(milliseconds(10));
    return requests_ >= n;
  }

  /// Reads what has arrived.
  void Read() {
    std::vector<char> bytes(std::size_t{1} << 20);
    asio::error_code ec;
    for (std::size_t n = 0;
         (n = socket_.read_some(asio::buffer(bytes), ec)) > 0;)
      text_.append(bytes.data(), n);
    ended_ = ended_ || (ec && ec != asio::error::would_block);
  }

  /// Reads until the host closes or for `time`.
  void ReadFor(Duration time) {
    const auto until = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < until && !ended_) {
      Run(milliseconds(2));
      Read();
    }
  }

  CallerMemory memory_{std::size_t{1} << 30};
  asio::io_context io_;
  asio::ip::tcp::socket socket_{io_};
  TimerQueue timers_{io_};
  std::shared_ptr<ClientSession> session_;
  std::function<void()> on_request_;
  std::string text_;
  std::string dropped_;
  int requests_ = 0;
  bool closed_ = false;
  bool ended_ = false;
};

IngressLimits ShortIdle() {
  IngressLimits limits;
  limits.idle_timeout = milliseconds(400);
  return limits;
}

// The caller's link is slow: most of the answer still waits in the host.
Test(client_session_close,
     a_last_answer_is_not_cut_while_it_waits_to_leave,
     .timeout = 60) {
  Call call;
  call.Send(kLastRequest);
  cr_assert(call.RunUntilRequest(1));
  call.session_->AnswerWhole(200, {}, {}, std::string(kLargeBody, 'a'));
  call.Run(milliseconds(2300));
  call.ReadFor(milliseconds(4000));
  cr_assert_geq(call.text_.size(), kLargeBody, "%zu of %zu bytes",
                call.text_.size(), kLargeBody);
}

Test(client_session_close,
     an_answer_that_waits_to_leave_is_no_idle_connection,
     .timeout = 60) {
  Call call(ShortIdle());
  call.Send(kRequest);
  cr_assert(call.RunUntilRequest(1));
  call.session_->AnswerWhole(200, {}, {}, std::string(kLargeBody, 'a'));
  call.Run(milliseconds(1200));
  call.ReadFor(milliseconds(800));
  cr_assert_geq(call.text_.size(), kLargeBody, "%zu of %zu bytes",
                call.text_.size(), kLargeBody);
}

Test(client_session_close,
     a_stop_does_not_cut_an_answer_that_waits_to_leave,
     .timeout = 60) {
  for (const std::string_view request : {kRequest, kLastRequest}) {
    Call call;
    call.Send(request);
    cr_assert(call.RunUntilRequest(1));
    call.session_->AnswerWhole(200, {}, {}, std::string(kLargeBody, 'a'));
    call.session_->Drain();
    cr_assert_not(call.session_->CloseIfIdle());
    call.ReadFor(milliseconds(800));
    cr_assert_geq(call.text_.size(), kLargeBody, "%zu of %zu bytes",
                  call.text_.size(), kLargeBody);
  }
}

// A caller that takes nothing at all is not waited for without end.
Test(client_session_close,
     a_caller_that_takes_nothing_is_closed,
     .timeout = 60) {
  Call call(ShortIdle());
  call.Send(kRequest);
  cr_assert(call.RunUntilRequest(1));
  call.session_->AnswerWhole(200, {}, {}, std::string(kLargeBody, 'a'));
  call.Run(milliseconds(2600));
  cr_assert(call.closed_);
}

// A stop begins while a stream runs: its head said nothing of a close, so the
// caller may send its next request on the same connection.
Test(client_session_close, a_request_after_a_stream_is_answered_in_a_stop) {
  Call call;
  call.Send(kRequest);
  cr_assert(call.RunUntilRequest(1));
  call.session_->BeginAnswer(200, {}, {}, "a");
  call.session_->Drain();
  call.Send(kRequest);
  call.session_->EndAnswer();
  cr_assert(call.RunUntilRequest(2), "the request was read and dropped");
  call.session_->Answer({.status = 503});
  call.ReadFor(milliseconds(300));
  cr_assert_neq(call.text_.find("HTTP/1.1 503"), std::string::npos);
  cr_assert_neq(call.text_.find("Connection: close"), std::string::npos);
}

Test(client_session_close, a_request_sent_ahead_is_answered_in_a_stop) {
  Call call;
  call.Send(std::string(kRequest) + std::string(kRequest));
  cr_assert(call.RunUntilRequest(1));
  call.Run(milliseconds(50));
  call.session_->Drain();
  call.session_->Answer({.status = 200});
  cr_assert(call.RunUntilRequest(2), "the request was read and dropped");
}

// The host was busy with something else when the request came and when the
// connection's time was up.
Test(client_session_close, a_request_in_the_socket_keeps_a_connection_open) {
  Call call;
  call.Run(milliseconds(20));
  call.Send(kRequest);
  cr_assert_not(call.session_->CloseIfIdle());
  cr_assert(call.RunUntilRequest(1));
}

// The same where the connection's timer runs first.
Test(client_session_close, a_request_in_the_socket_is_no_idle_connection) {
  Call call(ShortIdle());
  asio::steady_timer other_work(call.io_, milliseconds(1));
  other_work.async_wait([&call](const asio::error_code&) {
    std::this_thread::sleep_for(milliseconds(1000));
    call.Send(kRequest);
  });
  call.timers_.Add(std::chrono::steady_clock::now(), [](MonoTime) {});
  std::this_thread::sleep_for(milliseconds(20));
  cr_assert(call.RunUntilRequest(1), "the connection was closed as idle");
}

// A body that arrived for longer than the idle time was refused with 408 while
// its bytes kept coming.
Test(client_session_close, a_body_that_keeps_arriving_is_not_idle) {
  Call call(ShortIdle());
  call.Send(
      "POST /a/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 6\r\n\r\n");
  for (int i = 0; i < 6; ++i) {
    call.Run(milliseconds(300));
    call.Send("a");
  }
  cr_assert(call.RunUntilRequest(1), "refused as idle");
}

// Callers keep connections for as long as the newest configuration allows.
Test(client_session_close, a_kept_connection_follows_a_longer_idle_time) {
  Call call(ShortIdle());
  call.Run(milliseconds(300));
  call.session_->SetLimits(std::chrono::steady_clock::now(), IngressLimits());
  call.Run(milliseconds(1000));
  call.Send(kRequest);
  cr_assert(call.RunUntilRequest(1), "the connection was closed as idle");
}

// Without a line no log tells a request that was read and dropped from one that
// never came.
Test(client_session_close, what_is_lost_with_a_connection_is_reported) {
  Call last;
  last.Send(kLastRequest);
  cr_assert(last.RunUntilRequest(1));
  last.session_->Answer({.status = 200});
  last.Send(kRequest);
  last.Run(milliseconds(50));
  cr_assert_eq(last.dropped_, "after_last_answer");
  Call partial;
  partial.Send(kRequest.substr(0, 20));
  partial.Run(milliseconds(50));
  partial.socket_.close();
  partial.Run(milliseconds(50));
  cr_assert_eq(partial.dropped_, "request_not_whole");
}

}  // namespace
}  // namespace mangoport
