#include "mangoport/forward/connection_pool.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <string>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::string_view kAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

// A server starts again under its id at another address; the connection that is
// kept leads to the machine that it left.
Test(connection_pool, a_kept_connection_to_an_old_address_is_not_used) {
  asio::io_context io;
  TimerQueue timers(io);
  ConnectionPool pool(io, timers);
  const asio::ip::address here = asio::ip::make_address("127.0.0.1");
  asio::ip::tcp::acceptor old_home(io, {here, 0});
  asio::ip::tcp::acceptor new_home(io, {here, 0});
  bool complete = false;
  const HttpConnection::Ptr first = pool.Acquire(
      steady_clock::now(), "e1", old_home.local_endpoint(), /*fresh=*/false);
  first->Exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\n", /*bodyless=*/false,
                  {.on_head = [](const HttpHead&) { return true; },
                   .on_body = [](std::string_view) {},
                   .on_complete = [&complete] { complete = true; },
                   .on_failed = [](const HttpFailure&) {}});
  asio::ip::tcp::socket server = old_home.accept();
  io.run_for(milliseconds(20));
  asio::write(server, asio::buffer(kAnswer.data(), kAnswer.size()));
  for (int i = 0; i < 100 && !complete; ++i)
    io.run_for(milliseconds(10));
  cr_assert(complete);
  cr_assert(pool.Acquire(steady_clock::now(), "e1", new_home.local_endpoint(),
                         /*fresh=*/false) != first);
}

// The server's close, or bytes that nobody asked for, lie in the socket: a
// request that may run once would be lost on this connection.
Test(connection_pool,
     a_kept_connection_that_its_server_has_closed_is_not_used) {
  for (const std::string_view late : {std::string_view(), kAnswer}) {
    asio::io_context io;
    TimerQueue timers(io);
    ConnectionPool pool(io, timers);
    asio::ip::tcp::acceptor home(io, {asio::ip::make_address("127.0.0.1"), 0});
    const auto acquire = [&] {
      return pool.Acquire(steady_clock::now(), "e1", home.local_endpoint(),
                          /*fresh=*/false);
    };
    bool complete = false;
    const HttpConnection::Ptr first = acquire();
    first->Exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\n", /*bodyless=*/false,
                    {.on_head = [](const HttpHead&) { return true; },
                     .on_body = [](std::string_view) {},
                     .on_complete = [&complete] { complete = true; },
                     .on_failed = [](const HttpFailure&) {}});
    asio::ip::tcp::socket server = home.accept();
    io.run_for(milliseconds(20));
    asio::write(server, asio::buffer(kAnswer.data(), kAnswer.size()));
    for (int i = 0; i < 100 && !complete; ++i)
      io.run_one_for(milliseconds(10));
    cr_assert(complete);
    if (late.empty())
      server.close();
    else
      asio::write(server, asio::buffer(late.data(), late.size()));
    cr_assert(acquire() != first);
  }
}

}  // namespace
}  // namespace mangoport
