#include "mangoport/forward/timer_queue.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The host stood still; what came in the meantime is in the sockets. A timer
// that judges by it (a server's silence, a connection being made) comes after.
Test(timer_queue, what_came_during_a_standstill_is_read_before_timers_decide) {
  // More than one poll of the system tells of.
  constexpr std::size_t kSockets = 300;
  asio::io_context io;
  TimerQueue timers(io);
  asio::ip::tcp::acceptor acceptor(io,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  std::vector<asio::ip::tcp::socket> peers;
  std::vector<asio::ip::tcp::socket> sockets;
  std::size_t read = 0;
  for (std::size_t i = 0; i < kSockets; ++i) {
    peers.emplace_back(io).connect(acceptor.local_endpoint());
    sockets.push_back(acceptor.accept());
    sockets.back().async_wait(asio::ip::tcp::socket::wait_read,
                              [&read](const asio::error_code&) { ++read; });
  }
  std::size_t read_at_timer = 0;
  bool called = false;
  const auto now = steady_clock::now();
  timers.Add(now, [](MonoTime) {});
  timers.Add(now + milliseconds(100), [&](MonoTime) {
    called = true;
    read_at_timer = read;
  });
  asio::steady_timer other_work(io, milliseconds(1));
  other_work.async_wait([&peers](const asio::error_code&) {
    std::this_thread::sleep_for(milliseconds(300));
    for (asio::ip::tcp::socket& it : peers)
      asio::write(it, asio::buffer("x", 1));
  });
  std::this_thread::sleep_for(milliseconds(20));
  while (!called)
    io.run_one_for(milliseconds(100));
  cr_assert_eq(read_at_timer, kSockets, "%zu of %zu", read_at_timer, kSockets);
}

Test(timer_queue, timers_run_in_order_of_their_times) {
  asio::io_context io;
  TimerQueue timers(io);
  std::vector<int> order;
  const auto now = steady_clock::now();
  timers.Add(now + milliseconds(20),
             [&order](MonoTime) { order.push_back(2); });
  timers.Add(now + milliseconds(10),
             [&order](MonoTime) { order.push_back(1); });
  TimerQueue::Ticket cancelled = timers.Add(
      now + milliseconds(15), [&order](MonoTime) { order.push_back(3); });
  timers.Cancel(cancelled);
  std::this_thread::sleep_for(milliseconds(150));
  io.run_for(milliseconds(200));
  cr_assert(order == std::vector<int>({1, 2}));
}

}  // namespace
}  // namespace mangoport
