#ifndef MANGOPORT_LIMITS_BUDGET_ALLOCATOR_H_
#define MANGOPORT_LIMITS_BUDGET_ALLOCATOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/limits.pb.h"
#include "mangoport/limits/account_limit.h"
#include "mangoport/limits/grantee_session.h"
#include "mangoport/limits/holder_lease.h"
#include "mangoport/limits/token_pool.h"

namespace mangoport {

/// Allocates the tokens of one pool per client account to grantees under a
/// lease.
///
/// The holder of the stream `budget` allocates the shared pool to zones. The
/// holder of `budget.<zone>` allocates its zone's floor to the hosts of the
/// zone, together with the tokens that it obtains from the shared pool through
/// its uplink. This invariant holds for each account:
///
///     tokens that grantees may hold <= pool level + uplink balance
///
/// The level never exceeds the pool's cap, so the tokens that the whole fleet
/// can spend at once never exceed the account's burst. Tokens that a grantee
/// spent, or may have spent when its lease expired, are charged to the uplink
/// first. This keeps the floor full for a later partition.
class BudgetAllocator {
 public:
  /// `name` must be unique to this process. `grant_lease` is the maximum lease
  /// of a grant.
  BudgetAllocator(std::string name,
                  const BudgetSettings& settings,
                  Duration grant_lease);

  /// Sets the limits of this allocator's own pools: the `SharedPool` or
  /// `ZoneFloor` of each account. Accounts that are left out get a limit of
  /// zero.
  void SetLimits(MonoTime now, const std::vector<AccountLimit>& limits);

  /// Starts to allocate as the holder identified by `id`. Allocates only the
  /// inherited reserves until every grant of an earlier holder has expired.
  void StartEpoch(MonoTime now,
                  const AllocatorId& id,
                  const BudgetInheritance& inheritance);

  /// Sets the end of the holder's lease. No tokens are allocated from then on.
  void SetHeldUntil(MonoTime until) { held_until_ = until; }

  /// Sets the allocator of the shared pool, if there is one. Tokens from the
  /// previous uplink stay in use until the floor covers all grants, or until
  /// the lease on them expires.
  void SetUplink(MonoTime now, const std::optional<AllocatorId>& allocator);

  /// Answers a request of a grantee. Returns nothing if this allocator may not
  /// allocate now or only with a lease below `kMinGrantLease`, if the request
  /// is for another allocator or not newer than the grantee's last one, or if
  /// it reports tokens that this allocator did not grant.
  std::optional<wire::BudgetReply> OnRequest(
      MonoTime now,
      const wire::BudgetRequest& request);

  /// Expires grants and replaces the uplink when due. To be called often; the
  /// functions that handle requests and replies call it too.
  void Tick(MonoTime now);

  /// Returns the next request to the allocator of the shared pool, if one is
  /// due.
  std::optional<wire::BudgetRequest> MakeUplinkRequest(MonoTime now);
  /// Applies a reply to the latest uplink request. Other replies are ignored.
  void OnUplinkReply(MonoTime now, const wire::BudgetReply& reply);

  /// Returns the reserves to record with the renewal `nonce`: those that differ
  /// enough from the log, and those whose last record is unconfirmed.
  std::vector<wire::BudgetReserve> ReservesToRecord(std::uint64_t nonce);
  /// Confirms the reserves of the renewal `nonce` after it was read back from
  /// the log.
  void OnReservesRecorded(std::uint64_t nonce);
  /// True if a grantee waits for tokens that stay reserved until a new record
  /// lowers the reserve.
  bool wants_record() const { return wants_record_; }

  const std::optional<AllocatorId>& id() const { return id_; }
  std::size_t grantee_count() const { return grantees_.size(); }
  /// Tokens of `account` that grantees may hold, for the status page.
  std::int64_t allocated(const AccountId& account) const;
  /// Tokens of `account` that are not allocated, reserves included. Excludes an
  /// uplink balance whose lease has expired.
  std::int64_t free(MonoTime now, const AccountId& account) const;

 private:
  /// Tokens of a pool that are left for the next holder.
  struct Reserve {
    /// The last recorded amount that was read back from the log.
    std::int64_t durable = 0;
    /// The greatest recorded amount that has not been read back yet.
    std::int64_t pending = 0;
    /// The last recorded amount and the renewal that contains it.
    std::int64_t latest = 0;
    std::uint64_t latest_nonce = 0;
    /// True if the renewal `latest_nonce` was read back from the log.
    bool confirmed = true;
    /// True if a grantee waits for tokens that are reserved.
    bool needed = false;
  };
  struct Pool {
    explicit Pool(const TokenPool& pool) : tokens(pool) {}

    TokenPool tokens;
    /// Tokens that grantees may hold.
    std::int64_t allocated = 0;
    /// The sum of the balances that grantees want for their recent demand.
    std::int64_t wanted = 0;
    /// Tokens that waiting requests needed and did not get since the last
    /// uplink request, and the smallest of these needs.
    std::int64_t unmet = 0;
    std::int64_t unmet_smallest = 0;
    /// Until then, grants cover only waiting requests, and other grantees must
    /// return their tokens.
    MonoTime contested_until = MonoTime::min();
    /// Floor refill without free capacity is forwarded to the shared pool until
    /// then.
    MonoTime forward_overflow_until = MonoTime::min();
    Reserve reserve;
  };
  /// The tokens of one account that a grantee may hold, and the counters of its
  /// last report.
  struct Holding {
    std::int64_t held = 0;
    std::int64_t spent = 0;
    std::int64_t returned_recent = 0;
    std::int64_t returned_old = 0;
    std::int64_t wanted = 0;
  };
  struct Grantee {
    std::uint64_t sequence = 0;
    MonoTime replied_at = MonoTime::min();
    /// When the grantee was last sent the list of short accounts.
    MonoTime short_accounts_sent_at = MonoTime::min();
    MonoTime expires_at = MonoTime::min();
    std::unordered_map<AccountId, Holding> holdings;
  };

  bool MayAllocate(MonoTime now) const;
  /// The lease of a grant made at `now`. It ends before the uplink's lease, on
  /// any clock.
  Duration LeaseAt(MonoTime now) const;
  /// Tokens that are not allocated, reserves included.
  std::int64_t Free(const AccountId& account, const Pool& pool) const;
  static std::int64_t ReservedIn(const Pool& pool);
  /// Free tokens that are not reserved.
  std::int64_t Available(const AccountId& account, const Pool& pool) const;
  Pool& FindOrCreatePool(MonoTime now, const AccountLimit& limit);
  void ChargeSpent(MonoTime now,
                   const AccountId& account,
                   Pool& pool,
                   std::int64_t tokens);
  void CreditReturned(const AccountId& account,
                      Pool& pool,
                      std::int64_t tokens,
                      CreditAge age);
  void ExpireGrantee(MonoTime now, Grantee& grantee);
  void ExpireGrantees(MonoTime now);
  void ExpireUplink(MonoTime now);
  void ApplyReport(MonoTime now,
                   const AccountId& account,
                   const wire::BudgetAsk& ask,
                   Pool& pool,
                   Holding& holding);
  bool IsAcceptable(const wire::BudgetRequest& request) const;
  /// True if the pools alone cover all grants and reserves, so the uplink's
  /// balance can be dropped.
  bool FloorCoversAllGrants() const;
  void ReplaceUplink(MonoTime now);
  std::vector<GrantNeed> UplinkNeeds(MonoTime now, bool full);
  wire::BudgetGrant MakeGrant(MonoTime now,
                              const wire::BudgetAsk& ask,
                              const AccountId& account,
                              Pool& pool,
                              Holding& holding);
  void RecordUnmetNeed(MonoTime now,
                       std::int64_t needed,
                       std::int64_t smallest,
                       const AccountId& account,
                       Pool& pool,
                       wire::BudgetGrant& grant);
  /// The maximum balance of the grantee, absent if there is no limit.
  std::optional<std::int64_t> CeilingFor(MonoTime now,
                                         const wire::BudgetAsk& ask,
                                         const AccountId& account,
                                         const Pool& pool,
                                         const Holding& holding) const;
  void AddShortAccounts(MonoTime now,
                        Grantee& grantee,
                        wire::BudgetReply& reply);
  GrantNeed UplinkNeed(MonoTime now, const AccountId& account, Pool& pool);
  std::int64_t OverflowToForward(MonoTime now, Pool& pool);
  /// Checks the invariant of this class for one account.
  void CheckCovered(const AccountId& account, const Pool& pool) const;

  std::string name_;
  BudgetSettings settings_;
  Duration grant_lease_;
  std::optional<AllocatorId> id_;
  BudgetInheritance inheritance_;
  MonoTime held_until_ = MonoTime::min();
  /// Grantees of an earlier holder may hold grants until then.
  MonoTime earlier_grants_until_ = MonoTime::min();
  MonoTime next_expiry_ = MonoTime::max();
  std::vector<AccountLimit> limits_;
  std::unordered_map<AccountId, Pool> pools_;
  std::unordered_map<std::string, Grantee> grantees_;
  /// Accounts whose `Pool::unmet` is not zero.
  std::vector<AccountId> unmet_accounts_;
  std::optional<GranteeSession> uplink_;
  std::optional<AllocatorId> uplink_allocator_;
  std::uint64_t uplink_count_ = 0;
  MonoTime full_report_at_ = MonoTime::min();
  bool wants_record_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_LIMITS_BUDGET_ALLOCATOR_H_
