#include "tools/standin/prefix_cache.h"

#include <xxhash.h>

namespace mangoport::standin {
namespace {

constexpr std::size_t kBlockChars = 64;
constexpr std::size_t kMaxEvents = 10000;
/// One event in this many is never shown.
constexpr std::uint64_t kEventGap = 7;

}  // namespace

std::size_t PrefixCache::Use(std::string_view model,
                             std::string_view prompt,
                             MonoTime now) {
  const std::lock_guard lock(mutex_);
  std::size_t missing = 0;
  std::uint64_t hash = XXH64(model.data(), model.size(), 0);
  for (std::size_t at = 0; at + kBlockChars <= prompt.size();
       at += kBlockChars) {
    hash = XXH64(prompt.data() + at, kBlockChars, hash);
    const auto found = blocks_.find(hash);
    if (found != blocks_.end()) {
      order_.splice(order_.begin(), order_, found->second);
      continue;
    }
    ++missing;
    order_.push_front(hash);
    blocks_[hash] = order_.begin();
    Publish(true, hash, now);
  }
  while (order_.size() > max_blocks_) {
    Publish(false, order_.back(), now);
    blocks_.erase(order_.back());
    order_.pop_back();
  }
  return missing;
}

void PrefixCache::Publish(bool stored, std::uint64_t block, MonoTime now) {
  events_.push_back({next_sequence_++, now, stored, block});
  if (events_.size() > kMaxEvents)
    events_.pop_front();
}

nlohmann::json PrefixCache::Events(std::uint64_t from, MonoTime now) {
  const std::lock_guard lock(mutex_);
  nlohmann::json events = nlohmann::json::array();
  for (const Event& it : events_) {
    if (it.sequence < from || it.sequence % kEventGap == kEventGap - 1)
      continue;
    if (it.at + event_lag_ > now)
      break;
    events.push_back({{"seq", it.sequence},
                      {"kind", it.stored ? "stored" : "evicted"},
                      {"block", std::to_string(it.block)}});
  }
  return {{"events", std::move(events)}};
}

}  // namespace mangoport::standin
