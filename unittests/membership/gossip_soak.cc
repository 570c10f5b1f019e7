// Runs the gossip between entry hosts with message loss, delay, duplication and
// reordering, paused and killed hosts, restarts without state, zone and region
// partitions, log outages, clock drift and a lagging host list. Periodically
// removes all faults and checks that the fleet converges within the time limit.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mangoport/core/invariant.h"
#include "unittests/support/gossip_fleet.h"
#include "unittests/support/soak_main.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Host = GossipFleet::Host;

constexpr int kZones = 4;
constexpr int kHostsPerZone = 5;
constexpr int kSeedsPerZone = 2;
/// Zones 0 and 1 form one region, zones 2 and 3 the other.
constexpr int kZonesPerRegion = 2;
/// Time limit for changes to be applied on every host.
constexpr seconds kPropagationLimit{7};
/// Time limit for all hosts to agree on the membership.
constexpr seconds kMembershipLimit{20};
/// Steps under faults between two recoveries.
constexpr std::uint64_t kFaultSteps = 250;
constexpr Duration kStep = milliseconds(100);
constexpr double kMaxClockDrift = 400e-6;

std::string ZoneName(int zone) {
  return "zone-" + std::to_string(zone);
}

/// The network and log faults in effect.
struct Faults {
  /// Probability that a message is lost.
  double loss_probability = 0;
  /// Probability that a message is delayed by up to 3 s.
  double delay_probability = 0;
  std::set<std::string> partitioned_zones;
  std::set<std::string> zones_without_log;
  bool regions_partitioned = false;
  bool log_unavailable = false;
  std::set<HostId> hosts_without_network;
};

class Soak {
 public:
  Soak(const SoakOptions& options, SoakProgress& progress)
      : options_(options),
        progress_(progress),
        random_(options.seed),
        fleet_(options.seed + 1) {}

  void Run();

 private:
  /// What was last observed of one host, to detect regressions.
  struct Observed {
    std::uint64_t run = 0;
    std::uint64_t next_offset = 0;
    std::map<HostId, std::pair<std::uint64_t, wire::HostCondition>> hosts;
    std::set<std::string> withdrawn;
    std::set<std::string> leaving_servers;
  };

  bool Chance(double p) { return std::bernoulli_distribution(p)(random_); }
  Host& AnyHost() { return fleet_.hosts()[random_() % fleet_.hosts().size()]; }
  Fate MessageFate(const Host& from, const Host& to);
  Fate LogFate(const Host& host);
  bool Reachable(const Host& from, const Host& to) const;

  void InjectFaults();
  void ChangeNetwork();
  void ChangeHosts();
  void ChangeConfiguration();
  void ReadPlatformList();
  void RemoveFaultsAndCheck(bool with_log);

  void CheckHost(const Host& host);
  void CheckNoReturnAfterLeaving(const Host& host, Observed& observed) const;
  void CheckWithdrawals(const Host& host, Observed& observed) const;
  void CheckApplied(std::uint64_t offset, const std::set<std::string>& keys);
  void CheckMembershipConverged();

  void Advance() {
    fleet_.RunUntil(fleet_.now() + kStep);
    ReadPlatformList();
    for (const Host& it : fleet_.hosts())
      CheckHost(it);
  }

  const SoakOptions options_;
  SoakProgress& progress_;
  std::mt19937_64 random_;
  GossipFleet fleet_;
  Faults faults_;
  std::map<HostId, Observed> observed_;
  /// When each leaving host stops.
  std::map<HostId, MonoTime> stops_at_;
  /// The platform's host list at each recent step.
  std::deque<std::pair<MonoTime, std::vector<HostListEntry>>> list_history_;
  /// When the platform's list drops each stopped host.
  std::map<HostId, MonoTime> unlisted_at_;
  std::vector<std::string> withdrawn_keys_;
  std::vector<std::pair<MonoTime, std::string>> leaving_servers_;
  /// Number in the name of the latest change, key or server.
  std::uint64_t last_name_ = 0;
};

bool Soak::Reachable(const Host& from, const Host& to) const {
  if (faults_.hosts_without_network.count(from.id) != 0 ||
      faults_.hosts_without_network.count(to.id) != 0)
    return false;
  if (from.zone == to.zone)
    return true;
  if (faults_.partitioned_zones.count(from.zone.value()) != 0 ||
      faults_.partitioned_zones.count(to.zone.value()) != 0)
    return false;
  const auto region = [](const ZoneId& zone) {
    return (zone.value().back() - '0') / kZonesPerRegion;
  };
  return !faults_.regions_partitioned || region(from.zone) == region(to.zone);
}

Fate Soak::MessageFate(const Host& from, const Host& to) {
  Fate fate;
  fate.lost = !Reachable(from, to) || Chance(faults_.loss_probability);
  fate.twice = Chance(0.05);
  fate.delay = std::chrono::microseconds(500 + random_() % 20000);
  if (Chance(faults_.delay_probability))
    fate.delay = milliseconds(random_() % 3000);
  return fate;
}

Fate Soak::LogFate(const Host& host) {
  Fate fate;
  fate.lost = faults_.log_unavailable ||
              faults_.zones_without_log.count(host.zone.value()) != 0 ||
              faults_.hosts_without_network.count(host.id) != 0 ||
              Chance(faults_.loss_probability);
  fate.delay = milliseconds(1 + random_() % 20);
  if (Chance(faults_.delay_probability))
    fate.delay = milliseconds(random_() % 3000);
  return fate;
}

void Soak::ChangeNetwork() {
  const std::string zone = ZoneName(static_cast<int>(random_() % kZones));
  if (Chance(0.02))
    faults_.loss_probability = Chance(0.5) ? 0 : 0.1;
  if (Chance(0.02))
    faults_.delay_probability = Chance(0.5) ? 0 : 0.1;
  if (Chance(0.02) && !faults_.partitioned_zones.erase(zone))
    faults_.partitioned_zones = {zone};
  if (Chance(0.02) && !faults_.zones_without_log.erase(zone))
    faults_.zones_without_log.insert(zone);
  if (Chance(0.01))
    faults_.regions_partitioned = !faults_.regions_partitioned;
  if (Chance(0.02))
    faults_.log_unavailable = !faults_.log_unavailable;
  const HostId host = AnyHost().id;
  if (Chance(0.02) && !faults_.hosts_without_network.erase(host))
    faults_.hosts_without_network = {host};
}

void Soak::ChangeHosts() {
  Host& host = AnyHost();
  if (Chance(0.02) && host.up && stops_at_.count(host.id) == 0) {
    progress_.Note("kill " + host.id.value());
    fleet_.Stop(host);
    unlisted_at_[host.id] = fleet_.now() + seconds(10);
  }
  Host& other = AnyHost();
  if (Chance(0.05) && !other.up) {
    progress_.Note("start " + other.id.value());
    fleet_.Start(other);
    unlisted_at_.erase(other.id);
  }
  Host& leaving_host = AnyHost();
  if (Chance(0.01) && leaving_host.up &&
      stops_at_.count(leaving_host.id) == 0) {
    progress_.Note("leave " + leaving_host.id.value());
    fleet_.Act(leaving_host, leaving_host.gossip->AnnounceLeaving(
                                 fleet_.LocalTime(leaving_host)));
    stops_at_[leaving_host.id] = fleet_.now() + seconds(4);
  }
  for (auto it = stops_at_.begin(); it != stops_at_.end();) {
    if (it->second > fleet_.now()) {
      ++it;
      continue;
    }
    for (Host& leaver : fleet_.hosts()) {
      if (leaver.id == it->first && leaver.up)
        fleet_.Stop(leaver);
    }
    unlisted_at_[it->first] = fleet_.now() + seconds(10);
    it = stops_at_.erase(it);
  }
  Host& paused_host = AnyHost();
  if (Chance(0.02))
    paused_host.paused_until = fleet_.now() + milliseconds(random_() % 8000);
}

void Soak::ChangeConfiguration() {
  if (Chance(0.2))
    fleet_.log.Append(fleet_.now(), "change-" + std::to_string(++last_name_));
  Host& host = AnyHost();
  if (Chance(0.01) && host.up) {
    const std::string key = "k" + std::to_string(++last_name_);
    progress_.Note("withdraw " + key + " at " + host.id.value());
    wire::KeyWithdrawal withdrawal;
    withdrawal.set_key(key);
    withdrawn_keys_.push_back(key);
    fleet_.Act(host, host.gossip->Withdraw(fleet_.LocalTime(host), withdrawal));
  }
  Host& other = AnyHost();
  if (Chance(0.005) && other.up) {
    const std::string server = "s" + std::to_string(++last_name_);
    leaving_servers_.emplace_back(fleet_.now(), server);
    other.gossip->OnServerObserved(fleet_.LocalTime(other), ServerId(server),
                                   wire::SERVER_CONDITION_LEAVING);
  }
}

void Soak::ReadPlatformList() {
  // Hosts read a list that is 2 to 20 s old.
  constexpr std::size_t kHistory = 250;
  std::vector<HostListEntry> listed;
  for (const Host& it : fleet_.hosts()) {
    const auto gone = unlisted_at_.find(it.id);
    if (gone != unlisted_at_.end() && gone->second <= fleet_.now())
      continue;
    listed.push_back({it.id, it.zone, it.id.value(), false});
  }
  list_history_.emplace_back(fleet_.now(), std::move(listed));
  if (list_history_.size() > kHistory)
    list_history_.pop_front();
  for (Host& it : fleet_.hosts()) {
    if (!it.up || !Chance(0.05) || LogFate(it).lost)
      continue;
    const std::size_t lag = 20 + random_() % 180;
    const std::size_t n = list_history_.size();
    const auto& [time, hosts] = list_history_[n > lag ? n - 1 - lag : 0];
    std::vector<ServerListEntry> servers;
    for (const auto& [left_at, server] : leaving_servers_)
      servers.push_back({ServerId(server), left_at <= time});
    it.gossip->OnPlatformList(fleet_.LocalTime(it), fleet_.now() - time, hosts,
                              servers);
  }
}

void Soak::InjectFaults() {
  ChangeNetwork();
  ChangeHosts();
  ChangeConfiguration();
}

void Soak::CheckNoReturnAfterLeaving(const Host& host,
                                     Observed& observed) const {
  for (const auto& [id, known] : host.gossip->directory().hosts()) {
    const auto before = observed.hosts.find(id);
    const bool returned =
        before != observed.hosts.end() &&
        before->second.first == known.incarnation &&
        before->second.second >= wire::HOST_CONDITION_LEAVING &&
        known.condition < wire::HOST_CONDITION_LEAVING;
    CheckInvariant(
        !returned, "a host that left returns only with a new incarnation",
        [&, &id = id] { return host.id.value() + " of " + id.value(); });
    observed.hosts[id] = {known.incarnation, known.condition};
  }
  for (const auto& [time, server] : leaving_servers_) {
    const bool leaving = host.gossip->servers().ConditionOf(
                             fleet_.LocalTime(host), ServerId(server)) ==
                         wire::SERVER_CONDITION_LEAVING;
    CheckInvariant(
        leaving || observed.leaving_servers.count(server) == 0,
        "a lagging list does not restore a leaving server",
        [&, &server = server] { return server + " at " + host.id.value(); });
    if (leaving)
      observed.leaving_servers.insert(server);
  }
}

void Soak::CheckWithdrawals(const Host& host, Observed& observed) const {
  for (const std::string& it : withdrawn_keys_) {
    const bool withdrawn = host.gossip->IsWithdrawn(KeyId(it));
    CheckInvariant(withdrawn || observed.withdrawn.count(it) == 0,
                   "a withdrawn key stays withdrawn",
                   [&] { return it + " at " + host.id.value(); });
    if (withdrawn)
      observed.withdrawn.insert(it);
  }
}

void Soak::CheckHost(const Host& host) {
  if (!host.up)
    return;
  Observed& observed = observed_[host.id];
  if (observed.run != host.run)
    observed = {host.run, 0, {}, {}, {}};
  const std::uint64_t next = host.gossip->replica().next_offset();
  const auto where = [&] {
    return host.id.value() + " at " + std::to_string(next) + " of " +
           std::to_string(fleet_.log.end());
  };
  CheckInvariant(next >= observed.next_offset,
                 "the applied offset never decreases", where);
  CheckInvariant(next <= fleet_.log.end(),
                 "the applied offset is within the log", where);
  if (next != observed.next_offset) {
    CheckInvariant(host.fold->withdrawn == fleet_.log.WithdrawnBefore(next),
                   "the applied state matches the log", where);
  }
  observed.next_offset = next;
  const auto age = host.gossip->EvidenceAge(fleet_.LocalTime(host));
  if (age && next < fleet_.log.end()) {
    CheckInvariant(fleet_.now() - *age <= fleet_.log.at(next).appended_at,
                   "the reported evidence age is never too low", [&] {
                     return where() + " reports evidence of age " +
                            std::to_string(*age / milliseconds(1)) + " ms";
                   });
  }
  CheckNoReturnAfterLeaving(host, observed);
  CheckWithdrawals(host, observed);
}

void Soak::CheckApplied(std::uint64_t offset,
                        const std::set<std::string>& keys) {
  for (const Host& it : fleet_.hosts()) {
    if (!it.up)
      continue;
    const std::uint64_t next = it.gossip->replica().next_offset();
    CheckInvariant(next >= offset,
                   "a change is applied on every host within 7 s", [&] {
                     return it.id.value() + " at " + std::to_string(next) +
                            " of " + std::to_string(offset);
                   });
    for (const std::string& key : keys) {
      CheckInvariant(it.gossip->IsWithdrawn(KeyId(key)),
                     "a withdrawal is applied on every host within 7 s",
                     [&] { return key + " at " + it.id.value(); });
    }
  }
}

void Soak::CheckMembershipConverged() {
  for (const Host& it : fleet_.hosts()) {
    if (!it.up)
      continue;
    CheckInvariant(it.gossip->ready(), "a new host becomes ready",
                   [&] { return it.id.value(); });
    for (const Host& other : fleet_.hosts()) {
      const KnownHost* known = it.gossip->directory().Find(other.id);
      if (!other.up || other.id == it.id)
        continue;
      CheckInvariant(
          known != nullptr && known->condition == wire::HOST_CONDITION_LIVE,
          "a host that is up is seen as live", [&] {
            return it.id.value() + " sees " + other.id.value() + " as " +
                   std::to_string(known == nullptr ? -1 : known->condition);
          });
    }
    for (const Host& other : fleet_.hosts()) {
      const KnownHost* known = it.gossip->directory().Find(other.id);
      CheckInvariant(other.up || known == nullptr ||
                         known->condition != wire::HOST_CONDITION_LIVE,
                     "a host that is down is not seen as live", [&] {
                       const Duration in_condition =
                           fleet_.LocalTime(it) - known->condition_since;
                       return it.id.value() + " sees " + other.id.value() +
                              " as live for " +
                              std::to_string(in_condition / milliseconds(1)) +
                              " ms";
                     });
    }
  }
}

void Soak::RemoveFaultsAndCheck(bool with_log) {
  progress_.Note(with_log ? "remove all faults"
                          : "remove all faults but the log outage");
  faults_ = {};
  faults_.log_unavailable = !with_log;
  std::uint64_t offset = 0;
  std::set<std::string> keys;
  for (Host& it : fleet_.hosts()) {
    it.paused_until = {};
    if (!it.up)
      continue;
    stops_at_.erase(it.id);
    // Restart a leaving host, so that all hosts that are up remain.
    if (it.gossip->directory().self().condition() ==
        wire::HOST_CONDITION_LEAVING)
      fleet_.Start(it);
    offset = std::max(offset, it.gossip->replica().next_offset());
    for (const std::string& key : withdrawn_keys_) {
      if (it.gossip->IsWithdrawn(KeyId(key)))
        keys.insert(key);
    }
  }
  if (with_log) {
    fleet_.log.Append(fleet_.now(), "change-" + std::to_string(++last_name_));
    offset = fleet_.log.end();
  }
  const MonoTime start = fleet_.now();
  while (fleet_.now() < start + kPropagationLimit)
    Advance();
  CheckApplied(offset, keys);
  while (fleet_.now() < start + kMembershipLimit)
    Advance();
  CheckMembershipConverged();
}

void Soak::Run() {
  for (int i = 0; i < kZones * kSeedsPerZone; ++i)
    fleet_.seeds.push_back("host-" + std::to_string(i));
  for (int i = 0; i < kZones * kHostsPerZone; ++i)
    fleet_.Add("host-" + std::to_string(i), ZoneName(i % kZones));
  // Small limits, so that replies are truncated and snapshots are needed.
  fleet_.options.replica = {300, 100, 50};
  std::uniform_real_distribution<double> drift(-kMaxClockDrift, kMaxClockDrift);
  for (Host& it : fleet_.hosts()) {
    it.drift = drift(random_);
    fleet_.Start(it);
  }
  fleet_.network = [this](const Host& from, const Host& to) {
    return MessageFate(from, to);
  };
  fleet_.log_network = [this](const Host& host) { return LogFate(host); };
  // Each step is one step of simulated time under faults. Every `kFaultSteps`
  // steps, the faults are removed and the state of the fleet is checked.
  for (progress_.step = 1; progress_.step <= options_.steps; ++progress_.step) {
    InjectFaults();
    Advance();
    if (progress_.step % kFaultSteps == 0)
      RemoveFaultsAndCheck(Chance(0.5));
  }
}

}  // namespace
}  // namespace mangoport

int main(int argc, char** argv) {
  return mangoport::SoakMain(
      argc, argv,
      {"evidence_age_dropped", "evidence_before_entries",
       "evidence_of_partial_page", "gap_skipped", "gone_unbounded",
       "leaving_forgotten", "no_periodic_rounds", "offset_goes_back",
       "old_list_believed", "ready_while_behind", "suspicion_not_refuted",
       "withdrawal_dropped_early", "withdrawals_not_compared"},
      [](const mangoport::SoakOptions& options,
         mangoport::SoakProgress& progress) {
        mangoport::Soak(options, progress).Run();
      });
}
