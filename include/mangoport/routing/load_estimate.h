#ifndef MANGOPORT_ROUTING_LOAD_ESTIMATE_H_
#define MANGOPORT_ROUTING_LOAD_ESTIMATE_H_

#include <array>
#include <cstdint>

#include "mangoport/core/time.h"

namespace mangoport {

/// One backend server's load, from what this host sent it and from what the
/// server reported, corrected for the report's age.
///
/// A report counts the work of all hosts. The part that is not ours fades with
/// the report's age; ours is always known exactly.
class LoadEstimate {
 public:
  void OnDispatched(MonoTime now);
  void OnFinished(MonoTime now);

  /// Takes in a report; one older than the last is ignored.
  void OnReport(MonoTime measured_at, std::uint32_t total);

  /// Requests expected at the server now.
  double At(MonoTime now) const;

  std::uint32_t own_outstanding() const { return own_outstanding_; }

 private:
  static constexpr std::size_t kBuckets = 16;

  void Record(MonoTime now, std::int16_t delta);
  /// Own work at `time`, as far back as the buckets reach.
  std::uint32_t OwnAt(MonoTime time) const;

  std::uint32_t own_outstanding_ = 0;
  /// Work of other hosts in the last report.
  std::uint32_t others_ = 0;
  MonoTime measured_at_;
  /// Net change of own work per bucket of time; the newest is at
  /// `newest_bucket_ % kBuckets`.
  std::array<std::int16_t, kBuckets> deltas_{};
  std::int64_t newest_bucket_ = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_LOAD_ESTIMATE_H_
