#ifndef MANGOPORT_UNITTESTS_MEMBERSHIP_LEASE_STORE_H_
#define MANGOPORT_UNITTESTS_MEMBERSHIP_LEASE_STORE_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "mangoport/membership/order_lease.h"

namespace mangoport {

inline constexpr BootTime kStart{std::chrono::seconds(500)};

/// A store that appends a record only at the expected end of the log, whatever
/// timeline the writer takes the log for.
struct LeaseStore {
  std::optional<OrderLeaseRecord> record;
  StorePosition end;

  bool Append(const OrderLeaseStep& step) {
    if (step.expected_end.offset != end.offset)
      return false;
    record = step.record;
    ++end.offset;
    return true;
  }

  /// Goes on from an older copy in a new timeline.
  void Restore(const LeaseStore& copy) {
    record = copy.record;
    end = {.timeline = end.timeline + 1, .offset = copy.end.offset};
  }
};

/// Performs the steps that a host requests, without delay.
inline void RunSteps(OrderLease& host, LeaseStore& store, BootTime now) {
  for (int i = 0; i < 3; ++i) {
    const OrderLeaseStep step = host.Next(now);
    if (step.kind == OrderLeaseStep::Kind::kNone)
      return;
    if (step.kind == OrderLeaseStep::Kind::kRead)
      host.OnRead(now, store.record, store.end);
    else if (store.Append(step))
      host.OnWritten(now, store.end);
    else
      host.OnConflict(now, store.end.timeline);
  }
}

inline OrderLease MakeHost(const char* name, std::uint64_t incarnation = 1) {
  return {HostId(name), incarnation, OrderLeaseSettings{}, Duration{}};
}

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_MEMBERSHIP_LEASE_STORE_H_
