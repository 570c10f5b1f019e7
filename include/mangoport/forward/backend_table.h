#ifndef MANGOPORT_FORWARD_BACKEND_TABLE_H_
#define MANGOPORT_FORWARD_BACKEND_TABLE_H_

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/fleet/fleet_config.h"
#include "mangoport/fleet/server_directory.h"
#include "mangoport/forward/peer_loads.h"
#include "mangoport/forward/server_signals.h"
#include "mangoport/routing/cold_start_pacer.h"
#include "mangoport/routing/router.h"

namespace mangoport {

/// A server begins or ceases to hold a model or adapter.
struct ResidencyChange {
  ServerId server;
  ModelId item;
  /// Orders that the server had accepted by then: tells old news from new.
  std::uint64_t orders_accepted = 0;
  bool gone = false;
};

/// What callers of this host ask of one model, an adapter's counted apart.
struct ModelUse {
  ModelId model;
  /// Requests since the host started.
  std::uint64_t arrivals = 0;
  /// Requests at backend servers, and such as wait for a copy.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// Engine time for the prompts of the arrivals.
  Duration work{};
};

/// The backend servers of all services as this host routes to them: what each
/// holds, how loaded it is by all hosts' accounts, and how healthy it looks.
class BackendTable {
 public:
  explicit BackendTable(ZoneId own_zone, const RouterSettings& routing = {})
      : own_zone_(std::move(own_zone)), routing_(routing) {}

  BackendTable(const BackendTable&) = delete;
  BackendTable& operator=(const BackendTable&) = delete;

  /// Takes the servers as they are now.
  void SetServers(MonoTime now, const std::map<ServerId, ServerEntry>& listed);

  /// Sets the zones whose servers get no new requests and count as draining.
  /// The servers of a zone that is no longer among them are taken for cold,
  /// since they may have been started again meanwhile.
  void SetEvacuatedZones(MonoTime now,
                         const std::set<ZoneId>& zones,
                         const std::vector<ZoneId>& ended);

  /// Sets what the servers of each service bear after their start.
  void SetColdStarts(const std::vector<ServiceSpec>& services);

  /// Sets the hosts that share the cold servers of this host's zone; see
  /// `ColdStartPacer`.
  void SetZoneHosts(MonoTime now,
                    const HostId& self,
                    std::vector<HostId> hosts,
                    MonoTime settled_at);

  /// True if `server` bears less than its full load yet.
  bool IsCold(MonoTime now, const ServerId& server) const {
    return pacer_.IsCold(now, server);
  }

  /// Takes in a change of what a server holds, by word of the host that gives
  /// engines orders. Believed until the server's own entry must show it.
  void NoteResidency(MonoTime now, const ResidencyChange& change);

  /// `server` has denied that it holds `model`.
  void NoteMissing(MonoTime now, const ServerId& server, const ModelId& model);

  /// Takes in what a server said in an answer. From its word that it leaves
  /// until its next start, and while it wants to be spared, it gets no new
  /// requests, whatever the list says. True if the latter begins now.
  bool NoteSignals(MonoTime now,
                   const ServerStart& start,
                   const ServerSignals& signals);

  /// The present start of the server by the list.
  ServerStart StartOf(const ServerId& server) const;

  /// The listed servers that have said that they leave, to tell other hosts.
  std::vector<ServerId> SaidLeaving() const;

  /// Called when a server says that it leaves.
  void set_on_leaving(std::function<void(const ServerId&)> hook) {
    on_leaving_ = std::move(hook);
  }

  /// Called when the last server of a service that was not leaving leaves.
  void set_on_all_leaving(std::function<void()> hook) {
    on_all_leaving_ = std::move(hook);
  }

  /// Sets how long what a silent host reported counts.
  void set_peer_load_lifetime(Duration lifetime) {
    peer_loads_.set_lifetime(lifetime);
  }

  /// Requests of another host at a server.
  void SetPeerLoads(MonoTime now,
                    const HostId& host,
                    const std::vector<ServerLoad>& loads);

  RouteChoice Choose(MonoTime now,
                     const ServiceId& service,
                     RouteRequest request);

  /// The time that a server of the service needs for a prompt; zero if unknown.
  Duration PromptTime(const ServiceId& service, std::int64_t tokens) const;

  /// True if some server of the service holds the model.
  bool HasModel(MonoTime now,
                const ServiceId& service,
                const ModelId& model) const;

  /// True if the service has servers and all of them leave or are evacuated.
  bool AllLeaving(const ServiceId& service) const;

  /// True if the service has servers and all of them are evacuated.
  bool AllEvacuated(const ServiceId& service) const;

  /// Where the server listens; none if it is not listed.
  std::optional<asio::ip::tcp::endpoint> AddressOf(
      const ServerId& server) const;

  /// Work is counted for the service that sends it, since the server's entry
  /// may go to another service meanwhile.
  void OnDispatched(MonoTime now,
                    const ServiceId& service,
                    const ServerId& server,
                    std::int64_t prompt_tokens);
  /// Bytes have arrived from the server.
  void OnActivity(MonoTime now, const ServerId& server);
  /// The first token came `time` after the request was dispatched.
  void OnFirstToken(MonoTime now,
                    const ServiceId& service,
                    const ServerId& server,
                    std::int64_t prompt_tokens,
                    Duration time,
                    std::uint32_t urgency);
  void OnFinished(MonoTime now,
                  const ServiceId& service,
                  const ServerId& server,
                  AttemptOutcome outcome,
                  Duration ran_for);

  /// For how long the server, which has work from this host, has sent nothing
  /// to this host, and to any host that has told.
  Duration SilentFor(MonoTime now, const ServerId& server) const;
  Duration SilentToAllFor(MonoTime now, const ServerId& server) const;

  /// Requests of this host at each server that has any.
  std::vector<ServerLoad> OwnLoads(MonoTime now) const;

  /// The listed servers; those that said so themselves are draining too.
  const std::map<ServerId, ServerEntry>& servers() const { return servers_; }

  /// Called when a server begins to hold a model.
  void set_on_resident(std::function<void(const ModelId&)> hook) {
    on_resident_ = std::move(hook);
  }

 private:
  struct ToldChange {
    ResidencyChange change;
    MonoTime heard_at;
  };
  struct Backend {
    ServiceId service;
    asio::ip::tcp::endpoint address;
    /// The start to which `told` belongs.
    std::uint64_t started_at_ms = 0;
    MonoTime last_activity;
    /// The same as other hosts tell.
    MonoTime peers_activity;
    std::uint32_t own_running = 0;
    /// The newest change of each item, and when it was heard first.
    std::map<ModelId, ToldChange> told;
    std::set<ModelId> denied;
  };

  static std::vector<ModelId> ModelsOf(MonoTime now,
                                       const ServerEntry& entry,
                                       const Backend& backend);
  /// `listed` with what the servers said themselves, and the evacuated ones
  /// draining.
  std::map<ServerId, ServerEntry> WithSignals(
      MonoTime now,
      const std::map<ServerId, ServerEntry>& listed);
  /// The server bears little for `left` from now.
  void NoteCold(MonoTime now, const ServerEntry& entry, Duration left);
  /// Until when this host sends the server nothing.
  MonoTime HeldUntil(MonoTime now, const ServerEntry& entry) const;
  void NoteLeaving(MonoTime now, const ServerStart& start);
  bool NoteHold(MonoTime now, const ServerStart& start, Duration hold);
  /// Returns true if the server holds the item, as far as this host knows.
  static bool Holds(MonoTime now,
                    const ServerEntry& entry,
                    const Backend& backend,
                    const ModelId& item);
  void Rebuild(MonoTime now, const ServiceId& service);
  /// Updates the router after a change of what one server holds.
  void RefreshModels(MonoTime now, const ServerEntry& entry);
  void TellIfAllLeave(const ServiceId& service) const;
  void ReportLoad(MonoTime now, const ServerId& server);
  Router& RouterOf(const ServiceId& service);

  ZoneId own_zone_;
  RouterSettings routing_;
  std::map<ServerId, ServerEntry> servers_;
  std::unordered_map<ServerId, Backend> backends_;
  std::map<ServiceId, Router> routers_;
  std::map<ServiceId, MonoTime> rebuilt_at_;
  PeerLoads peer_loads_;
  ServerSignalTable signals_;
  /// The servers as they were listed last.
  std::map<ServerId, ServerEntry> listed_;
  std::set<ZoneId> evacuated_;
  std::map<ServiceId, ColdStartSpec> cold_starts_;
  ColdStartPacer pacer_;
  std::function<void(const ModelId&)> on_resident_;
  std::function<void(const ServerId&)> on_leaving_;
  std::function<void()> on_all_leaving_;
};

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_BACKEND_TABLE_H_
