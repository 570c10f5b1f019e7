#include "mangoport/routing/load_estimate.h"

#include <algorithm>

namespace mangoport {
namespace {

constexpr Duration kBucketWidth = std::chrono::milliseconds(250);

std::int64_t BucketOf(MonoTime time) {
  return time.time_since_epoch() / kBucketWidth;
}

}  // namespace

void LoadEstimate::Record(MonoTime now, std::int16_t delta) {
  const std::int64_t bucket = BucketOf(now);
  const std::int64_t passed = bucket - newest_bucket_;
  for (std::int64_t i = 1; i <= std::min<std::int64_t>(passed, kBuckets); ++i)
    deltas_[(newest_bucket_ + i) % kBuckets] = 0;
  newest_bucket_ = std::max(newest_bucket_, bucket);
  std::int16_t& sum = deltas_[newest_bucket_ % kBuckets];
  sum = static_cast<std::int16_t>(sum + delta);
}

void LoadEstimate::OnDispatched(MonoTime now) {
  ++own_outstanding_;
  Record(now, 1);
}

void LoadEstimate::OnFinished(MonoTime now) {
  if (own_outstanding_ == 0)
    return;
  --own_outstanding_;
  Record(now, -1);
}

std::uint32_t LoadEstimate::OwnAt(MonoTime time) const {
  std::int64_t own = own_outstanding_;
  const std::int64_t oldest_kept = newest_bucket_ - std::int64_t{kBuckets} + 1;
  const std::int64_t first_after = std::max(BucketOf(time) + 1, oldest_kept);
  for (std::int64_t i = std::max<std::int64_t>(first_after, 0);
       i <= newest_bucket_; ++i)
    own -= deltas_[i % kBuckets];
  return static_cast<std::uint32_t>(std::max<std::int64_t>(own, 0));
}

void LoadEstimate::OnReport(MonoTime measured_at, std::uint32_t total) {
  if (measured_at <= measured_at_)
    return;
  measured_at_ = measured_at;
  const std::uint32_t own = OwnAt(measured_at);
  others_ = total > own ? total - own : 0;
}

double LoadEstimate::At(MonoTime now) const {
  const Duration age = now - measured_at_;
  if (age >= kReportLifetime)
    return own_outstanding_;
  const double weight =
      1.0 - std::chrono::duration<double>(age) /
                std::chrono::duration<double>(kReportLifetime);
  return own_outstanding_ + others_ * std::clamp(weight, 0.0, 1.0);
}

}  // namespace mangoport
