#include "mangoport/membership/host_directory.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "mangoport/core/invariant.h"
#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

/// Hosts of a zone that try a suspect for themselves on hearing of it.
constexpr std::size_t kSecondOpinions = 3;
/// Of a host that is known from the list only.
constexpr std::uint64_t kUnknownIncarnation = 0;
constexpr std::size_t kMinSelfCheckProbes = 4;
/// A page of the list that drops more than this share of the hosts that are
/// listed is not believed in what it leaves out.
constexpr double kMaxListDropShare = 0.5;

wire::HostUpdate MakeUpdate(const KnownHost& host) {
  wire::HostUpdate update;
  update.set_host(host.id.value());
  update.set_zone(host.zone.value());
  update.set_address(host.address);
  update.set_incarnation(host.incarnation);
  update.set_condition(host.condition);
  for (const HostId& accuser : host.accusers)
    update.add_accusers(accuser.value());
  return update;
}

}  // namespace

HostDirectory::HostDirectory(wire::HostUpdate self, DirectoryOptions options)
    : self_(std::move(self)), options_(options) {
  self_.set_condition(wire::HOST_CONDITION_LIVE);
}

const KnownHost* HostDirectory::Find(const HostId& host) const {
  const auto it = hosts_.find(host);
  return it == hosts_.end() ? nullptr : &it->second;
}

std::vector<const KnownHost*> HostDirectory::Live() const {
  std::vector<const KnownHost*> live;
  for (const auto& [id, host] : hosts_) {
    if (host.condition == wire::HOST_CONDITION_LIVE)
      live.push_back(&host);
  }
  return live;
}

std::vector<const KnownHost*> HostDirectory::Contactable() const {
  std::vector<const KnownHost*> contactable;
  for (const auto& [id, host] : hosts_) {
    if (host.condition <= wire::HOST_CONDITION_SUSPECT)
      contactable.push_back(&host);
  }
  return contactable;
}

void HostDirectory::Spread(const HostId& host) {
  news_.Add(host, SendsToReach(hosts_.size() + 1));
}

void HostDirectory::Change(MonoTime now,
                           KnownHost& host,
                           wire::HostCondition condition) {
  host.condition = condition;
  host.condition_since = now;
  host.gone_by_peers = false;
  if (condition != wire::HOST_CONDITION_SUSPECT)
    host.accusers.clear();
  Spread(host.id);
}

void HostDirectory::StartRun(MonoTime now,
                             KnownHost& host,
                             const wire::HostUpdate& update) {
  host.zone = ZoneId(update.zone());
  host.address = update.address();
  host.incarnation = update.incarnation();
  host.known_since = now;
  host.condition = wire::HOST_CONDITION_LIVE;
  host.condition_since = now;
  host.gone_by_peers = false;
  host.accusers.clear();
}

KnownHost& HostDirectory::Ensure(MonoTime now, const wire::HostUpdate& update) {
  const HostId id(update.host());
  const auto [it, added] = hosts_.try_emplace(id);
  KnownHost& host = it->second;
  if (added) {
    host.id = id;
    StartRun(now, host, update);
    // All hosts read the list: what it says is no news.
    if (update.incarnation() != kUnknownIncarnation)
      Spread(id);
  }
  if (update.incarnation() <= host.incarnation)
    return host;
  const bool news = host.incarnation != kUnknownIncarnation ||
                    host.condition != wire::HOST_CONDITION_LIVE;
  StartRun(now, host, update);
  if (news)
    Spread(id);
  return host;
}

void HostDirectory::OnHeard(MonoTime now, const wire::HostUpdate& sender) {
  if (sender.host().empty() || sender.host() == self_.host())
    return;
  KnownHost& host = Ensure(now, sender);
  if (sender.incarnation() < host.incarnation)
    return;
  host.heard_at = now;
  host.doubted = false;
  if (sender.condition() == wire::HOST_CONDITION_LEAVING &&
      host.condition < wire::HOST_CONDITION_LEAVING) {
    Change(now, host, wire::HOST_CONDITION_LEAVING);
    return;
  }
  if (MutantEnabled("leaving_forgotten") &&
      sender.condition() == wire::HOST_CONDITION_LIVE &&
      host.condition == wire::HOST_CONDITION_LEAVING)
    Change(now, host, wire::HOST_CONDITION_LIVE);
}

void HostDirectory::OnProbeAnswered(const HostId& host) {
  const KnownHost* known = Find(host);
  if (known == nullptr)
    return;
  own_probes_.push_back(true);
  if (own_probes_.size() > options_.self_check_window)
    own_probes_.pop_front();
}

bool HostDirectory::self_check_passed() const {
  if (own_probes_.size() < kMinSelfCheckProbes)
    return true;
  const auto answered =
      std::count(own_probes_.begin(), own_probes_.end(), true);
  return static_cast<std::size_t>(answered) * 2 >= own_probes_.size();
}

void HostDirectory::OnProbeFailed(MonoTime now, const HostId& host) {
  const auto it = hosts_.find(host);
  if (it == hosts_.end() || it->second.condition > wire::HOST_CONDITION_SUSPECT)
    return;
  // A host already suspected says nothing about this one.
  if (it->second.condition == wire::HOST_CONDITION_LIVE) {
    own_probes_.push_back(false);
    if (own_probes_.size() > options_.self_check_window)
      own_probes_.pop_front();
  }
  if (!std::exchange(it->second.doubted, true)) {
    probes_wanted_.push_back(host);
    return;
  }
  if (self_check_passed())
    Accuse(now, it->second, HostId(self_.host()));
}

void HostDirectory::Accuse(MonoTime now,
                           KnownHost& host,
                           const HostId& accuser) {
  if (host.condition > wire::HOST_CONDITION_SUSPECT)
    return;
  if (host.condition == wire::HOST_CONDITION_LIVE)
    Change(now, host, wire::HOST_CONDITION_SUSPECT);
  if (host.accusers.insert(accuser).second)
    Spread(host.id);
}

void HostDirectory::RefuteIfAccused(const wire::HostUpdate& update) {
  const bool accused = update.condition() != self_.condition() &&
                       update.incarnation() >= self_.incarnation();
  const bool older_run = update.incarnation() > self_.incarnation();
  if ((!accused && !older_run) || MutantEnabled("suspicion_not_refuted"))
    return;
  self_.set_incarnation(update.incarnation() + 1);
}

void HostDirectory::Merge(MonoTime now, const wire::HostUpdate& update) {
  if (update.host().empty())
    return;
  if (update.host() == self_.host())
    return RefuteIfAccused(update);
  const bool unknown = hosts_.count(HostId(update.host())) == 0;
  if (unknown && update.condition() == wire::HOST_CONDITION_GONE)
    return;
  KnownHost& host = Ensure(now, update);
  if (update.incarnation() < host.incarnation) {
    // The sender has missed a newer run.
    if (update.incarnation() != kUnknownIncarnation)
      Spread(host.id);
    return;
  }
  if (update.condition() == wire::HOST_CONDITION_SUSPECT) {
    const bool news = host.condition == wire::HOST_CONDITION_LIVE;
    for (const std::string& it : update.accusers())
      Accuse(now, host, HostId(it));
    const std::size_t lot =
        std::hash<std::string>{}(self_.host() + '/' + update.host() + '/' +
                                 std::to_string(update.incarnation()));
    if (news && lot % ZoneSize(host.zone) < kSecondOpinions)
      probes_wanted_.push_back(host.id);
    return;
  }
  if (update.condition() <= host.condition)
    return;
  if (update.condition() == wire::HOST_CONDITION_LEAVING)
    return Change(now, host, wire::HOST_CONDITION_LEAVING);
  const bool heard_lately = host.heard_at != MonoTime{} &&
                            now - host.heard_at < options_.suspicion_timeout;
  if (!heard_lately)
    return DeclareGone(now, host,
                       host.condition != wire::HOST_CONDITION_LEAVING);
  // It has to learn of this, so that it can refute it.
  if (host.condition == wire::HOST_CONDITION_LIVE)
    Change(now, host, wire::HOST_CONDITION_SUSPECT);
  probes_wanted_.push_back(host.id);
}

std::size_t HostDirectory::ZoneSize(const ZoneId& zone) const {
  std::size_t n = self_.zone() == zone.value() ? 1 : 0;
  for (const auto& [id, host] : hosts_) {
    const bool counts =
        host.zone == zone &&
        (host.condition != wire::HOST_CONDITION_GONE || host.gone_by_peers);
    n += counts ? 1 : 0;
  }
  return std::max<std::size_t>(n, 1);
}

bool HostDirectory::MayDeclareGone(const KnownHost& host) const {
  const std::size_t size = ZoneSize(host.zone);
  std::size_t gone = 1;
  for (const auto& [id, it] : hosts_)
    gone += it.zone == host.zone && it.gone_by_peers ? 1 : 0;
  if (gone >= size)
    return false;
  return gone == 1 || static_cast<double>(gone) <=
                          options_.max_gone_share * static_cast<double>(size);
}

void HostDirectory::DeclareGone(MonoTime now, KnownHost& host, bool by_peers) {
  const bool allowed = !by_peers || MayDeclareGone(host);
  if (!allowed && !MutantEnabled("gone_unbounded")) {
    if (host.condition == wire::HOST_CONDITION_LIVE)
      Change(now, host, wire::HOST_CONDITION_SUSPECT);
    return;
  }
  CheckInvariant(allowed, "peers alone take few hosts of a zone as gone",
                 [&host] { return "host " + host.id.value(); });
  Change(now, host, wire::HOST_CONDITION_GONE);
  host.gone_by_peers = by_peers;
}

bool HostDirectory::HasEnoughAccusers(const KnownHost& host) const {
  std::size_t others = 1;
  for (const auto& [id, it] : hosts_)
    others +=
        id != host.id && it.condition == wire::HOST_CONDITION_LIVE ? 1 : 0;
  return host.accusers.size() >= std::min(options_.accusers_needed, others);
}

void HostDirectory::Tick(MonoTime now) {
  for (auto& [id, host] : hosts_) {
    const Duration lasted = now - host.condition_since;
    const bool heard_since = host.heard_at > host.condition_since;
    const Duration quiet = heard_since ? now - host.heard_at : lasted;
    const bool lost = host.condition == wire::HOST_CONDITION_SUSPECT &&
                      quiet >= options_.suspicion_timeout &&
                      HasEnoughAccusers(host);
    const bool left = host.condition == wire::HOST_CONDITION_LEAVING &&
                      quiet >= options_.leaving_timeout;
    if (lost)
      DeclareGone(now, host, true);
    if (left)
      DeclareGone(now, host, false);
  }
  std::erase_if(hosts_, [&](const auto& it) {
    return it.second.condition == wire::HOST_CONDITION_GONE &&
           now - it.second.condition_since >= options_.forget_after;
  });
}

void HostDirectory::OnList(MonoTime now,
                           Duration age,
                           const std::vector<HostStatement>& hosts) {
  const MonoTime listed_at = now - age;
  if (listed_at < list_time_)
    return;
  list_time_ = listed_at;
  std::set<HostId> listed;
  for (const HostStatement& it : hosts) {
    if (it.id.value() == self_.host())
      continue;
    listed.insert(it.id);
    const bool unknown = hosts_.count(it.id) == 0;
    wire::HostUpdate update;
    update.set_host(it.id.value());
    update.set_zone(it.zone.value());
    update.set_address(it.address);
    KnownHost& host = Ensure(now, update);
    host.listed = true;
    // The list does not name runs; it can't speak of one that began later.
    const bool speaks_of_this_run = unknown || host.known_since <= listed_at;
    if (it.leaving && speaks_of_this_run &&
        host.condition < wire::HOST_CONDITION_LEAVING)
      Change(now, host, wire::HOST_CONDITION_LEAVING);
  }
  RemoveUnlisted(now, listed_at, listed);
}

void HostDirectory::RemoveUnlisted(MonoTime now,
                                   MonoTime listed_at,
                                   const std::set<HostId>& listed) {
  std::vector<KnownHost*> dropped;
  std::size_t known = 0;
  for (auto& [id, host] : hosts_) {
    if (!host.listed || host.condition == wire::HOST_CONDITION_GONE)
      continue;
    ++known;
    // The list can't speak of a run that began later.
    const MonoTime heard_at = std::max(host.heard_at, host.known_since);
    const bool newer = heard_at + options_.list_grace > listed_at;
    if (listed.count(id) == 0 && !newer)
      dropped.push_back(&host);
  }
  const bool believable =
      dropped.size() <= 1 || static_cast<double>(dropped.size()) <=
                                 kMaxListDropShare * static_cast<double>(known);
  if (!believable)
    return;
  for (KnownHost* it : dropped)
    DeclareGone(now, *it, false);
}

void HostDirectory::AnnounceLeaving() {
  self_.set_condition(wire::HOST_CONDITION_LEAVING);
}

std::vector<wire::HostUpdate> HostDirectory::TakeUpdates(std::size_t max) {
  std::vector<wire::HostUpdate> updates;
  for (const HostId& it : news_.Take(max)) {
    const KnownHost* host = Find(it);
    if (host == nullptr)
      continue;
    updates.push_back(MakeUpdate(*host));
  }
  return updates;
}

std::vector<wire::HostUpdate> HostDirectory::AllUpdates() const {
  std::vector<wire::HostUpdate> updates;
  for (const auto& [id, host] : hosts_)
    updates.push_back(MakeUpdate(host));
  return updates;
}

std::optional<wire::HostUpdate> HostDirectory::AccusationOf(
    const HostId& host) const {
  const KnownHost* known = Find(host);
  if (known == nullptr || known->condition == wire::HOST_CONDITION_LIVE)
    return std::nullopt;
  return MakeUpdate(*known);
}

std::vector<HostId> HostDirectory::TakeProbesWanted() {
  return std::exchange(probes_wanted_, {});
}

}  // namespace mangoport
