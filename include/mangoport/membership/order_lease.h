#ifndef MANGOPORT_MEMBERSHIP_ORDER_LEASE_H_
#define MANGOPORT_MEMBERSHIP_ORDER_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// What the store holds about who may give engines orders.
struct OrderLeaseRecord {
  /// The host, or empty once it has given the lease up.
  HostId holder;
  /// The holder's start; a host that restarts has lost what it knew.
  std::uint64_t incarnation = 0;
  /// Rises with each change of holder; engines see it as the fencing number.
  std::uint64_t term = 0;
  /// Tells the holder's records apart.
  std::uint64_t nonce = 0;
  /// The holder may order: nobody else has ordered for long enough.
  bool settled = false;

  friend bool operator==(const OrderLeaseRecord&,
                         const OrderLeaseRecord&) = default;
};

struct OrderLeaseSettings {
  /// How long the holder may act after it sent its newest record.
  Duration validity = std::chrono::milliseconds(2500);
  Duration renew_interval = std::chrono::milliseconds(1000);
  /// A holder that peers don't hear for this long is doubted.
  Duration doubt_after = std::chrono::milliseconds(1000);
  /// Added to `validity` by a host that waits for a holder's end.
  Duration takeover_margin = std::chrono::milliseconds(300);
  /// No order is given for this time after another host may have given one.
  Duration settle = std::chrono::milliseconds(3200);
  /// A holder whose renewals fail for this long resigns.
  Duration resign_after = std::chrono::milliseconds(1500);
  /// How often the store is asked again after a call that failed.
  Duration retry_interval = std::chrono::milliseconds(500);
};

/// What the host should do about the lease now.
struct OrderLeaseStep {
  enum class Kind { kNone, kRead, kWrite };

  Kind kind = Kind::kNone;
  /// With `kWrite`: append only if the log ends at `expected_end`.
  OrderLeaseRecord record = {};
  std::uint64_t expected_end = 0;
};

/// One host's part in deciding which host gives engines their orders.
///
/// The record stands in the platform's store and is replaced only by an append
/// that names the end of the log it was decided on, so of two hosts one loses.
/// A holder acts for `validity` from the sending of its newest record. Another
/// host takes over only after it has seen the same log end for longer than
/// that, and then waits until no engine can hear two holders close together.
/// All times are on a clock that goes on through a suspension of the machine.
class OrderLease {
 public:
  OrderLease(HostId self,
             std::uint64_t incarnation,
             const OrderLeaseSettings& settings,
             Duration claim_delay);

  /// How long peers may not hear a holder before this host doubts it; longer
  /// where words are rare.
  void set_doubt_after(Duration time) { settings_.doubt_after = time; }

  /// Asked often; a step is given once until its result is told.
  OrderLeaseStep Next(BootTime now);

  /// The result of a read, at the time of its answer.
  void OnRead(BootTime now,
              const std::optional<OrderLeaseRecord>& record,
              std::uint64_t end);
  void OnReadFailed(BootTime now);

  /// The result of a write: done at that end of the log, lost to another host,
  /// or unknown.
  void OnWritten(BootTime now, std::uint64_t new_end);
  void OnConflict(BootTime now);
  void OnWriteUnknown(BootTime now);

  /// A peer says that it holds the lease under `term`.
  void OnHolderHeard(BootTime now, const HostId& host, std::uint64_t term);

  /// The holder says that it gives no more orders under `term`, and that the
  /// last one left it at `last_order` at the latest.
  void OnHolderResigned(BootTime now,
                        const HostId& host,
                        std::uint64_t term,
                        BootTime last_order);

  /// The term that this host has given up since it could not renew it; zero if
  /// none. It gives no order under it any more.
  std::uint64_t resigned_term() const { return resigned_term_; }

  /// The term under which an order may be given now. Ask right before each.
  std::optional<std::uint64_t> MayOrder(BootTime now) const;

  /// An order is given now.
  void NoteOrder(BootTime now) { last_order_ = now; }

  /// No order of this host, or of one that held the lease before it, was given
  /// after this time.
  BootTime last_order_bound() const;

  /// True from winning the lease on, also while orders have to wait.
  bool holds(BootTime now) const;

  /// Gives the lease up: the record to write, if it is this host's.
  std::optional<OrderLeaseStep> Release(BootTime now);

  const std::optional<OrderLeaseRecord>& record() const { return record_; }

 private:
  bool IsOwn() const;
  bool HolderResigned() const;
  OrderLeaseStep WriteStep(BootTime now, std::uint64_t term);
  BootTime ClaimableAt() const;

  HostId self_;
  std::uint64_t incarnation_;
  OrderLeaseSettings settings_;
  Duration claim_delay_;
  std::optional<OrderLeaseRecord> record_;
  std::uint64_t end_ = 0;
  bool end_known_ = false;
  /// The record and the end are those of the store, as far as is known.
  bool known_ = false;
  /// When the log was first seen to end at `end_`.
  BootTime end_seen_at_;
  std::optional<BootTime> holder_heard_at_;
  BootTime valid_until_;
  BootTime orders_from_;
  BootTime last_order_;
  BootTime write_sent_at_;
  BootTime next_call_at_;
  /// The holder of this term has told that it gives no more orders.
  std::uint64_t told_resigned_term_ = 0;
  BootTime told_last_order_;
  std::uint64_t resigned_term_ = 0;
  OrderLeaseRecord sent_record_;
  bool awaiting_ = false;
  bool released_ = false;
  std::uint64_t nonce_ = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_MEMBERSHIP_ORDER_LEASE_H_
