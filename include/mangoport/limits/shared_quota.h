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

/// The result of a request to spend from an account's quota.
struct QuotaDecision {
  bool admitted = false;
  /// If refused: the estimated time until the quota is sufficient.
  Duration retry_after{};
  /// The values behind the decision, in tokens: the account's level as known to
  /// this host, and the share that the host may spend while the level is low.
  std::int64_t level = 0;
  std::int64_t share = 0;
};

/// The tokens of one account that one host has spent since it started.
struct AccountUsage {
  AccountId account;
  std::int64_t total = 0;
};

/// A usage report from another host.
struct PeerUsage {
  HostId host;
  /// Identifies one run of the host.
  std::uint64_t incarnation = 0;
  /// The host is in a planned shutdown. Its usage still counts, but it no
  /// longer counts towards the shares, so the other hosts get its share.
  bool leaving = false;
  /// Totals of some of its accounts since that run began.
  std::vector<AccountUsage> uses = {};
};

/// Limits each client account to its rate and burst over all hosts, without a
/// central allocator.
///
/// Each host reports its total usage to the others, and each keeps a token
/// bucket per account that it charges with its own and the reported usage.
/// Four rules bound the usage that peers have not reported yet:
///
/// - A peer is assumed to keep spending at its mean rate.
/// - In one update round a host spends little more from the bucket than twice
///   what it usually does, so that a sudden demand at all hosts at once takes
///   only a few bursts before the updates arrive.
/// - Once the bucket has been empty, and until the demand has fallen, a host
///   spends no more than its share of the rate.
/// - A peer without recent updates may still be spending on the other side of a
///   network partition, so its share of rate and burst is set aside.
///
/// This handles an account that sends many times its rate through all hosts at
/// once, for any number of hosts, beside accounts that send little.
class SharedQuota {
 public:
  struct Settings {
    /// The minimum reserve, as a fraction of the burst. Below the reserve a
    /// host spends only its share.
    double min_reserve_fraction = 0.06;
    /// The maximum reserve, as a fraction of the burst, however rare updates
    /// are.
    double max_reserve_fraction = 0.1;
    /// A bucket that was empty is in use again from this level, as a fraction
    /// of the burst, and after so many update rounds without a refusal.
    double reopen_fraction = 0.5;
    double reopen_rounds = 4;
    /// The bursts that all hosts together may spend in one update round beyond
    /// what they usually do.
    double bursts_per_round = 4;
    /// The time over which the usual rates are averaged, in update rounds.
    double averaging_rounds = 4;
    /// A host counts as unreachable if no update arrives from it for the longer
    /// of this time and `host_timeout_rounds` update rounds. The number of
    /// rounds decides in a large fleet, where rounds are long.
    Duration host_timeout = std::chrono::milliseconds(1200);
    double host_timeout_rounds = 2.5;
    /// The minimum time for which the list of hosts is used after it was read.
    Duration host_list_lifetime = std::chrono::seconds(5);
    /// An unresponsive host is removed after this time.
    Duration host_removal_delay = std::chrono::seconds(60);
    /// The maximum time over which an unused share accumulates.
    Duration max_share_accumulation = std::chrono::milliseconds(1000);
  };

  explicit SharedQuota(const Settings& settings) : settings_(settings) {}

  /// Sets the time in which every host has sent an update to every other host
  /// once. It grows with the size of the fleet.
  void set_update_round(Duration round) { update_round_ = round; }

  /// Stops the refill of limited accounts until `OnListed`, so that a host that
  /// has just started spends nothing of them: it doesn't know yet how many
  /// hosts share the limits.
  void AwaitHostList() { awaits_host_list_ = true; }

  /// Sets the number of hosts in the host list, this one included. Only the
  /// first call after `AwaitHostList` has an effect. The number is used for a
  /// limited time, in which the running hosts send updates, since some of the
  /// listed hosts may no longer exist.
  void OnListed(MonoTime now, std::size_t hosts);
  SharedQuota() : SharedQuota(Settings{}) {}

  /// Sets the limits. Accounts that are left out are not limited.
  void SetLimits(MonoTime now, const std::vector<AccountLimit>& limits);

  /// Charges `amount` tokens to `account` if the quota permits.
  QuotaDecision TrySpend(MonoTime now,
                         const AccountId& account,
                         std::int64_t amount);

  /// Returns tokens that were charged for a request that did not run.
  void Refund(MonoTime now, const AccountId& account, std::int64_t amount);

  /// Applies a usage report from another host.
  void OnPeerUsage(MonoTime now, const PeerUsage& peer);

  /// Returns this host's usage since it started. Every report must contain all
  /// of it, since a peer takes the first report as the usage before it knew
  /// this host.
  std::vector<AccountUsage> OwnUsage() const;

  /// The number of hosts that count towards the shares, this one included.
  std::size_t host_count() const;

 private:
  struct Bucket {
    AccountLimit limit;
    bool limited = false;
    double level = 0;
    /// Tokens that this host may spend while the level is low.
    double share = 0;
    /// Tokens that this host may spend from the bucket in this update round.
    double round_allowance = 0;
    /// The mean rate at which this host spends.
    double own_per_second = 0;
    /// What this host spent last.
    double last_amount = 0;
    MonoTime refused_at;
    /// The bucket was empty, and the account still asks for more than its rate.
    bool exhausted = false;
    MonoTime filled_at;
    std::int64_t own_total = 0;
  };
  /// The reported usage of one account by another host.
  struct PeerAccountUsage {
    std::int64_t total = 0;
    /// Mean rate.
    double per_second = 0;
  };
  struct Host {
    MonoTime last_update_at;
    std::uint64_t incarnation = 0;
    bool leaving = false;
    std::map<AccountId, PeerAccountUsage> uses;
  };

  /// The fraction of the fleet that this host receives updates from, itself
  /// included.
  double ReachableFraction(MonoTime now) const;
  void DropExpiredHostList(MonoTime now);
  void Fill(MonoTime now, Bucket& bucket);
  Duration HostTimeout() const;
  /// The weight of what was spent in the last `time` in a mean rate.
  double MeanWeight(Duration time) const;
  /// The maximum of `Bucket::round_allowance`.
  double MaxRoundAllowance(const Bucket& bucket) const;
  /// Updates `Bucket::exhausted` for its level.
  void NoteLevel(MonoTime now, Bucket& bucket) const;
  /// The level below which a host spends only its share: the tokens that all
  /// hosts may spend at the account's rate during half an update round.
  double Reserve(const AccountLimit& limit) const;
  /// The estimated usage of the other hosts since their last updates.
  double UnreportedUsage(MonoTime now, const AccountId& account) const;

  Settings settings_;
  Duration update_round_{};
  std::size_t listed_hosts_ = 0;
  MonoTime host_list_valid_until_;
  bool awaits_host_list_ = false;
  std::unordered_map<AccountId, Bucket> buckets_;
  std::map<HostId, Host> hosts_;
};

}  // namespace mangoport

#endif  // MANGOPORT_LIMITS_SHARED_QUOTA_H_
