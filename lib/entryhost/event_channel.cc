#include "mangoport/entryhost/event_channel.h"

#include <utility>

namespace mangoport {
namespace {

constexpr std::size_t kMaxPendingEvents = 256;

}  // namespace

bool EventChannel::Push(const TokenEvent& event) {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [this] {
    return abandoned_ || events_.size() < kMaxPendingEvents;
  });
  if (abandoned_)
    return false;
  events_.push_back(event);
  changed_.notify_all();
  return true;
}

void EventChannel::End(CompletionResult result) {
  const std::lock_guard lock(mutex_);
  result_ = std::move(result);
  changed_.notify_all();
}

EventChannel::Item EventChannel::WaitUntil(MonoTime deadline) {
  std::unique_lock lock(mutex_);
  changed_.wait_until(lock, deadline,
                      [this] { return !events_.empty() || result_; });
  Item item;
  if (!events_.empty()) {
    item.status = WaitStatus::kEvent;
    item.event = std::move(events_.front());
    events_.pop_front();
    changed_.notify_all();
    return item;
  }
  if (!result_)
    return item;
  item.status = WaitStatus::kEnded;
  item.result = *result_;
  return item;
}

void EventChannel::Abandon() {
  const std::lock_guard lock(mutex_);
  abandoned_ = true;
  events_.clear();
  changed_.notify_all();
}

}  // namespace mangoport
