#ifndef MANGOPORT_MEMBERSHIP_ORDER_LEASE_H_
#define MANGOPORT_MEMBERSHIP_ORDER_LEASE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "mangoport/core/ids.h"
#include "mangoport/core/store_position.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// The stored record of which host may send engine orders.
struct OrderLeaseRecord {
  /// The host that holds the lease. Empty after a release.
  HostId holder;
  /// Identifies the run of the holder. A host that restarts has lost its
  /// state.
  std::uint64_t incarnation = 0;
  /// Increases with each change of holder or incarnation, also over restores of
  /// the store; see `OrderTerm`. Engines receive it as the fencing number.
  std::uint64_t term = 0;
  /// Distinguishes the holder's records from each other.
  std::uint64_t nonce = 0;
  /// True if the holder may send orders: none of another host's can have
  /// arrived within the last `OrderLeaseSettings::settle`.
  bool settled = false;
  /// For a release: true if all orders of this and earlier holders have
  /// arrived.
  bool orders_arrived = false;

  friend bool operator==(const OrderLeaseRecord&,
                         const OrderLeaseRecord&) = default;
};

/// Returns the term of a claim that is appended at `expected_end`. Each append
/// of a timeline has its own end, so no two claims have the same term, and
/// terms of a later timeline are higher. Exact in JSON for 2^21 timelines of
/// 2^32 records.
std::uint64_t OrderTerm(const StorePosition& expected_end);

/// Returns the timeline that the holder took the store's log for when it
/// claimed the lease.
StoreTimeline TermTimeline(std::uint64_t term);

struct OrderLeaseSettings {
  /// How long the holder may act after it sent its latest record.
  Duration validity = std::chrono::milliseconds(2500);
  Duration renew_interval = std::chrono::milliseconds(1000);
  /// Time without an update from the holder after which peers suspect it.
  Duration suspicion_timeout = std::chrono::milliseconds(1000);
  /// Time that a host waits in addition to `validity` before it takes over.
  Duration takeover_margin = std::chrono::milliseconds(300);
  /// Minimum time from the last possible arrival of another host's order to the
  /// first order of this one.
  Duration settle = std::chrono::milliseconds(3200);
  /// Longest time from the sending of an order to its arrival: the time for a
  /// connection, and the time of a second or so for which a sound engine may
  /// read nothing. What its sender gave up by then may still be read.
  Duration order_transit = std::chrono::milliseconds(1800);
  /// A holder whose renewals fail for this long resigns.
  Duration resign_after = std::chrono::milliseconds(1500);
  /// Delay before the next call to the store after a failed one.
  Duration retry_interval = std::chrono::milliseconds(500);
};

/// The next store operation that the host must perform.
struct OrderLeaseStep {
  enum class Kind { kNone, kRead, kWrite };

  Kind kind = Kind::kNone;
  /// For `kWrite`: append `record` only if the log ends at `expected_end`.
  OrderLeaseRecord record = {};
  StorePosition expected_end = {};
};

/// Lease that determines which host sends engine orders, as seen by one host.
///
/// The record is kept in the platform's store. It is replaced by a conditional
/// append that names the end of the log on which the decision was based, so of
/// two concurrent appends one fails. A holder may act for `validity` after it
/// sent its latest record, and send orders for `resign_after`. Another host
/// takes over only after the end of the log has not changed for longer than
/// that. It then waits until `settle` after the last possible arrival of an
/// earlier holder's order, so that no engine receives orders of two holders
/// close together. All times are on a clock that continues while the machine is
/// suspended.
///
/// A store that is restored from a backup may have lost records. Its newest
/// record from an earlier timeline, or an empty log, therefore does not tell
/// who held the lease: an unknown holder may act until `validity` after the
/// restore. A holder that is still valid writes its record again at once, under
/// a new term; all others wait.
class OrderLease {
 public:
  /// `claim_delay` is an additional delay before a claim. It differs between
  /// hosts, so that they do not all claim at once.
  OrderLease(HostId self,
             std::uint64_t incarnation,
             const OrderLeaseSettings& settings,
             Duration claim_delay);

  /// Sets the time without an update from the holder after which this host
  /// suspects it. Use a longer time where updates are infrequent.
  void set_suspicion_timeout(Duration time) {
    settings_.suspicion_timeout = time;
  }

  /// Records that the store is of `timeline`, and was already at `known_since`.
  void OnTimeline(StoreTimeline timeline, BootTime known_since);

  /// Returns the next step. Call it often. After a read or write step, it
  /// returns none until the result is reported.
  OrderLeaseStep Next(BootTime now);

  /// Reports the result of a read. `now` is the time of the response.
  void OnRead(BootTime now,
              const std::optional<OrderLeaseRecord>& record,
              const StorePosition& end);
  void OnReadFailed(BootTime now);

  /// Reports that the write succeeded and that the log now ends at `new_end`.
  void OnWritten(BootTime now, const StorePosition& new_end);
  /// Reports that the write failed because the log, which is now of `timeline`,
  /// did not end at `expected_end`.
  void OnConflict(BootTime now, StoreTimeline timeline);
  /// Reports that the outcome of the write is unknown.
  void OnWriteUnknown(BootTime now);

  /// Handles an update in which `host` states that it holds the lease under
  /// `term`.
  void OnHolderUpdate(BootTime now, const HostId& host, std::uint64_t term);

  /// Handles an update in which the holder states that it sends no more orders
  /// under `term` and that the last one arrived no later than `last_order`.
  void OnHolderResigned(BootTime now,
                        const HostId& host,
                        std::uint64_t term,
                        BootTime last_order);

  /// The term that this host resigned because renewals failed, or zero. The
  /// host sends no more orders under that term.
  std::uint64_t resigned_term() const { return resigned_term_; }

  /// Returns the term under which an order may be sent at `now`, if any. Call
  /// it immediately before each order.
  std::optional<std::uint64_t> MayOrder(BootTime now) const;

  /// Records that this host sends an order at `now`.
  void NoteOrder(BootTime now) { unanswered_orders_.insert(now); }

  /// Records that the call with the order sent at `sent` ended at `now`. If the
  /// engine did not answer, the order may still arrive.
  void NoteOrderEnd(BootTime now, BootTime sent, bool answered);

  /// Returns a time after which no order of this host or of an earlier holder
  /// arrives, given those sent so far. It may be in the future.
  BootTime last_order_bound() const;

  /// True while this host holds the lease, including while it must not yet send
  /// orders.
  bool holds(BootTime now) const;

  /// Releases the lease. Returns the write to perform if this host holds it.
  std::optional<OrderLeaseStep> Release(BootTime now);

  const std::optional<OrderLeaseRecord>& record() const { return record_; }

  /// The highest timeline of the store that this host knows.
  StoreTimeline timeline() const { return timeline_.timeline; }

 private:
  bool IsOwn() const;
  /// True if `record_` is of the store's present timeline.
  bool IsOfTimeline() const;
  /// True if a host may hold the lease that is not in the store's log, because
  /// its record was lost in a restore.
  bool MayBeUnrecorded() const;
  bool HolderResigned() const;
  /// Drops a record of an earlier timeline unless this host holds the lease
  /// under it.
  void DropEarlierRecord(BootTime now);
  OrderLeaseStep WriteStep(BootTime now, std::uint64_t term);
  /// Returns a time after which no order of an earlier holder arrives, for a
  /// claim at `now`.
  BootTime EarlierOrderBound(BootTime now) const;
  Duration OrderTransit() const;
  /// When this host may no longer send orders without another renewal.
  BootTime OrdersEndAt() const;
  BootTime ClaimableAt() const;

  HostId self_;
  std::uint64_t incarnation_;
  OrderLeaseSettings settings_;
  Duration claim_delay_;
  /// The highest timeline of the store that this host knows.
  TimelineAge timeline_;
  std::optional<OrderLeaseRecord> record_;
  StorePosition end_;
  /// True once `end_` has been read or written.
  bool end_known_ = false;
  /// True while `record_` and `end_` are not known to be outdated.
  bool store_state_known_ = false;
  /// When this host first observed that the log ends at `end_`.
  BootTime end_observed_at_;
  std::optional<BootTime> last_holder_update_at_;
  /// When this host's latest record expires. Zero after a write conflict.
  BootTime valid_until_;
  /// The earliest time at which this host may send orders as the holder.
  BootTime may_order_from_;
  /// When the orders were sent whose calls have not ended.
  std::multiset<BootTime> unanswered_orders_;
  /// No order whose call has ended arrives after this.
  BootTime ended_orders_bound_;
  /// When this host sent its latest write to the store.
  BootTime write_sent_at_;
  /// The earliest time of the next call to the store.
  BootTime next_call_at_;
  /// The latest term whose holder reported that it sends no more orders.
  std::uint64_t reported_resigned_term_ = 0;
  BootTime reported_last_order_;
  std::uint64_t resigned_term_ = 0;
  OrderLeaseRecord sent_record_;
  bool result_pending_ = false;
  bool released_ = false;
  std::uint64_t nonce_ = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_MEMBERSHIP_ORDER_LEASE_H_
