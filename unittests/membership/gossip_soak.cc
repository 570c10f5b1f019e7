// Drives the gossip between entry hosts with loss, delay, duplication and
// reordering, pauses, kills, replacement without state, cut zones and regions,
// log outages, clock drift and a lagging host list; heals it from time to time
// and checks that the fleet then agrees within the time allowed.
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
/// Zones 0 and 1 are one region, 2 and 3 the other.
constexpr int kZonesPerRegion = 2;
constexpr seconds kInForce{7};
constexpr seconds kMembershipSettles{20};
constexpr std::uint64_t kFaultSteps = 250;
constexpr Duration kStep = milliseconds(100);
constexpr double kMaxDrift = 400e-6;

std::string ZoneName(int zone) {
  return "zone-" + std::to_string(zone);
}

/// What is wrong with the world right now.
struct Faults {
  double loss = 0;
  double late = 0;
  std::set<std::string> zones_cut_off;
  std::set<std::string> zones_without_log;
  bool regions_cut = false;
  bool log_out = false;
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
  struct Seen {
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
  void Heal(bool with_log);

  void CheckHost(const Host& host);
  void CheckMembershipMemory(const Host& host, Seen& seen) const;
  void CheckWithdrawals(const Host& host, Seen& seen) const;
  void CheckInForce(std::uint64_t offset, const std::set<std::string>& keys);
  void CheckMembershipSettled();

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
  std::map<HostId, Seen> seen_;
  std::map<HostId, MonoTime> stops_at_;
  std::deque<std::pair<MonoTime, std::vector<HostStatement>>> list_history_;
  std::map<HostId, MonoTime> unlisted_at_;
  std::vector<std::string> withdrawn_;
  std::vector<std::pair<MonoTime, std::string>> leaving_servers_;
  std::uint64_t names_ = 0;
};

bool Soak::Reachable(const Host& from, const Host& to) const {
  if (faults_.hosts_without_network.count(from.id) != 0 ||
      faults_.hosts_without_network.count(to.id) != 0)
    return false;
  if (from.zone == to.zone)
    return true;
  if (faults_.zones_cut_off.count(from.zone.value()) != 0 ||
      faults_.zones_cut_off.count(to.zone.value()) != 0)
    return false;
  const auto region = [](const ZoneId& zone) {
    return (zone.value().back() - '0') / kZonesPerRegion;
  };
  return !faults_.regions_cut || region(from.zone) == region(to.zone);
}

Fate Soak::MessageFate(const Host& from, const Host& to) {
  Fate fate;
  fate.lost = !Reachable(from, to) || Chance(faults_.loss);
  fate.twice = Chance(0.05);
  fate.delay = std::chrono::microseconds(500 + random_() % 20000);
  if (Chance(faults_.late))
    fate.delay = milliseconds(random_() % 3000);
  return fate;
}

Fate Soak::LogFate(const Host& host) {
  Fate fate;
  fate.lost = faults_.log_out ||
              faults_.zones_without_log.count(host.zone.value()) != 0 ||
              faults_.hosts_without_network.count(host.id) != 0 ||
              Chance(faults_.loss);
  fate.delay = milliseconds(1 + random_() % 20);
  if (Chance(faults_.late))
    fate.delay = milliseconds(random_() % 3000);
  return fate;
}

void Soak::ChangeNetwork() {
  const std::string zone = ZoneName(static_cast<int>(random_() % kZones));
  if (Chance(0.02))
    faults_.loss = Chance(0.5) ? 0 : 0.1;
  if (Chance(0.02))
    faults_.late = Chance(0.5) ? 0 : 0.1;
  if (Chance(0.02) && !faults_.zones_cut_off.erase(zone))
    faults_.zones_cut_off = {zone};
  if (Chance(0.02) && !faults_.zones_without_log.erase(zone))
    faults_.zones_without_log.insert(zone);
  if (Chance(0.01))
    faults_.regions_cut = !faults_.regions_cut;
  if (Chance(0.02))
    faults_.log_out = !faults_.log_out;
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
  Host& third = AnyHost();
  if (Chance(0.01) && third.up && stops_at_.count(third.id) == 0) {
    progress_.Note("leave " + third.id.value());
    fleet_.Act(third, third.gossip->AnnounceLeaving(fleet_.LocalTime(third)));
    stops_at_[third.id] = fleet_.now() + seconds(4);
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
  Host& fourth = AnyHost();
  if (Chance(0.02))
    fourth.paused_until = fleet_.now() + milliseconds(random_() % 8000);
}

void Soak::ChangeConfiguration() {
  if (Chance(0.2))
    fleet_.log.Append(fleet_.now(), "change-" + std::to_string(++names_));
  Host& host = AnyHost();
  if (Chance(0.01) && host.up) {
    const std::string key = "k" + std::to_string(++names_);
    progress_.Note("withdraw " + key + " at " + host.id.value());
    wire::KeyWithdrawal withdrawal;
    withdrawal.set_key(key);
    withdrawn_.push_back(key);
    fleet_.Act(host, host.gossip->Withdraw(fleet_.LocalTime(host), withdrawal));
  }
  Host& other = AnyHost();
  if (Chance(0.005) && other.up) {
    const std::string server = "s" + std::to_string(++names_);
    leaving_servers_.emplace_back(fleet_.now(), server);
    other.gossip->OnServerSeen(fleet_.LocalTime(other), ServerId(server),
                               wire::SERVER_CONDITION_LEAVING);
  }
}

void Soak::ReadPlatformList() {
  constexpr std::size_t kHistory = 250;
  std::vector<HostStatement> listed;
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
    std::vector<ServerStatement> servers;
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

void Soak::CheckMembershipMemory(const Host& host, Seen& seen) const {
  for (const auto& [id, known] : host.gossip->directory().hosts()) {
    const auto before = seen.hosts.find(id);
    const bool revived =
        before != seen.hosts.end() &&
        before->second.first == known.incarnation &&
        before->second.second >= wire::HOST_CONDITION_LEAVING &&
        known.condition < wire::HOST_CONDITION_LEAVING;
    CheckInvariant(
        !revived, "a host that left stays out until its next run",
        [&, &id = id] { return host.id.value() + " of " + id.value(); });
    seen.hosts[id] = {known.incarnation, known.condition};
  }
  for (const auto& [time, server] : leaving_servers_) {
    const bool leaving = host.gossip->servers().ConditionOf(
                             fleet_.LocalTime(host), ServerId(server)) ==
                         wire::SERVER_CONDITION_LEAVING;
    CheckInvariant(
        leaving || seen.leaving_servers.count(server) == 0,
        "a lagging list brings no leaving server back",
        [&, &server = server] { return server + " at " + host.id.value(); });
    if (leaving)
      seen.leaving_servers.insert(server);
  }
}

void Soak::CheckWithdrawals(const Host& host, Seen& seen) const {
  for (const std::string& it : withdrawn_) {
    const bool withdrawn = host.gossip->IsWithdrawn(KeyId(it));
    CheckInvariant(withdrawn || seen.withdrawn.count(it) == 0,
                   "a withdrawn key never comes back",
                   [&] { return it + " at " + host.id.value(); });
    if (withdrawn)
      seen.withdrawn.insert(it);
  }
}

void Soak::CheckHost(const Host& host) {
  if (!host.up)
    return;
  Seen& seen = seen_[host.id];
  if (seen.run != host.run)
    seen = {host.run, 0, {}, {}, {}};
  const std::uint64_t next = host.gossip->replica().next_offset();
  const auto where = [&] {
    return host.id.value() + " at " + std::to_string(next) + " of " +
           std::to_string(fleet_.log.end());
  };
  CheckInvariant(next >= seen.next_offset, "the applied offset never goes back",
                 where);
  CheckInvariant(next <= fleet_.log.end(), "nothing beyond the log is applied",
                 where);
  if (next != seen.next_offset) {
    CheckInvariant(host.fold->withdrawn == fleet_.log.WithdrawnBefore(next),
                   "what is applied is what the log says", where);
  }
  seen.next_offset = next;
  const auto age = host.gossip->EvidenceAge(fleet_.LocalTime(host));
  if (age && next < fleet_.log.end()) {
    CheckInvariant(fleet_.now() - *age <= fleet_.log.at(next).appended_at,
                   "the age of evidence is never understated", [&] {
                     return where() + " claims " +
                            std::to_string(*age / milliseconds(1)) + " ms";
                   });
  }
  CheckMembershipMemory(host, seen);
  CheckWithdrawals(host, seen);
}

void Soak::CheckInForce(std::uint64_t offset,
                        const std::set<std::string>& keys) {
  for (const Host& it : fleet_.hosts()) {
    if (!it.up)
      continue;
    const std::uint64_t next = it.gossip->replica().next_offset();
    CheckInvariant(next >= offset, "a change is in force everywhere in 7 s",
                   [&] {
                     return it.id.value() + " at " + std::to_string(next) +
                            " of " + std::to_string(offset);
                   });
    for (const std::string& key : keys) {
      CheckInvariant(it.gossip->IsWithdrawn(KeyId(key)),
                     "a withdrawal is in force everywhere in 7 s",
                     [&] { return key + " at " + it.id.value(); });
    }
  }
}

void Soak::CheckMembershipSettled() {
  for (const Host& it : fleet_.hosts()) {
    if (!it.up)
      continue;
    CheckInvariant(it.gossip->ready(), "a new host gets ready",
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
                       const Duration lasted =
                           fleet_.LocalTime(it) - known->condition_since;
                       return it.id.value() + " sees " + other.id.value() +
                              " as live for " +
                              std::to_string(lasted / milliseconds(1)) + " ms";
                     });
    }
  }
}

void Soak::Heal(bool with_log) {
  progress_.Note(with_log ? "heal all" : "heal all but the log");
  faults_ = {};
  faults_.log_out = !with_log;
  std::uint64_t offset = 0;
  std::set<std::string> keys;
  for (Host& it : fleet_.hosts()) {
    it.paused_until = {};
    if (!it.up)
      continue;
    stops_at_.erase(it.id);
    // A host that was leaving is replaced, so that all that are up stay.
    if (it.gossip->directory().self().condition() ==
        wire::HOST_CONDITION_LEAVING)
      fleet_.Start(it);
    offset = std::max(offset, it.gossip->replica().next_offset());
    for (const std::string& key : withdrawn_) {
      if (it.gossip->IsWithdrawn(KeyId(key)))
        keys.insert(key);
    }
  }
  if (with_log) {
    fleet_.log.Append(fleet_.now(), "change-" + std::to_string(++names_));
    offset = fleet_.log.end();
  }
  const MonoTime start = fleet_.now();
  while (fleet_.now() < start + kInForce)
    Advance();
  CheckInForce(offset, keys);
  while (fleet_.now() < start + kMembershipSettles)
    Advance();
  CheckMembershipSettled();
}

void Soak::Run() {
  for (int i = 0; i < kZones * kSeedsPerZone; ++i)
    fleet_.seeds.push_back("host-" + std::to_string(i));
  for (int i = 0; i < kZones * kHostsPerZone; ++i)
    fleet_.Add("host-" + std::to_string(i), ZoneName(i % kZones));
  // Small, so that replies are cut short and snapshots are needed.
  fleet_.options.replica = {300, 100, 50};
  std::uniform_real_distribution<double> drift(-kMaxDrift, kMaxDrift);
  for (Host& it : fleet_.hosts()) {
    it.drift = drift(random_);
    fleet_.Start(it);
  }
  fleet_.network = [this](const Host& from, const Host& to) {
    return MessageFate(from, to);
  };
  fleet_.log_network = [this](const Host& host) { return LogFate(host); };
  // Each step of the run is one step of simulated time under faults; the
  // fleet is healed and judged between them.
  for (progress_.step = 1; progress_.step <= options_.steps; ++progress_.step) {
    InjectFaults();
    Advance();
    if (progress_.step % kFaultSteps == 0)
      Heal(Chance(0.5));
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
