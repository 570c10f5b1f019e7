#include "mangoport/forward/timer_queue.h"

#include <asio/error.hpp>
#include <asio/post.hpp>

namespace mangoport {
namespace {

/// A loop that comes to its timers later than this has stood still.
constexpr Duration kStandstill = std::chrono::milliseconds(50);

/// Turns that the loop makes before its timers after a standstill. Two turns
/// poll the system once, which tells of up to 128 sockets.
constexpr int kTurnsAfterStandstill = 16;

}  // namespace

TimerQueue::Ticket TimerQueue::Add(MonoTime due, Callback callback) {
  const Ticket ticket = next_++;
  queue_.emplace(Key{due, ticket}, std::move(callback));
  due_.emplace(ticket, due);
  if (due < armed_for_)
    Arm();
  return ticket;
}

void TimerQueue::Cancel(Ticket& ticket) {
  const auto it = due_.find(ticket);
  if (it != due_.end()) {
    queue_.erase(Key{it->second, ticket});
    due_.erase(it);
  }
  ticket = kNoTicket;
}

void TimerQueue::Arm() {
  armed_for_ = queue_.begin()->first.first;
  timer_.expires_at(armed_for_ + kGranularity);
  timer_.async_wait([this](const asio::error_code& ec) {
    if (ec != asio::error::operation_aborted)
      OnTimer();
  });
}

void TimerQueue::OnTimer() {
  const MonoTime now = std::chrono::steady_clock::now();
  const bool late =
      armed_for_ != MonoTime::max() && now - armed_for_ > kStandstill;
  if (late && turns_ < kTurnsAfterStandstill) {
    ++turns_;
    asio::post(timer_.get_executor(), [this] { OnTimer(); });
    return;
  }
  turns_ = 0;
  armed_for_ = MonoTime::max();
  while (!queue_.empty() && queue_.begin()->first.first <= now) {
    const auto node = queue_.extract(queue_.begin());
    due_.erase(node.key().second);
    node.mapped()(now);
  }
  if (!queue_.empty() && queue_.begin()->first.first < armed_for_)
    Arm();
}

}  // namespace mangoport
