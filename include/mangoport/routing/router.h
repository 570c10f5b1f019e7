#ifndef MANGOPORT_ROUTING_ROUTER_H_
#define MANGOPORT_ROUTING_ROUTER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "mangoport/core/error.h"
#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/routing/load_estimate.h"
#include "mangoport/routing/server.h"
#include "mangoport/routing/server_health.h"

namespace mangoport {

/// What the router knows of one backend server.
struct BackendState {
  ServerSpec spec;
  LoadEstimate load;
  ServerHealth health;
  /// Time of the newest evidence that the server is leaving.
  std::optional<MonoTime> leaving_since;
  /// Until then a suspect has this server for itself.
  MonoTime reserved_until;
  bool listed = true;
  /// Place on the hash rings of its models.
  std::uint64_t ring_hash = 0;
};

/// One request as routing sees it.
struct RouteRequest {
  RequestId request;
  AccountId account;
  ModelId model;
  /// Empty if the bare model is asked for.
  AdapterId adapter;
  /// Hash of the prompt's beginning; zero if there is none worth caching.
  std::uint64_t prefix_hash = 0;
  ZoneId own_zone;
  /// Servers that already failed this request.
  std::vector<ServerId> excluded;
  /// When the first token is due.
  MonoTime deadline = MonoTime::max();
  /// Wants a server without other requests still in their start phase.
  bool isolated = false;
};

/// A backend server, or why there is none. A refusal is always `not_run` as far
/// as this choice goes; the caller knows about earlier attempts.
struct RouteChoice {
  std::optional<ServerId> server;
  Error refusal;
  /// When a refused request may be worth repeating; zero if unknown.
  Duration retry_after{};
};

/// The policies that benchmarks compare.
enum class RoutingPolicy {
  kMangoport,
  kRandom,
  kRoundRobin,
  kLeastOutstanding,
};

struct RouterSettings {
  RoutingPolicy policy = RoutingPolicy::kMangoport;
  std::uint64_t seed = 1;
  /// A prefix's or adapter's own server is taken while its load is at most
  /// this fraction of its batch size above the sampled alternative.
  double affinity_slack = 0.5;
  /// Load over batch size from which other zones are considered.
  double spill_load = 1.0;
  /// Duration of a request, until finished ones have told a better one.
  Duration initial_service_time = std::chrono::seconds(4);
};

/// Chooses backend servers for the requests of one shard. Not synchronised:
/// the shard's lock guards it.
class Router {
 public:
  explicit Router(RouterSettings settings);
  Router() : Router(RouterSettings{}) {}

  /// Replaces the list. Servers that stay keep their load and failures.
  /// Evidence of leaving is kept unless the list is newer than it.
  void SetServers(MonoTime now, const ServerList& list);

  /// Evidence from a peer or an operator that a server was leaving at `since`.
  void OnLeaving(MonoTime since, const ServerId& server);

  /// Keeps new work away from `server` while others can take it.
  void Reserve(const ServerId& server, MonoTime until);
  void Unreserve(const ServerId& server);

  void OnReport(MonoTime now, const ServerReport& report);

  RouteChoice Choose(MonoTime now, const RouteRequest& request);

  /// True if `server` may take this request now, whatever its health.
  bool Accepts(MonoTime now,
               const RouteRequest& request,
               const ServerId& server) const;

  void OnDispatched(MonoTime now, const ServerId& server);
  void OnFirstToken(MonoTime now, const ServerId& server);
  /// `ran_for` is the time since dispatch; it teaches the service time.
  void OnFinished(MonoTime now,
                  const ServerId& server,
                  AttemptOutcome outcome,
                  Duration ran_for = {});

  /// True if the router holds evidence that `server` is leaving.
  bool IsLeaving(const ServerId& server) const;

  /// Null if the server is unknown.
  const BackendState* Find(const ServerId& server) const;
  std::size_t server_count() const { return slots_.size(); }

 private:
  using Slot = std::uint32_t;
  /// Slots sorted by ring hash.
  using Ring = std::vector<Slot>;
  struct ZoneRing {
    ZoneId zone;
    Ring ring;
  };
  struct ModelEntry {
    std::vector<ZoneRing> zones;
    std::uint64_t turn = 0;
  };
  /// Which servers may be chosen; never one that is leaving.
  enum class Pool { kFit, kReservedToo, kEjectedToo };
  struct Candidate {
    Slot slot = 0;
    double load = 0;
  };

  void RebuildIndex();
  bool MayChoose(MonoTime now,
                 const RouteRequest& request,
                 Slot slot,
                 Pool pool) const;
  bool IsExcluded(const RouteRequest& request, Slot slot) const;
  /// Load over batch size.
  double RelativeLoad(MonoTime now, Slot slot) const;
  std::optional<Candidate> SampleTwo(MonoTime now,
                                     const RouteRequest& request,
                                     const Ring& ring,
                                     Pool pool);
  std::optional<Candidate> PickOne(MonoTime now,
                                   const RouteRequest& request,
                                   const Ring& ring,
                                   Pool pool);
  std::optional<Candidate> LeastOf(MonoTime now,
                                   const RouteRequest& request,
                                   const Ring& ring,
                                   Pool pool) const;
  std::optional<Candidate> AffinityIn(MonoTime now,
                                      const RouteRequest& request,
                                      const Ring& ring) const;
  std::optional<Candidate> ChooseInZones(MonoTime now,
                                         const RouteRequest& request,
                                         ModelEntry& entry,
                                         Pool pool);
  std::optional<Candidate> ChooseByBaseline(MonoTime now,
                                            const RouteRequest& request,
                                            ModelEntry& entry);
  Candidate PreferAffinity(MonoTime now,
                           const RouteRequest& request,
                           const Ring& ring,
                           Candidate sampled) const;
  /// The least loaded holder of the request's adapter in the ring's zone.
  std::optional<Candidate> WithAdapter(MonoTime now,
                                       const RouteRequest& request,
                                       const Ring& ring) const;
  Duration ExpectedWait(double relative_load) const;

  RouterSettings settings_;
  std::mt19937_64 random_;
  std::vector<BackendState> slots_;
  std::unordered_map<ServerId, Slot> by_id_;
  std::unordered_map<ModelId, ModelEntry> models_;
  std::unordered_map<AdapterId, std::vector<Slot>> adapters_;
  Duration service_time_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_ROUTER_H_
