#include "mangoport/forward/timer_queue.h"

#include <asio/error.hpp>

namespace mangoport {

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
  armed_for_ = MonoTime::max();
  const MonoTime now = std::chrono::steady_clock::now();
  while (!queue_.empty() && queue_.begin()->first.first <= now) {
    const auto node = queue_.extract(queue_.begin());
    due_.erase(node.key().second);
    node.mapped()(now);
  }
  if (!queue_.empty() && queue_.begin()->first.first < armed_for_)
    Arm();
}

}  // namespace mangoport
