#include "mangoport/entryhost/attempt_inbox.h"

#include <utility>

namespace mangoport {
namespace {

/// Maximum number of events queued for a slow caller before reading from the
/// engine is paused.
constexpr std::size_t kMaxQueued = 256;

}  // namespace

void AttemptInbox::Open(std::uint32_t attempt) {
  const std::lock_guard lock(mutex_);
  open_.insert(attempt);
}

bool AttemptInbox::Push(std::uint32_t attempt, const TokenEvent& event) {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [&] {
    return items_.size() < kMaxQueued || !open_.contains(attempt);
  });
  if (!open_.contains(attempt))
    return false;
  items_.push_back({Kind::kEvent, attempt, event, {}});
  changed_.notify_all();
  return true;
}

void AttemptInbox::End(std::uint32_t attempt, CompletionResult result) {
  const std::lock_guard lock(mutex_);
  if (!open_.contains(attempt))
    return;
  items_.push_back({Kind::kEnded, attempt, {}, std::move(result)});
  changed_.notify_all();
}

AttemptInbox::Item AttemptInbox::WaitUntil(MonoTime deadline) {
  std::unique_lock lock(mutex_);
  if (!changed_.wait_until(lock, deadline, [this] { return !items_.empty(); }))
    return {};
  Item item = std::move(items_.front());
  items_.pop_front();
  changed_.notify_all();
  return item;
}

void AttemptInbox::Close(std::uint32_t attempt) {
  const std::lock_guard lock(mutex_);
  open_.erase(attempt);
  std::erase_if(items_,
                [attempt](const Item& it) { return it.attempt == attempt; });
  changed_.notify_all();
}

}  // namespace mangoport
