#ifndef MANGOPORT_LIMITS_ACCOUNT_LIMIT_H_
#define MANGOPORT_LIMITS_ACCOUNT_LIMIT_H_

#include <chrono>
#include <cstdint>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// The rate and burst of a client account, in tokens, over the whole fleet.
struct AccountLimit {
  AccountId account;
  std::int64_t tokens_per_second = 0;
  std::int64_t burst_tokens = 0;
};

/// Durations and fractions that configure token budgets. All processes of a
/// fleet must use the same values.
struct BudgetSettings {
  /// How long the holder of the shared pool may allocate tokens, counted from
  /// the time at which it sent the last claim or renewal that it has read back.
  Duration pool_holder_lease = std::chrono::seconds(10);
  /// The same for the holder of a zone's floor, the tokens that a zone may
  /// spend even while it is partitioned. Long enough to outlast an outage of
  /// the log.
  Duration floor_holder_lease = std::chrono::minutes(30);
  /// Interval between lease renewals.
  Duration holder_renew_interval = std::chrono::seconds(1);

  /// How long a host or a zone may spend a grant. The zone's lease must be
  /// longer than the host's, so that a zone can grant its tokens to hosts.
  Duration host_grant_lease = std::chrono::seconds(3);
  Duration zone_grant_lease = std::chrono::seconds(6);

  /// The maximum rate error of a host's clock, as a fraction of true time.
  double max_clock_drift = 0.001;

  /// The fractions of an account's rate and burst that are divided evenly among
  /// the floors of all zones.
  double floor_rate_fraction = 0.5;
  double floor_burst_fraction = 0.2;
  /// Number of availability zones that share `floor_rate_fraction` and
  /// `floor_burst_fraction`.
  int zones = 3;

  /// How long a request may wait for a grant before it is refused.
  Duration max_wait = std::chrono::milliseconds(250);
  /// The minimum time between two requests of one grantee.
  Duration request_interval = std::chrono::milliseconds(10);
  /// The interval between full reports of a grantee without an urgent need.
  Duration report_interval = std::chrono::milliseconds(200);
  /// A grantee requests enough tokens to cover its demand for this long.
  Duration demand_horizon = std::chrono::milliseconds(500);

  /// The maximum ages of a charge, on the host's clock, at which its refund
  /// counts as recent or as old. Charges older than `old_refund_age` are not
  /// refunded.
  Duration recent_refund_age = std::chrono::seconds(6);
  Duration old_refund_age = std::chrono::seconds(46);

  /// A pool credits a refund only up to the free capacity that it had
  /// throughout these windows. They must cover the refund ages above plus both
  /// grant leases. The shortest window is for refill that a zone forwards
  /// because its floor is full.
  Duration overflow_capacity_window = std::chrono::seconds(1);
  Duration recent_capacity_window = std::chrono::seconds(16);
  Duration old_capacity_window = std::chrono::seconds(60);
};

/// An allocator makes no grant with a shorter lease.
inline constexpr Duration kMinGrantLease = std::chrono::milliseconds(20);

/// Returns the part of `limit` that each zone may spend even while it is
/// partitioned from the log and the other zones.
AccountLimit ZoneFloor(const AccountLimit& limit,
                       const BudgetSettings& settings);

/// Returns the part of `limit` that the holder of the stream `budget`
/// allocates: the whole limit minus the floors of all zones.
AccountLimit SharedPool(const AccountLimit& limit,
                        const BudgetSettings& settings);

/// Returns the duration to wait on this clock so that at least `time` has
/// elapsed on any other clock.
Duration StretchForDrift(Duration time, const BudgetSettings& settings);

/// Returns a duration that elapses on any other clock before `time` has elapsed
/// on this one.
Duration ShrinkForDrift(Duration time, const BudgetSettings& settings);

}  // namespace mangoport

#endif  // MANGOPORT_LIMITS_ACCOUNT_LIMIT_H_
