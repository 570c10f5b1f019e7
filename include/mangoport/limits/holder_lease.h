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

/// What a new holder of a pool may count on.
struct BudgetInheritance {
  /// Nobody has ever dealt from the pool, so it is full.
  bool fresh = false;
  /// Tokens that the earlier holder had promised not to deal.
  std::unordered_map<AccountId, std::int64_t> reserves;
};

/// The fold of one budget stream: who holds it, and which reserves stand.
///
/// A claim is valid only if it names the latest valid record as its basis, so
/// of two claims one loses, and a claim loses to a renewal that came first. A
/// renewal or release is valid only in the epoch of the latest claim. Void
/// records change nothing.
class BudgetFold {
 public:
  /// Takes the record at `position`; returns whether it is valid.
  bool Apply(const LogPosition& position, const wire::BudgetRecord& record);

  /// Reading starts after entries that the log keeps no more. The next renewal
  /// then tells who holds the stream; until then claims are passed over.
  void StartAfterGap() { after_gap_ = true; }

  /// The position of the latest valid claim. None on an empty stream.
  const std::optional<LogPosition>& epoch() const { return epoch_; }
  const std::optional<LogPosition>& last_valid() const { return last_valid_; }
  /// Empty after a release.
  const std::string& holder() const { return holder_; }
  /// What the holder of the present epoch took over.
  const BudgetInheritance& inheritance() const { return inheritance_; }

 private:
  bool ApplyClaim(const LogPosition& position,
                  const wire::BudgetRecord& record);
  void AdoptAfterGap(const wire::BudgetRecord& record);

  bool after_gap_ = false;
  std::optional<LogPosition> epoch_;
  std::optional<LogPosition> last_valid_;
  std::string holder_;
  std::uint64_t nonce_ = 0;
  std::unordered_map<AccountId, std::int64_t> reserves_;
  BudgetInheritance inheritance_;
};

/// One host's part in the lease on a budget stream.
///
/// The holder counts its lease from the sending of the last renewal that it
/// has read back as valid. Others may claim once they have read nothing valid
/// for that long and the greatest drift of two clocks.
class HolderLease {
 public:
  /// `self` names one run of one process.
  HolderLease(std::string self, const BudgetSettings& settings, Duration lease);

  /// Takes a record in the order of the stream; returns whether it is valid.
  bool OnRecord(MonoTime now,
                const LogPosition& position,
                const wire::BudgetRecord& record);

  /// The stream has been read to its end once; claims before that would race
  /// with what has not been read.
  void OnCaughtUp(MonoTime now);

  void StartAfterGap() { fold_.StartAfterGap(); }

  /// A claim or renewal to append, when one is due. `early` asks for a renewal
  /// before its time. The caller adds reserves to a renewal.
  std::optional<wire::BudgetRecord> MakeRecord(MonoTime now, bool early);

  /// Ends the lease at a planned stop, after the last grant was dealt.
  std::optional<wire::BudgetRecord> MakeRelease(MonoTime now);

  bool holds(MonoTime now) const { return now < held_until(); }
  MonoTime held_until() const;
  const BudgetFold& fold() const { return fold_; }
  const std::string& self() const { return self_; }

 private:
  struct Sent {
    std::uint64_t nonce = 0;
    MonoTime at;
  };

  wire::BudgetRecord NewRecord(MonoTime now, wire::BudgetRecord::Kind kind);
  bool MayClaim(MonoTime now) const;

  std::string self_;
  BudgetSettings settings_;
  Duration lease_;
  /// Differs between hosts, so that not all claim at once.
  Duration claim_delay_;
  BudgetFold fold_;
  bool caught_up_ = false;
  bool released_ = false;
  std::uint64_t nonce_ = 0;
  std::deque<Sent> sent_;
  MonoTime last_sent_ = MonoTime::min();
  MonoTime last_valid_at_ = MonoTime::min();
  MonoTime held_until_ = MonoTime::min();
};

}  // namespace mangoport

#endif  // MANGOPORT_LIMITS_HOLDER_LEASE_H_
