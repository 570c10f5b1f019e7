#ifndef MANGOPORT_LIMITS_ACCOUNT_LIMIT_H_
#define MANGOPORT_LIMITS_ACCOUNT_LIMIT_H_

#include <chrono>
#include <cstdint>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// A client account's rate and burst, in tokens over the whole fleet.
struct AccountLimit {
  AccountId account;
  std::int64_t tokens_per_second = 0;
  std::int64_t burst_tokens = 0;
};

/// Times and shares of the budgets. Every process of a fleet uses the same.
struct BudgetSettings {
  /// How long a holder of the shared pool may deal after a renewal was sent.
  Duration pool_holder_lease = std::chrono::seconds(10);
  /// The same for the holder of a zone's floor. It outlives outages of the log.
  Duration floor_holder_lease = std::chrono::minutes(30);
  Duration holder_renew_interval = std::chrono::seconds(1);

  /// How long a grant may be spent: by a host, and by a zone. The zone's must
  /// be longer than the host's, so that a zone can pass tokens on.
  Duration host_grant_lease = std::chrono::seconds(3);
  Duration zone_grant_lease = std::chrono::seconds(6);

  /// No host's clock runs faster or slower than true time by more than this
  /// part.
  double max_clock_drift = 0.001;

  /// The parts of rate and burst that all zones' floors have together.
  double floor_rate_part = 0.5;
  double floor_burst_part = 0.2;
  int zones = 3;

  /// How long a request may wait for a grant before it is refused.
  Duration max_wait = std::chrono::milliseconds(200);
  /// Shortest time between two requests of one taker, and the usual one.
  Duration ask_interval = std::chrono::milliseconds(10);
  Duration report_interval = std::chrono::milliseconds(500);
  /// A taker holds the demand of this time.
  Duration demand_horizon = std::chrono::milliseconds(500);

  /// Charges younger than these at the host can be refunded; older ones cannot.
  Duration recent_refund_age = std::chrono::seconds(6);
  Duration old_refund_age = std::chrono::seconds(46);

  /// A pool credits a refund only as far as it had room through these times,
  /// which must cover the ages above and both grant leases. The shortest is for
  /// refill that a zone's full floor hands on.
  Duration overflow_room_window = std::chrono::seconds(1);
  Duration recent_room_window = std::chrono::seconds(16);
  Duration old_room_window = std::chrono::seconds(60);
};

/// A dealer makes no grant whose lease would be shorter.
inline constexpr Duration kShortestGrant = std::chrono::milliseconds(20);

/// What each zone may always spend, whatever it is cut off from.
AccountLimit ZoneFloor(const AccountLimit& limit,
                       const BudgetSettings& settings);

/// What the holder of the stream `budget` deals: the limit less all floors.
AccountLimit SharedPool(const AccountLimit& limit,
                        const BudgetSettings& settings);

/// The time to wait on this clock until `time` has passed on any other.
Duration StretchForDrift(Duration time, const BudgetSettings& settings);

/// The time that ends on any other clock before `time` has passed on this one.
Duration ShrinkForDrift(Duration time, const BudgetSettings& settings);

}  // namespace mangoport

#endif  // MANGOPORT_LIMITS_ACCOUNT_LIMIT_H_
