#include "tools/standin/token_bucket.h"

#include <algorithm>

namespace mangoport::standin {

TokenBucket::TokenBucket(double per_second, double burst)
    : per_second_(per_second), burst_(std::max(1.0, burst)), level_(burst_) {}

bool TokenBucket::TryTake(MonoTime now) {
  const std::lock_guard lock(mutex_);
  const std::chrono::duration<double> passed = now - filled_at_;
  level_ = std::min(burst_, level_ + passed.count() * per_second_);
  filled_at_ = now;
  if (level_ < 1)
    return false;
  level_ -= 1;
  return true;
}

}  // namespace mangoport::standin
