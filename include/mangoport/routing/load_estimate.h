#ifndef MANGOPORT_ROUTING_LOAD_ESTIMATE_H_
#define MANGOPORT_ROUTING_LOAD_ESTIMATE_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "mangoport/core/time.h"

namespace mangoport {

/// A load that was reported longer ago says nothing of the present one.
constexpr Duration kReportLifetime = std::chrono::seconds(4);

/// Estimates the load of one backend server from the requests that this host
/// dispatched and from the server's load reports.
///
/// A report counts the requests of all hosts. The requests of other hosts lose
/// weight linearly with the age of the report; the number of this host's own
/// requests is always exact.
class LoadEstimate {
 public:
  /// This host sent a request to the server.
  void OnDispatched(MonoTime now);
  /// A request of this host ended.
  void OnFinished(MonoTime now);

  /// Processes a report of `total` requests at `measured_at`. A report that is
  /// not newer than the last one is ignored.
  void OnReport(MonoTime measured_at, std::uint32_t total);

  /// Estimated number of requests at the server.
  double At(MonoTime now) const;

  std::uint32_t own_outstanding() const { return own_outstanding_; }

 private:
  /// Cover 4 s, the time after which a report is no longer used.
  static constexpr std::size_t kBuckets = 16;

  void Record(MonoTime now, std::int16_t delta);
  /// Requests of this host at `time`, limited to the time that the buckets
  /// cover.
  std::uint32_t OwnAt(MonoTime time) const;

  std::uint32_t own_outstanding_ = 0;
  /// Requests of other hosts in the last report.
  std::uint32_t others_ = 0;
  MonoTime measured_at_;
  /// Net change of `own_outstanding_` per time bucket; the newest is at
  /// `newest_bucket_ % kBuckets`.
  std::array<std::int16_t, kBuckets> deltas_{};
  std::int64_t newest_bucket_ = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_LOAD_ESTIMATE_H_
