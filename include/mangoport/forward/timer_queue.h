#ifndef MANGOPORT_FORWARD_TIMER_QUEUE_H_
#define MANGOPORT_FORWARD_TIMER_QUEUE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "mangoport/core/time.h"

namespace mangoport {

/// Many timers of one event loop behind a single timer of the system.
///
/// Calls come up to `kGranularity` late, so that timers which are due together
/// cost one wake-up. There is no tick: an empty queue costs nothing. A loop
/// that has stood still reads its sockets before its timers are called, so that
/// what arrived in the meantime is known to them.
class TimerQueue {
 public:
  using Ticket = std::uint64_t;
  using Callback = std::function<void(MonoTime now)>;

  /// Zero is never a ticket.
  static constexpr Ticket kNoTicket = 0;

  explicit TimerQueue(asio::io_context& io) : timer_(io) {}

  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;

  /// Calls `callback` once, at `due` or a little later.
  Ticket Add(MonoTime due, Callback callback);

  /// Does nothing if the call has been made already.
  void Cancel(Ticket& ticket);

 private:
  using Key = std::pair<MonoTime, Ticket>;

  static constexpr Duration kGranularity = std::chrono::milliseconds(5);

  void Arm();
  void OnTimer();

  asio::steady_timer timer_;
  std::map<Key, Callback> queue_;
  std::map<Ticket, MonoTime> due_;
  MonoTime armed_for_ = MonoTime::max();
  Ticket next_ = 1;
  /// Turns of the loop since a standstill was noticed.
  int turns_ = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_TIMER_QUEUE_H_
