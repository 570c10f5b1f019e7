#include "mangoport/membership/host_directory.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "mangoport/core/invariant.h"
#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

/// Approximate number of hosts in each zone that probe a newly reported
/// suspect, if zones are of similar size.
constexpr std::size_t kSuspectProbesPerZone = 3;
/// Incarnation of a host that is known only from the platform's list.
constexpr std::uint64_t kUnknownIncarnation = 0;
/// With fewer recent probes, the self check passes.
constexpr std::size_t kMinSelfCheckProbes = 4;
/// If a list omits more than one host and more than this fraction of the hosts
/// that were listed, none of the omitted hosts is removed.
constexpr double kMaxListRemovalShare = 0.5;

wire::HostUpdate MakeUpdate(const KnownHost& host) {
  wire::HostUpdate update;
  update.set_host(host.id.value());
  update.set_zone(host.zone.value());
  update.set_address(host.address);
  update.set_incarnation(host.incarnation);
  update.set_condition(host.condition);
  for (const HostId& reporter : host.reporters)
    update.add_accusers(reporter.value());
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

void HostDirectory::QueueUpdate(const HostId& host) {
  update_queue_.Add(host, TransmissionsToReach(hosts_.size() + 1));
}

void HostDirectory::SetCondition(MonoTime now,
                                 KnownHost& host,
                                 wire::HostCondition condition) {
  host.condition = condition;
  host.condition_since = now;
  host.declared_gone_by_peers = false;
  if (condition != wire::HOST_CONDITION_SUSPECT)
    host.reporters.clear();
  QueueUpdate(host.id);
}

void HostDirectory::ResetIncarnation(MonoTime now,
                                     KnownHost& host,
                                     const wire::HostUpdate& update) {
  host.zone = ZoneId(update.zone());
  host.address = update.address();
  host.incarnation = update.incarnation();
  host.known_since = now;
  host.condition = wire::HOST_CONDITION_LIVE;
  host.condition_since = now;
  host.declared_gone_by_peers = false;
  host.reporters.clear();
}

KnownHost& HostDirectory::FindOrAdd(MonoTime now,
                                    const wire::HostUpdate& update) {
  const HostId id(update.host());
  const auto [it, added] = hosts_.try_emplace(id);
  KnownHost& host = it->second;
  if (added) {
    host.id = id;
    ResetIncarnation(now, host, update);
    // All hosts read the platform's list, so its entries need not be gossiped.
    if (update.incarnation() != kUnknownIncarnation)
      QueueUpdate(id);
  }
  if (update.incarnation() <= host.incarnation)
    return host;
  const bool changed = host.incarnation != kUnknownIncarnation ||
                       host.condition != wire::HOST_CONDITION_LIVE;
  ResetIncarnation(now, host, update);
  if (changed)
    QueueUpdate(id);
  return host;
}

void HostDirectory::OnMessageReceived(MonoTime now,
                                      const wire::HostUpdate& sender) {
  if (sender.host().empty() || sender.host() == self_.host())
    return;
  KnownHost& host = FindOrAdd(now, sender);
  if (sender.incarnation() < host.incarnation)
    return;
  host.last_received_at = now;
  host.last_probe_failed = false;
  if (sender.condition() == wire::HOST_CONDITION_LEAVING &&
      host.condition < wire::HOST_CONDITION_LEAVING) {
    SetCondition(now, host, wire::HOST_CONDITION_LEAVING);
    return;
  }
  if (MutantEnabled("leaving_forgotten") &&
      sender.condition() == wire::HOST_CONDITION_LIVE &&
      host.condition == wire::HOST_CONDITION_LEAVING)
    SetCondition(now, host, wire::HOST_CONDITION_LIVE);
}

void HostDirectory::OnProbeAnswered(const HostId& host) {
  const KnownHost* known = Find(host);
  if (known == nullptr)
    return;
  recent_probes_.push_back(true);
  if (recent_probes_.size() > options_.self_check_window)
    recent_probes_.pop_front();
}

bool HostDirectory::self_check_passed() const {
  if (recent_probes_.size() < kMinSelfCheckProbes)
    return true;
  const auto answered =
      std::count(recent_probes_.begin(), recent_probes_.end(), true);
  return static_cast<std::size_t>(answered) * 2 >= recent_probes_.size();
}

void HostDirectory::OnProbeFailed(MonoTime now, const HostId& host) {
  const auto it = hosts_.find(host);
  if (it == hosts_.end() || it->second.condition > wire::HOST_CONDITION_SUSPECT)
    return;
  // A failed probe of a host that is already suspect is expected, so it does
  // not count in the check of this host's own connectivity.
  if (it->second.condition == wire::HOST_CONDITION_LIVE) {
    recent_probes_.push_back(false);
    if (recent_probes_.size() > options_.self_check_window)
      recent_probes_.pop_front();
  }
  if (!std::exchange(it->second.last_probe_failed, true)) {
    hosts_to_probe_.push_back(host);
    return;
  }
  if (self_check_passed())
    AddSuspicion(now, it->second, HostId(self_.host()));
}

void HostDirectory::AddSuspicion(MonoTime now,
                                 KnownHost& host,
                                 const HostId& reporter) {
  if (host.condition > wire::HOST_CONDITION_SUSPECT)
    return;
  if (host.condition == wire::HOST_CONDITION_LIVE)
    SetCondition(now, host, wire::HOST_CONDITION_SUSPECT);
  if (host.reporters.insert(reporter).second)
    QueueUpdate(host.id);
}

void HostDirectory::RefuteIfContradicted(const wire::HostUpdate& update) {
  const bool contradicted = update.condition() != self_.condition() &&
                            update.incarnation() >= self_.incarnation();
  const bool newer_incarnation = update.incarnation() > self_.incarnation();
  if ((!contradicted && !newer_incarnation) ||
      MutantEnabled("suspicion_not_refuted"))
    return;
  self_.set_incarnation(update.incarnation() + 1);
}

void HostDirectory::Merge(MonoTime now, const wire::HostUpdate& update) {
  if (update.host().empty())
    return;
  if (update.host() == self_.host())
    return RefuteIfContradicted(update);
  const bool unknown = hosts_.count(HostId(update.host())) == 0;
  if (unknown && update.condition() == wire::HOST_CONDITION_GONE)
    return;
  KnownHost& host = FindOrAdd(now, update);
  if (update.incarnation() < host.incarnation) {
    // The sender does not know the newer incarnation, so send it again.
    if (update.incarnation() != kUnknownIncarnation)
      QueueUpdate(host.id);
    return;
  }
  if (update.condition() == wire::HOST_CONDITION_SUSPECT) {
    const bool changed = host.condition == wire::HOST_CONDITION_LIVE;
    for (const std::string& it : update.accusers())
      AddSuspicion(now, host, HostId(it));
    // The hash selects the hosts that probe the suspect. Hosts need not agree
    // on them.
    const std::size_t hash =
        std::hash<std::string>{}(self_.host() + '/' + update.host() + '/' +
                                 std::to_string(update.incarnation()));
    if (changed && hash % ZoneSize(host.zone) < kSuspectProbesPerZone)
      hosts_to_probe_.push_back(host.id);
    return;
  }
  if (update.condition() <= host.condition)
    return;
  if (update.condition() == wire::HOST_CONDITION_LEAVING)
    return SetCondition(now, host, wire::HOST_CONDITION_LEAVING);
  const bool recently_received =
      host.last_received_at != MonoTime{} &&
      now - host.last_received_at < options_.suspicion_timeout;
  if (!recently_received)
    return DeclareGone(now, host,
                       host.condition != wire::HOST_CONDITION_LEAVING);
  // The host sent a message recently. Mark it as suspect, so that it learns of
  // the report and can refute it.
  if (host.condition == wire::HOST_CONDITION_LIVE)
    SetCondition(now, host, wire::HOST_CONDITION_SUSPECT);
  hosts_to_probe_.push_back(host.id);
}

std::size_t HostDirectory::ZoneSize(const ZoneId& zone) const {
  std::size_t n = self_.zone() == zone.value() ? 1 : 0;
  for (const auto& [id, host] : hosts_) {
    const bool counts =
        host.zone == zone && (host.condition != wire::HOST_CONDITION_GONE ||
                              host.declared_gone_by_peers);
    n += counts ? 1 : 0;
  }
  return std::max<std::size_t>(n, 1);
}

bool HostDirectory::MayDeclareGone(const KnownHost& host) const {
  const std::size_t size = ZoneSize(host.zone);
  std::size_t gone = 1;
  for (const auto& [id, it] : hosts_)
    gone += it.zone == host.zone && it.declared_gone_by_peers ? 1 : 0;
  if (gone >= size)
    return false;
  return gone == 1 || static_cast<double>(gone) <=
                          options_.max_gone_share * static_cast<double>(size);
}

void HostDirectory::DeclareGone(MonoTime now, KnownHost& host, bool by_peers) {
  const bool allowed = !by_peers || MayDeclareGone(host);
  if (!allowed && !MutantEnabled("gone_unbounded")) {
    if (host.condition == wire::HOST_CONDITION_LIVE)
      SetCondition(now, host, wire::HOST_CONDITION_SUSPECT);
    return;
  }
  CheckInvariant(
      allowed,
      "reports of peers mark at most a bounded share of a zone as gone",
      [&host] { return "host " + host.id.value(); });
  SetCondition(now, host, wire::HOST_CONDITION_GONE);
  host.declared_gone_by_peers = by_peers;
}

bool HostDirectory::HasEnoughReporters(const KnownHost& host) const {
  std::size_t others = 1;
  for (const auto& [id, it] : hosts_)
    others +=
        id != host.id && it.condition == wire::HOST_CONDITION_LIVE ? 1 : 0;
  return host.reporters.size() >= std::min(options_.min_reporters, others);
}

void HostDirectory::Tick(MonoTime now) {
  for (auto& [id, host] : hosts_) {
    const Duration in_condition = now - host.condition_since;
    const bool received_since = host.last_received_at > host.condition_since;
    const Duration idle =
        received_since ? now - host.last_received_at : in_condition;
    const bool failed = host.condition == wire::HOST_CONDITION_SUSPECT &&
                        idle >= options_.suspicion_timeout &&
                        HasEnoughReporters(host);
    const bool departed = host.condition == wire::HOST_CONDITION_LEAVING &&
                          idle >= options_.leaving_timeout;
    if (failed)
      DeclareGone(now, host, true);
    if (departed)
      DeclareGone(now, host, false);
  }
  std::erase_if(hosts_, [&](const auto& it) {
    return it.second.condition == wire::HOST_CONDITION_GONE &&
           now - it.second.condition_since >= options_.forget_after;
  });
}

void HostDirectory::OnList(MonoTime now,
                           Duration age,
                           const std::vector<HostListEntry>& hosts) {
  const MonoTime listed_at = now - age;
  if (listed_at < latest_list_at_)
    return;
  latest_list_at_ = listed_at;
  std::set<HostId> listed;
  for (const HostListEntry& it : hosts) {
    if (it.id.value() == self_.host())
      continue;
    listed.insert(it.id);
    const bool unknown = hosts_.count(it.id) == 0;
    wire::HostUpdate update;
    update.set_host(it.id.value());
    update.set_zone(it.zone.value());
    update.set_address(it.address);
    KnownHost& host = FindOrAdd(now, update);
    host.listed = true;
    // The list carries no incarnations. Its entry describes an earlier
    // incarnation if this one began after the list was made.
    const bool covers_incarnation = unknown || host.known_since <= listed_at;
    if (it.leaving && covers_incarnation &&
        host.condition < wire::HOST_CONDITION_LEAVING)
      SetCondition(now, host, wire::HOST_CONDITION_LEAVING);
  }
  RemoveUnlisted(now, listed_at, listed);
}

void HostDirectory::RemoveUnlisted(MonoTime now,
                                   MonoTime listed_at,
                                   const std::set<HostId>& listed) {
  std::vector<KnownHost*> omitted;
  std::size_t known = 0;
  for (auto& [id, host] : hosts_) {
    if (!host.listed || host.condition == wire::HOST_CONDITION_GONE)
      continue;
    ++known;
    // The list cannot contain an incarnation that began after the list was
    // made.
    const MonoTime latest_at =
        std::max(host.last_received_at, host.known_since);
    const bool recent = latest_at + options_.list_grace > listed_at;
    if (listed.count(id) == 0 && !recent)
      omitted.push_back(&host);
  }
  const bool plausible = omitted.size() <= 1 ||
                         static_cast<double>(omitted.size()) <=
                             kMaxListRemovalShare * static_cast<double>(known);
  if (!plausible)
    return;
  for (KnownHost* it : omitted)
    DeclareGone(now, *it, false);
}

void HostDirectory::AnnounceLeaving() {
  self_.set_condition(wire::HOST_CONDITION_LEAVING);
}

std::vector<wire::HostUpdate> HostDirectory::TakeUpdates(std::size_t max) {
  std::vector<wire::HostUpdate> updates;
  for (const HostId& it : update_queue_.Take(max)) {
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

std::optional<wire::HostUpdate> HostDirectory::UpdateIfNotLive(
    const HostId& host) const {
  const KnownHost* known = Find(host);
  if (known == nullptr || known->condition == wire::HOST_CONDITION_LIVE)
    return std::nullopt;
  return MakeUpdate(*known);
}

std::vector<HostId> HostDirectory::TakeHostsToProbe() {
  return std::exchange(hosts_to_probe_, {});
}

}  // namespace mangoport
