#include "mangoport/forward/backend_table.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace mangoport {
namespace {

/// By then a server's own entry shows what it holds.
constexpr Duration kToldLifetime = std::chrono::seconds(4);

/// What was told is dropped this long after it has expired, at the latest, when
/// the next change is told.
constexpr Duration kRebuildInterval = std::chrono::seconds(1);

/// Less of a server's time is not reported to other hosts.
constexpr double kLeastWork = 0.005;

std::optional<asio::ip::tcp::endpoint> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  asio::error_code ec;
  const asio::ip::address address =
      asio::ip::make_address(std::string(text.substr(0, colon)), ec);
  std::uint16_t port = 0;
  const std::string_view digits = text.substr(colon + 1);
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (ec || parsed.ec != std::errc())
    return std::nullopt;
  return asio::ip::tcp::endpoint(address, port);
}

/// Returns true if the router needs to know of no change but that of the models
/// and adapters.
bool DiffersOnlyInCopies(const ServerEntry& a, const ServerEntry& b) {
  return a.service == b.service && a.zone == b.zone &&
         a.batch_size == b.batch_size && a.draining == b.draining &&
         a.started_at_ms == b.started_at_ms;
}

/// Appends the models and adapters that the entry lists.
void AppendItems(const ServerEntry& entry, std::vector<ModelId>& items) {
  for (const ResidentModel& it : entry.models) {
    items.push_back(it.model);
    for (const AdapterId& adapter : it.adapters)
      items.emplace_back(it.model.value() + "/" + adapter.value());
  }
}

}  // namespace

std::vector<ModelId> BackendTable::ModelsOf(MonoTime now,
                                            const ServerEntry& entry,
                                            const Backend& backend) {
  std::set<ModelId> held;
  // A plain service's requests name no model.
  held.emplace();
  std::vector<ModelId> listed;
  AppendItems(entry, listed);
  held.insert(listed.begin(), listed.end());
  for (const auto& [item, told] : backend.told) {
    if (now - told.heard_at > kToldLifetime)
      continue;
    if (told.change.gone)
      held.erase(item);
    else
      held.insert(item);
  }
  std::vector<ModelId> out;
  std::set_difference(held.begin(), held.end(), backend.denied.begin(),
                      backend.denied.end(), std::back_inserter(out));
  return out;
}

std::map<ServerId, ServerEntry> BackendTable::WithSignals(
    MonoTime now,
    const std::map<ServerId, ServerEntry>& listed) {
  std::map<ServerId, ServerEntry> out = listed;
  std::set<ServerId> ids;
  for (auto& [id, entry] : out) {
    ids.insert(id);
    if (signals_.IsLeaving(
            {.server = id, .started_at_ms = entry.started_at_ms}) ||
        evacuated_.contains(entry.zone))
      entry.draining = true;
  }
  signals_.Prune(now, ids);
  return out;
}

bool BackendTable::Holds(MonoTime now,
                         const ServerEntry& entry,
                         const Backend& backend,
                         const ModelId& item) {
  if (backend.denied.contains(item))
    return false;
  const auto told = backend.told.find(item);
  if (told != backend.told.end() &&
      now - told->second.heard_at <= kToldLifetime)
    return !told->second.change.gone;
  const std::string_view name = item.value();
  const std::size_t slash = name.find('/');
  // A plain service's requests name no model.
  if (name.empty())
    return true;
  return std::any_of(
      entry.models.begin(), entry.models.end(), [&](const ResidentModel& it) {
        if (it.model.value() != name.substr(0, slash))
          return false;
        return slash == std::string_view::npos ||
               std::any_of(it.adapters.begin(), it.adapters.end(),
                           [&](const AdapterId& adapter) {
                             return adapter.value() == name.substr(slash + 1);
                           });
      });
}

void BackendTable::SetServers(MonoTime now,
                              const std::map<ServerId, ServerEntry>& listed) {
  listed_ = listed;
  std::map<ServerId, ServerEntry> servers = WithSignals(now, listed);
  std::set<ServiceId> touched;
  std::vector<ModelId> appeared;
  std::vector<ServerId> changed_copies;
  for (const auto& [id, entry] : servers_) {
    if (!servers.contains(id))
      touched.insert(entry.service);
  }
  for (const auto& [id, entry] : servers) {
    const auto old = servers_.find(id);
    if (old != servers_.end() && old->second == entry)
      continue;
    const auto address = ParseAddress(entry.address);
    if (!address)
      continue;
    const auto [it, added] = backends_.try_emplace(id);
    Backend& backend = it->second;
    if (added)
      backend.last_activity = now;
    if (added || old == servers_.end() ||
        !DiffersOnlyInCopies(old->second, entry))
      touched.insert(entry.service);
    else
      changed_copies.push_back(id);
    if (old != servers_.end() && old->second.service != entry.service)
      touched.insert(old->second.service);
    backend.service = entry.service;
    backend.address = *address;
    if (std::exchange(backend.started_at_ms, entry.started_at_ms) !=
        entry.started_at_ms)
      backend.told.clear();
    backend.denied.clear();
    if (entry.cold_left > Duration::zero())
      NoteCold(now, entry, entry.cold_left);
    AppendItems(entry, appeared);
  }
  servers_ = std::move(servers);
  std::erase_if(backends_, [this](const auto& it) {
    return !servers_.contains(it.first) && it.second.own_running == 0;
  });
  for (const ServiceId& it : touched)
    Rebuild(now, it);
  for (const ServerId& it : changed_copies)
    RefreshModels(now, servers_.at(it));
  if (on_resident_) {
    for (const ModelId& it : appeared)
      on_resident_(it);
  }
  for (const ServiceId& it : touched)
    TellIfAllLeave(it);
}

void BackendTable::SetEvacuatedZones(MonoTime now,
                                     const std::set<ZoneId>& zones,
                                     const std::vector<ZoneId>& ended) {
  evacuated_ = zones;
  for (const auto& [id, entry] : listed_) {
    const auto spec = cold_starts_.find(entry.service);
    if (spec != cold_starts_.end() &&
        std::find(ended.begin(), ended.end(), entry.zone) != ended.end())
      NoteCold(now, entry, spec->second.duration);
  }
  const std::map<ServerId, ServerEntry> listed = listed_;
  SetServers(now, listed);
}

void BackendTable::SetColdStarts(const std::vector<ServiceSpec>& services) {
  cold_starts_.clear();
  for (const ServiceSpec& it : services) {
    if (it.cold_start.limited())
      cold_starts_.emplace(it.id, it.cold_start);
  }
}

void BackendTable::SetZoneHosts(MonoTime now,
                                const HostId& self,
                                std::vector<HostId> hosts,
                                MonoTime settled_at) {
  pacer_.SetHosts(self, std::move(hosts), settled_at);
  if (pacer_.ColdCount(now) == 0)
    return;
  for (const auto& [service, spec] : cold_starts_)
    Rebuild(now, service);
}

void BackendTable::NoteCold(MonoTime now,
                            const ServerEntry& entry,
                            Duration left) {
  const auto spec = cold_starts_.find(entry.service);
  if (spec == cold_starts_.end())
    return;
  pacer_.OnCold(now, entry.id, entry.zone == own_zone_,
                spec->second.requests_per_second, now + left);
  RouterOf(entry.service).Hold(entry.id, pacer_.HeldUntil(now, entry.id));
}

MonoTime BackendTable::HeldUntil(MonoTime now, const ServerEntry& entry) const {
  return std::max(signals_.HeldUntil(StartOf(entry.id)),
                  pacer_.HeldUntil(now, entry.id));
}

Router& BackendTable::RouterOf(const ServiceId& service) {
  return routers_.try_emplace(service, routing_).first->second;
}

void BackendTable::RefreshModels(MonoTime now, const ServerEntry& entry) {
  if (now - rebuilt_at_[entry.service] > kRebuildInterval) {
    Rebuild(now, entry.service);
    return;
  }
  RouterOf(entry.service)
      .SetModels(entry.id, ModelsOf(now, entry, backends_.at(entry.id)));
}

void BackendTable::Rebuild(MonoTime now, const ServiceId& service) {
  rebuilt_at_[service] = now;
  ServerList list;
  list.as_of = now;
  for (const auto& [id, entry] : servers_) {
    const auto backend = backends_.find(id);
    if (entry.service != service || backend == backends_.end())
      continue;
    ServerSpec spec;
    spec.id = id;
    spec.zone = entry.zone;
    spec.models = ModelsOf(now, entry, backend->second);
    spec.batch_size = entry.batch_size;
    spec.leaving = entry.draining;
    spec.held_until = HeldUntil(now, entry);
    list.servers.push_back(std::move(spec));
  }
  RouterOf(service).SetServers(now, list);
}

bool BackendTable::NoteSignals(MonoTime now,
                               const ServerStart& start,
                               const ServerSignals& signals) {
  if (signals.leaving)
    NoteLeaving(now, start);
  return signals.hold && NoteHold(now, start, *signals.hold);
}

void BackendTable::NoteLeaving(MonoTime now, const ServerStart& start) {
  if (!signals_.NoteLeaving(now, start))
    return;
  const auto it = servers_.find(start.server);
  if (it == servers_.end() || it->second.started_at_ms != start.started_at_ms)
    return;
  const bool changed = !std::exchange(it->second.draining, true);
  if (changed)
    Rebuild(now, it->second.service);
  if (on_leaving_)
    on_leaving_(start.server);
  if (changed)
    TellIfAllLeave(it->second.service);
}

void BackendTable::TellIfAllLeave(const ServiceId& service) const {
  if (on_all_leaving_ && AllLeaving(service))
    on_all_leaving_();
}

bool BackendTable::NoteHold(MonoTime now,
                            const ServerStart& start,
                            Duration hold) {
  const bool begins = signals_.NoteHold(now, start, now + hold);
  const auto it = servers_.find(start.server);
  if (it != servers_.end())
    RouterOf(it->second.service)
        .Hold(start.server, signals_.HeldUntil(StartOf(start.server)));
  return begins;
}

ServerStart BackendTable::StartOf(const ServerId& server) const {
  const auto it = servers_.find(server);
  return {.server = server,
          .started_at_ms = it == servers_.end() ? 0 : it->second.started_at_ms};
}

std::vector<ServerId> BackendTable::SaidLeaving() const {
  std::vector<ServerId> out;
  for (const auto& [id, entry] : servers_) {
    if (entry.draining && signals_.IsLeaving(StartOf(id)))
      out.push_back(id);
  }
  return out;
}

void BackendTable::NoteResidency(MonoTime now, const ResidencyChange& change) {
  const auto entry = servers_.find(change.server);
  const auto it = backends_.find(change.server);
  if (entry == servers_.end() || it == backends_.end())
    return;
  ToldChange& known = it->second.told[change.item];
  if (known.change.orders_accepted >= change.orders_accepted)
    return;
  known = {.change = change, .heard_at = now};
  it->second.denied.erase(change.item);
  RefreshModels(now, entry->second);
  if (on_resident_ && !change.gone)
    on_resident_(change.item);
}

void BackendTable::NoteMissing(MonoTime now,
                               const ServerId& server,
                               const ModelId& model) {
  const auto it = backends_.find(server);
  const auto entry = servers_.find(server);
  if (it == backends_.end() || entry == servers_.end())
    return;
  it->second.told.erase(model);
  it->second.denied.insert(model);
  RefreshModels(now, entry->second);
}

void BackendTable::SetPeerLoads(MonoTime now,
                                const HostId& host,
                                const std::vector<ServerLoad>& loads) {
  for (const ServerLoad& it : loads) {
    const auto backend = backends_.find(it.server);
    if (backend != backends_.end())
      backend->second.peers_activity =
          std::max(backend->second.peers_activity, now - it.silent);
  }
  for (const ServerId& it : peer_loads_.Set(now, host, loads))
    ReportLoad(now, it);
}

void BackendTable::ReportLoad(MonoTime now, const ServerId& server) {
  const auto it = backends_.find(server);
  if (it == backends_.end())
    return;
  const PeerLoads::Sum peers = peer_loads_.Of(server);
  Router& router = RouterOf(it->second.service);
  router.OnReport(now, {.server = server,
                        .measured_at = now,
                        .running = it->second.own_running + peers.running});
  router.OnPeerWork(now, server, peers.work);
}

RouteChoice BackendTable::Choose(MonoTime now,
                                 const ServiceId& service,
                                 RouteRequest request) {
  request.own_zone = own_zone_;
  return RouterOf(service).Choose(now, request);
}

bool BackendTable::HasModel(MonoTime now,
                            const ServiceId& service,
                            const ModelId& model) const {
  for (const auto& [id, entry] : servers_) {
    const auto backend = backends_.find(id);
    if (entry.service != service || entry.draining ||
        backend == backends_.end())
      continue;
    if (Holds(now, entry, backend->second, model))
      return true;
  }
  return false;
}

bool BackendTable::AllEvacuated(const ServiceId& service) const {
  bool any = false;
  for (const auto& [id, entry] : servers_) {
    if (entry.service != service)
      continue;
    if (!evacuated_.contains(entry.zone))
      return false;
    any = true;
  }
  return any;
}

bool BackendTable::AllLeaving(const ServiceId& service) const {
  bool any = false;
  for (const auto& [id, entry] : servers_) {
    if (entry.service != service)
      continue;
    if (!entry.draining)
      return false;
    any = true;
  }
  return any;
}

std::optional<asio::ip::tcp::endpoint> BackendTable::AddressOf(
    const ServerId& server) const {
  const auto it = backends_.find(server);
  if (it == backends_.end())
    return std::nullopt;
  return it->second.address;
}

Duration BackendTable::PromptTime(const ServiceId& service,
                                  std::int64_t tokens) const {
  const auto it = routers_.find(service);
  return it == routers_.end() ? Duration::zero()
                              : it->second.PromptTime(tokens);
}

void BackendTable::OnDispatched(MonoTime now,
                                const ServiceId& service,
                                const ServerId& server,
                                std::int64_t prompt_tokens) {
  const auto it = backends_.find(server);
  if (it == backends_.end())
    return;
  if (it->second.own_running++ == 0)
    it->second.last_activity = now;
  Router& router = RouterOf(service);
  router.OnDispatched(now, server, prompt_tokens);
  pacer_.OnDispatched(now, server);
  router.Hold(server, pacer_.HeldUntil(now, server));
}

void BackendTable::OnActivity(MonoTime now, const ServerId& server) {
  const auto it = backends_.find(server);
  if (it != backends_.end())
    it->second.last_activity = now;
}

void BackendTable::OnFirstToken(MonoTime now,
                                const ServiceId& service,
                                const ServerId& server,
                                std::int64_t prompt_tokens,
                                Duration time,
                                std::uint32_t urgency) {
  RouterOf(service).OnFirstToken(now, server, prompt_tokens, time, urgency);
}

void BackendTable::OnFinished(MonoTime now,
                              const ServiceId& service,
                              const ServerId& server,
                              AttemptOutcome outcome,
                              Duration ran_for) {
  const auto it = backends_.find(server);
  if (it == backends_.end())
    return;
  if (it->second.own_running > 0)
    --it->second.own_running;
  RouterOf(service).OnFinished(now, server, outcome, ran_for);
}

Duration BackendTable::SilentFor(MonoTime now, const ServerId& server) const {
  const auto it = backends_.find(server);
  if (it == backends_.end() || it->second.own_running == 0)
    return Duration::zero();
  return now - it->second.last_activity;
}

Duration BackendTable::SilentToAllFor(MonoTime now,
                                      const ServerId& server) const {
  const Duration own = SilentFor(now, server);
  const auto it = backends_.find(server);
  if (it == backends_.end())
    return own;
  return std::min(own, now - it->second.peers_activity);
}

std::vector<ServerLoad> BackendTable::OwnLoads(MonoTime now) const {
  std::vector<ServerLoad> out;
  for (const auto& [id, backend] : backends_) {
    const auto router = routers_.find(backend.service);
    const double work =
        router == routers_.end() ? 0 : router->second.OwnWork(now, id);
    if (backend.own_running > 0 || work >= kLeastWork)
      out.push_back({.server = id,
                     .running = backend.own_running,
                     .silent = now - backend.last_activity,
                     .work = work});
  }
  return out;
}

}  // namespace mangoport
