#include "mangoport/forward/client_session.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <memory>
#include <string>

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
    socket_.connect(acceptor_.local_endpoint());
    asio::write(socket_, asio::buffer(kRequest, sizeof(kRequest) - 1));
  }

  void Leave() { socket_.close(); }

  /// The host takes up what has arrived; returns how many requests it got.
  int TakeUp() {
    int requests = 0;
    const auto session = std::make_shared<ClientSession>(
        std::make_shared<TcpStream>(acceptor_.accept()), timers_,
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
  static constexpr int kMaxTurns = 20;
  static constexpr Duration kTurn = milliseconds(20);

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

}  // namespace
}  // namespace mangoport
