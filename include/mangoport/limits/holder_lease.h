#ifndef MANGOPORT_LIMITS_HOLDER_LEASE_H_
#define MANGOPORT_LIMITS_HOLDER_LEASE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "mangoport/core/ids.h"
#include "mangoport/core/log_position.h"
#include "mangoport/core/time.h"
#include "mangoport/limits.pb.h"
#include "mangoport/limits/account_limit.h"

namespace mangoport {

/// The state of a pool that a new holder takes over.
struct BudgetInheritance {
  /// True if the pool never had a holder, so it is full.
  bool fresh = false;
  /// Tokens that the earlier holder had reserved and so did not allocate.
  std::unordered_map<AccountId, std::int64_t> reserves;
};

/// The fold of one budget stream: its holder and the current reserves.
///
/// A claim is valid only if its basis is the latest valid record. So only the
/// first of two concurrent claims is valid, and a claim is invalid if a renewal
/// precedes it. A renewal or release is valid only in the epoch of the latest
/// claim. Invalid records have no effect.
class BudgetFold {
 public:
  /// Applies the record at `position`. Returns whether it is valid.
  bool Apply(const LogPosition& position, const wire::BudgetRecord& record);

  /// Reports that the log no longer has the first entries of the stream. The
  /// holder is then taken from the next renewal, and claims are ignored until
  /// then.
  void StartAfterGap() { after_gap_ = true; }

  /// The position of the latest valid claim. Absent on an empty stream.
  const std::optional<LogPosition>& epoch() const { return epoch_; }
  /// The position of the latest valid record. Absent on an empty stream.
  const std::optional<LogPosition>& last_valid() const { return last_valid_; }
  /// The name of the holder's process. Empty after a release.
  const std::string& holder() const { return holder_; }
  /// The address at which grantees reach the holder.
  const std::string& holder_address() const { return holder_address_; }
  /// The state that the holder of the current epoch took over.
  const BudgetInheritance& inheritance() const { return inheritance_; }

 private:
  bool ApplyClaim(const LogPosition& position,
                  const wire::BudgetRecord& record);
  void AdoptAfterGap(const wire::BudgetRecord& record);

  bool after_gap_ = false;
  std::optional<LogPosition> epoch_;
  std::optional<LogPosition> last_valid_;
  std::string holder_;
  std::string holder_address_;
  std::uint64_t nonce_ = 0;
  std::unordered_map<AccountId, std::int64_t> reserves_;
  BudgetInheritance inheritance_;
};

/// Acquires, renews and releases the lease on a budget stream for one host.
///
/// The holder's lease starts when it sends the last claim or renewal that it
/// has read back as valid. Other hosts may claim the stream once they have read
/// no valid record for the duration of the lease, extended by the maximum drift
/// between two clocks.
class HolderLease {
 public:
  /// `self` identifies one run of one process. `address` is where it serves
  /// peers, as "ip:port".
  HolderLease(std::string self,
              std::string address,
              const BudgetSettings& settings,
              Duration lease);

  /// Applies a record. Records must be passed in the order of the stream.
  /// Returns whether the record is valid.
  bool OnRecord(MonoTime now,
                const LogPosition& position,
                const wire::BudgetRecord& record);

  /// Reports that the stream has been read to its end once. No claim is made
  /// before that, since it could conflict with unread records.
  void OnCaughtUp(MonoTime now);

  /// See `BudgetFold::StartAfterGap`.
  void StartAfterGap() { fold_.StartAfterGap(); }

  /// Returns a claim or renewal to append, if one is due. `early` requests a
  /// renewal before the regular interval. The caller adds reserves to a
  /// renewal.
  std::optional<wire::BudgetRecord> MakeRecord(MonoTime now, bool early);

  /// Ends the lease for a planned shutdown and returns the release to append,
  /// if this host is the holder. No grant may be made afterwards.
  std::optional<wire::BudgetRecord> MakeRelease(MonoTime now);

  bool holds(MonoTime now) const { return now < held_until(); }
  MonoTime held_until() const;
  const BudgetFold& fold() const { return fold_; }
  const std::string& self() const { return self_; }

 private:
  struct SentRecord {
    std::uint64_t nonce = 0;
    MonoTime at;
  };

  wire::BudgetRecord NewRecord(MonoTime now, wire::BudgetRecord::Kind kind);
  bool MayClaim(MonoTime now) const;

  std::string self_;
  std::string address_;
  BudgetSettings settings_;
  Duration lease_;
  /// Delay before a claim. It differs between hosts, so that not all of them
  /// claim at once.
  Duration claim_delay_;
  BudgetFold fold_;
  bool caught_up_ = false;
  bool released_ = false;
  std::uint64_t nonce_ = 0;
  /// Records that were sent after the last one that was read back.
  std::deque<SentRecord> sent_records_;
  MonoTime last_sent_at_ = MonoTime::min();
  MonoTime last_valid_at_ = MonoTime::min();
  MonoTime held_until_ = MonoTime::min();
};

}  // namespace mangoport

#endif  // MANGOPORT_LIMITS_HOLDER_LEASE_H_
