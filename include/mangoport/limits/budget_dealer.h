#ifndef MANGOPORT_LIMITS_BUDGET_DEALER_H_
#define MANGOPORT_LIMITS_BUDGET_DEALER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/limits.pb.h"
#include "mangoport/limits/account_limit.h"
#include "mangoport/limits/grant_taker.h"
#include "mangoport/limits/holder_lease.h"
#include "mangoport/limits/token_pool.h"

namespace mangoport {

/// Deals the tokens of one pool per client account to takers, for a time.
///
/// The holder of the stream `budget` deals the shared pool to zones. The
/// holder of `budget.<zone>` deals its zone's floor to the hosts there, and
/// beside it what it takes from the shared pool through its uplink. For each
/// account
///
///     tokens that takers may hold <= pool level + uplink balance
///
/// and the level is at most the pool's cap, so all that can be spent anywhere
/// is at most the account's burst. What a taker spent, or may have spent when
/// it fell silent, is charged to the uplink first, so that the floor stays
/// full for the time of a partition.
class BudgetDealer {
 public:
  /// `name` must be unique to this process; `grant_lease` is the longest lease
  /// of a grant.
  BudgetDealer(std::string name,
               const BudgetSettings& settings,
               Duration grant_lease);

  /// Sets the limits of this dealer's own pools: each account's `SharedPool`
  /// or `ZoneFloor`. Accounts left out get nothing any more.
  void SetLimits(MonoTime now, const std::vector<AccountLimit>& limits);

  /// Starts to deal as the holder named by `id`. Until every grant of an
  /// earlier holder has passed, only the inherited reserves are dealt.
  void StartEpoch(MonoTime now,
                  const DealerId& id,
                  const BudgetInheritance& inheritance);

  /// Deals only before `until`, the end of the holder's lease.
  void SetHeldUntil(MonoTime until) { held_until_ = until; }

  /// Names the dealer of the shared pool, or none. What was taken from another
  /// before stays in use until the floor covers all grants, or its lease ends.
  void SetUplink(MonoTime now, const std::optional<DealerId>& dealer);

  /// Answers a taker; no answer if this dealer may not deal, or if the request
  /// is older than one seen.
  std::optional<wire::BudgetReply> OnRequest(
      MonoTime now,
      const wire::BudgetRequest& request);

  /// Ends grants whose time has passed. Called often, and by all of the above.
  void Tick(MonoTime now);

  /// The next request to the shared pool's dealer, when one is due.
  std::optional<wire::BudgetRequest> MakeUplinkRequest(MonoTime now);
  void OnUplinkReply(MonoTime now, const wire::BudgetReply& reply);

  /// Reserves that differ enough from those in the log to be recorded with the
  /// renewal `nonce`.
  std::vector<wire::BudgetReserve> ReservesToRecord(std::uint64_t nonce);
  /// The renewal `nonce` was read back from the log.
  void OnReservesRecorded(std::uint64_t nonce);
  /// True if a taker waits for tokens that only a new record can free.
  bool wants_record() const { return wants_record_; }

  const std::optional<DealerId>& id() const { return id_; }
  std::size_t taker_count() const { return takers_.size(); }
  /// Tokens that takers of `account` may hold, for the status page.
  std::int64_t dealt(const AccountId& account) const;
  /// Tokens of `account` that are not dealt, reserves included.
  std::int64_t free(MonoTime now, const AccountId& account) const;

 private:
  struct Reserve {
    std::int64_t durable = 0;
    /// The greatest of the figures whose records have not been read back.
    std::int64_t pending = 0;
    std::int64_t latest = 0;
    std::uint64_t latest_nonce = 0;
    bool confirmed = true;
    /// A taker waits for tokens that the reserve keeps back.
    bool in_need = false;
  };
  struct Pool {
    explicit Pool(const TokenPool& pool) : tokens(pool) {}

    TokenPool tokens;
    std::int64_t dealt = 0;
    std::int64_t wanted = 0;
    std::int64_t unmet = 0;
    std::int64_t unmet_smallest = 0;
    MonoTime contested_until = MonoTime::min();
    /// The shared pool is short of this account until then.
    MonoTime hand_on_until = MonoTime::min();
    Reserve reserve;
  };
  struct Holding {
    std::int64_t held = 0;
    std::int64_t spent = 0;
    std::int64_t returned_recent = 0;
    std::int64_t returned_old = 0;
    std::int64_t wanted = 0;
  };
  struct Taker {
    std::uint64_t sequence = 0;
    MonoTime replied_at = MonoTime::min();
    MonoTime expires_at = MonoTime::min();
    std::unordered_map<AccountId, Holding> holdings;
  };

  bool MayDeal(MonoTime now) const;
  Duration LeaseAt(MonoTime now) const;
  std::int64_t Free(const AccountId& account, const Pool& pool) const;
  static std::int64_t ReservedIn(const Pool& pool);
  std::int64_t Available(const AccountId& account, const Pool& pool) const;
  Pool& PoolOf(MonoTime now, const AccountLimit& limit);
  void ChargeSpent(MonoTime now,
                   const AccountId& account,
                   Pool& pool,
                   std::int64_t tokens);
  void CreditReturned(const AccountId& account,
                      Pool& pool,
                      std::int64_t tokens,
                      CreditAge age);
  void EndTaker(MonoTime now, Taker& taker);
  void ExpireTakers(MonoTime now);
  void ExpireUplink(MonoTime now);
  void SettleReport(MonoTime now,
                    const AccountId& account,
                    const wire::BudgetAsk& ask,
                    Pool& pool,
                    Holding& holding);
  bool Answerable(const wire::BudgetRequest& request) const;
  bool FloorCoversAll() const;
  void ReplaceUplink(MonoTime now);
  std::vector<GrantNeed> UplinkNeeds(MonoTime now, bool full);
  wire::BudgetGrant MakeGrant(MonoTime now,
                              const wire::BudgetAsk& ask,
                              const AccountId& account,
                              Pool& pool,
                              Holding& holding);
  void NoteUnmet(MonoTime now,
                 std::int64_t needed,
                 std::int64_t smallest,
                 const AccountId& account,
                 Pool& pool,
                 wire::BudgetGrant& grant);
  std::optional<std::int64_t> CeilingFor(MonoTime now,
                                         const wire::BudgetAsk& ask,
                                         const AccountId& account,
                                         const Pool& pool,
                                         const Holding& holding) const;
  void AddShortAccounts(MonoTime now, wire::BudgetReply& reply);
  GrantNeed UplinkNeed(MonoTime now, const AccountId& account, Pool& pool);
  std::int64_t HandOnOverflow(MonoTime now, Pool& pool);
  void CheckCovered(const AccountId& account, const Pool& pool) const;

  std::string name_;
  BudgetSettings settings_;
  Duration grant_lease_;
  std::optional<DealerId> id_;
  BudgetInheritance inheritance_;
  MonoTime held_until_ = MonoTime::min();
  /// Takers of an earlier holder may hold grants until then.
  MonoTime unknown_until_ = MonoTime::min();
  MonoTime next_expiry_ = MonoTime::max();
  std::vector<AccountLimit> limits_;
  std::unordered_map<AccountId, Pool> pools_;
  std::unordered_map<std::string, Taker> takers_;
  std::vector<AccountId> contested_;
  std::vector<AccountId> unmet_;
  std::optional<GrantTaker> uplink_;
  std::optional<DealerId> uplink_dealer_;
  std::uint64_t uplink_count_ = 0;
  MonoTime full_report_at_ = MonoTime::min();
  bool wants_record_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_LIMITS_BUDGET_DEALER_H_
