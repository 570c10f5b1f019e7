#ifndef MANGOPORT_LIMITS_SHARED_QUOTA_H_
#define MANGOPORT_LIMITS_SHARED_QUOTA_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/limits/account_limit.h"

namespace mangoport {

/// Answers a request to spend from an account's quota.
struct QuotaDecision {
  bool admitted = false;
  /// If refused: when so much will probably be there.
  Duration retry_after{};
  /// What decided: the account's level as this host knows it, and what the host
  /// may spend while that is low.
  std::int64_t level = 0;
  std::int64_t share = 0;
};

/// What one host has spent of one account since it started.
struct AccountUse {
  AccountId account;
  std::int64_t total = 0;
};

/// What another host tells of its spending.
struct PeerSpending {
  HostId host;
  /// Names one run of the host.
  std::uint64_t incarnation = 0;
  /// It stops in order: what it still serves counts, its share falls to others.
  bool leaving = false;
  /// Totals since that run began, of some of its accounts.
  std::vector<AccountUse> uses = {};
};

/// Keeps a client account to its rate and burst over all hosts together,
/// without a host that deals them out.
///
/// Each host tells the others how much it has spent in all; each keeps a token
/// bucket for the account from which it takes its own and their spending. What
/// others have spent and not told yet is bounded by three rules. It is taken to
/// go on at the rate of their last word. While the bucket is nearly empty, a
/// host spends no more than its share of the rate. A host that was not heard
/// from lately may be spending on the other side of a cut, so its share of rate
/// and burst is left to it.
///
/// Answers the load of one account that sends many times its rate at once
/// through all hosts, however many they are.
class SharedQuota {
 public:
  struct Settings {
    /// Below this part of the burst a host spends only its share.
    double reserve = 0.06;
    /// The reserve is at most this part of the burst, however rare words are.
    double most_reserve = 0.5;
    /// A host that was silent for longer is counted as cut off, in a small
    /// fleet, and where rounds are long, after so many of them.
    Duration silence = std::chrono::milliseconds(1200);
    double silent_rounds = 2.5;
    /// For how long after its reading the list of hosts counts, at least.
    Duration list_lifetime = std::chrono::seconds(5);
    /// A silent host is forgotten after this time.
    Duration forget = std::chrono::seconds(60);
    /// The longest time for which a share is saved up.
    Duration share_horizon = std::chrono::milliseconds(1000);
  };

  explicit SharedQuota(const Settings& settings) : settings_(settings) {}

  /// How long it takes until each host has told each other once; longer in a
  /// large fleet.
  void set_round(Duration round) { round_ = round; }

  /// Spends nothing of limited accounts until `OnListed`: a host that has just
  /// started does not know with how many it shares them.
  void AwaitList() { awaits_list_ = true; }

  /// The list of hosts names so many, this one among them. Counts once and for
  /// a time, in which those that live are heard; some of it may be gone.
  void OnListed(MonoTime now, std::size_t hosts);
  SharedQuota() : SharedQuota(Settings{}) {}

  /// Takes new limits. Accounts that are not named have none.
  void SetLimits(MonoTime now, const std::vector<AccountLimit>& limits);

  QuotaDecision TrySpend(MonoTime now,
                         const AccountId& account,
                         std::int64_t amount);

  /// Gives back what was charged for a request that did not run.
  void Refund(MonoTime now, const AccountId& account, std::int64_t amount);

  /// Takes in what another host tells of itself.
  void OnPeer(MonoTime now, const PeerSpending& peer);

  /// This host's spending since it started. All of it is told each time, since
  /// the first message of a host defines what was spent before.
  std::vector<AccountUse> OwnUse() const;

  /// Hosts that count towards the shares, this one among them.
  std::size_t host_count() const;

 private:
  struct Bucket {
    AccountLimit limit;
    bool limited = false;
    double level = 0;
    /// What this host may spend while the level is low.
    double share = 0;
    MonoTime filled_at;
    std::int64_t own_total = 0;
  };
  /// What another host has told of one account.
  struct PeerUse {
    std::int64_t total = 0;
    /// Between its last words.
    double per_second = 0;
  };
  struct Host {
    MonoTime heard_at;
    std::uint64_t incarnation = 0;
    bool leaving = false;
    std::map<AccountId, PeerUse> uses;
  };

  /// The part of the fleet that is in touch with this host.
  double HeardPart(MonoTime now) const;
  void DropOldList(MonoTime now);
  void Fill(MonoTime now, Bucket& bucket);
  Duration Silence() const;
  /// The level below which a host spends only its share: what all hosts may
  /// spend at the account's rate while half a round of words goes by.
  double Reserve(const AccountLimit& limit) const;
  /// What the others have probably spent since their last words.
  double Untold(MonoTime now, const AccountId& account) const;

  Settings settings_;
  Duration round_{};
  std::size_t listed_ = 0;
  MonoTime listed_until_;
  bool awaits_list_ = false;
  std::unordered_map<AccountId, Bucket> buckets_;
  std::map<HostId, Host> hosts_;
};

}  // namespace mangoport

#endif  // MANGOPORT_LIMITS_SHARED_QUOTA_H_
