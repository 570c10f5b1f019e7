#include "mangoport/forward/caller_memory.h"

#include <algorithm>
#include <iterator>

namespace mangoport {
namespace {

/// The rest is for the process itself, the copies of requests that are being
/// sent, and answers.
constexpr std::size_t kParts = 4;
constexpr std::size_t kLeastBytes = std::size_t{16} * 1024 * 1024;

}  // namespace

void CallerMemory::Share::Set(std::size_t bytes, bool may_give_up) {
  if (may_give_up_)
    memory_.candidates_.erase({bytes_, this});
  memory_.bytes_ += bytes;
  memory_.bytes_ -= bytes_;
  bytes_ = bytes;
  may_give_up_ = may_give_up && bytes > 0;
  if (may_give_up_)
    memory_.candidates_.emplace(bytes_, this);
}

void CallerMemory::Enforce() {
  if (enforcing_)
    return;
  enforcing_ = true;
  while (bytes_ > max_bytes_ && !candidates_.empty()) {
    Share* const largest = std::prev(candidates_.end())->second;
    const std::function<void()> give_up = largest->give_up_;
    largest->Set(largest->bytes_, /*may_give_up=*/false);
    ++given_up_;
    give_up();
  }
  enforcing_ = false;
}

std::size_t CallerMemoryBound(std::size_t machine_bytes) {
  return std::max(machine_bytes / kParts, kLeastBytes);
}

}  // namespace mangoport
