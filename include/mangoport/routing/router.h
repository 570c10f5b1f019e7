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
#include "mangoport/routing/engine_work.h"
#include "mangoport/routing/load_estimate.h"
#include "mangoport/routing/queue_admission.h"
#include "mangoport/routing/server.h"
#include "mangoport/routing/server_health.h"
#include "mangoport/routing/zone_spill.h"

namespace mangoport {

/// The state that the router keeps for one backend server.
struct BackendState {
  ServerSpec spec;
  LoadEstimate load;
  EngineWorkLoad work;
  ServerHealth health;
  /// Time of the newest evidence that the server is leaving.
  std::optional<MonoTime> leaving_since;
  /// Until this time a suspect has exclusive use of this server.
  MonoTime reserved_until;
  /// False for a server that is no longer in the server list but still runs
  /// requests of this host.
  bool listed = true;
  /// Position on the hash rings of its models.
  std::uint64_t ring_hash = 0;
};

/// The properties of a request that determine its routing.
struct RouteRequest {
  RequestId request;
  AccountId account;
  ModelId model;
  /// Empty if the request uses the base model.
  AdapterId adapter;
  /// Hash of the start of the prompt; zero if it is not worth caching.
  std::uint64_t prefix_hash = 0;
  ZoneId own_zone;
  /// Servers that already failed this request.
  std::vector<ServerId> excluded;
  /// When the caller leaves without a first token.
  MonoTime deadline = MonoTime::max();
  /// The latency objective of the first token, and when it ends; `max` if the
  /// request has none, or has been admitted before.
  Duration objective = Duration::max();
  MonoTime due = MonoTime::max();
  /// The objective is for the whole answer.
  bool whole_answer = false;
  /// Servers admit requests of lower urgency first.
  std::uint32_t urgency = 0;
  /// Must run without other unproven requests on its server.
  bool isolated = false;
};

/// Why a server is in the zone that it is in.
enum class ZoneUse {
  kHome,
  /// The host's zone has no eligible server for the request.
  kNoneAtHome,
  /// The wait at home is longer by more than a crossing costs.
  kShorterWait,
};

/// The chosen backend server, or the reason why there is none. The `not_run` of
/// a refusal is always true and covers only this choice; the caller must
/// account for earlier attempts.
struct RouteChoice {
  std::optional<ServerId> server;
  ZoneUse zone_use = ZoneUse::kHome;
  Error refusal;
  /// Suggested delay before a refused request is sent again; zero if unknown.
  Duration retry_after{};
  /// The refusal is for the length of the queue only, and the request can still
  /// be served in time if it is tried again after this time.
  std::optional<Duration> hold_for = std::nullopt;
  /// The wait that the chosen or refusing server has.
  Duration expected_wait{};
};

/// Routing policies. Those other than `kMangoport` serve as baselines in
/// benchmarks.
enum class RoutingPolicy {
  kMangoport,
  kRandom,
  kRoundRobin,
  kLeastOutstanding,
};

struct RouterSettings {
  RoutingPolicy policy = RoutingPolicy::kMangoport;
  std::uint64_t seed = 1;
  /// A server that caches the prefix or holds the adapter is preferred while
  /// its load, over its batch size, exceeds that of the sampled alternative by
  /// at most this much.
  double affinity_slack = 0.5;
  /// Other zones are considered if the load over batch size is at least this.
  double spill_load = 1.0;
  /// The wait that is borne rather than leaving the zone; see `ZoneSpill`.
  Duration zone_crossing_cost = std::chrono::milliseconds(20);
  /// Initial estimate of the mean duration of a request.
  Duration initial_service_time = std::chrono::seconds(4);
};

/// Chooses backend servers for the requests of one shard. Not synchronised; the
/// lock of the shard protects it.
class Router {
 public:
  explicit Router(RouterSettings settings);
  Router() : Router(RouterSettings{}) {}

  /// Replaces the server list. Servers that remain keep their load and health
  /// state. Evidence that a server is leaving is kept unless the list is newer.
  void SetServers(MonoTime now, const ServerList& list);

  /// Replaces the models of one listed server. Costs little beside
  /// `SetServers`, which rebuilds the index of all servers.
  void SetModels(const ServerId& server, std::vector<ModelId> models);

  /// Records that a server was leaving at `since`, as reported by a peer, an
  /// operator or the server itself.
  void OnLeaving(MonoTime since, const ServerId& server);

  /// Sends no new requests to `server` until `until`, at its own request.
  void Hold(const ServerId& server, MonoTime until);

  /// Sends no new requests to `server` until `until` while other servers are
  /// eligible.
  void Reserve(const ServerId& server, MonoTime until);
  void Unreserve(const ServerId& server);

  /// Processes a load report; reports of unknown servers are ignored.
  void OnReport(MonoTime now, const ServerReport& report);

  /// Records that other hosts send `server` prompts that take this part of its
  /// time.
  void OnPeerWork(MonoTime now, const ServerId& server, double work);

  /// Chooses a server for `request`, or refuses it.
  RouteChoice Choose(MonoTime now, const RouteRequest& request);

  /// True if `server` may take this request now, regardless of its health.
  bool Accepts(MonoTime now,
               const RouteRequest& request,
               const ServerId& server) const;

  /// `prompt_tokens` are the request's own; zero if it has no prompt.
  void OnDispatched(MonoTime now,
                    const ServerId& server,
                    std::int64_t prompt_tokens = 0);
  /// The first token came `time` after the request was dispatched.
  void OnFirstToken(MonoTime now,
                    const ServerId& server,
                    std::int64_t prompt_tokens = 0,
                    Duration time = {},
                    std::uint32_t urgency = 0);
  /// `ran_for` is the time since dispatch; it updates the mean service time.
  void OnFinished(MonoTime now,
                  const ServerId& server,
                  AttemptOutcome outcome,
                  Duration ran_for = {});

  /// The time that a server needs to read a prompt, as learnt; zero while
  /// nothing is known.
  Duration PromptTime(std::int64_t tokens) const {
    return prompt_rate_.TimeFor(tokens);
  }

  /// The part of `server`'s time that prompts from this host take.
  double OwnWork(MonoTime now, const ServerId& server) const;

  /// True if there is evidence that `server` is leaving.
  bool IsLeaving(const ServerId& server) const;

  /// Returns the state of `server`, or null if it is unknown.
  const BackendState* Find(const ServerId& server) const;
  std::size_t server_count() const { return slots_.size(); }

  /// The share of requests that leave the zone where that pays.
  double spill_share() const { return spill_.share(); }

 private:
  /// Index in `slots_`.
  using Slot = std::uint32_t;
  /// Slots sorted by ring hash.
  using Ring = std::vector<Slot>;
  struct ZoneRing {
    ZoneId zone;
    Ring ring;
  };
  struct ModelEntry {
    std::vector<ZoneRing> zones;
    /// Position of the round-robin policy.
    std::uint64_t next_turn = 0;
  };
  /// Which servers are eligible, apart from servers that are leaving or held,
  /// which never are.
  enum class Pool {
    /// Servers that are neither reserved nor ejected.
    kRegular,
    /// Also reserved servers.
    kWithReserved,
    /// Also reserved and ejected servers.
    kWithEjected,
  };
  struct Candidate {
    Slot slot = 0;
    double load = 0;
    ZoneUse zone_use = ZoneUse::kHome;
  };

  void RebuildIndex();
  void AddToIndex(const ModelId& model, Slot slot);
  void RemoveFromIndex(const ModelId& model, Slot slot);
  bool IsEligible(MonoTime now,
                  const RouteRequest& request,
                  Slot slot,
                  Pool pool) const;
  bool IsExcluded(const RouteRequest& request, Slot slot) const;
  /// Requests over batch size.
  double SlotLoad(MonoTime now, Slot slot) const;
  /// The larger of the slots and the time in use; 1 if either is used up.
  double RelativeLoad(MonoTime now, Slot slot) const;
  std::optional<Candidate> SampleTwo(MonoTime now,
                                     const RouteRequest& request,
                                     const Ring& ring,
                                     Pool pool);
  std::optional<Candidate> SampleOne(MonoTime now,
                                     const RouteRequest& request,
                                     const Ring& ring,
                                     Pool pool);
  std::optional<Candidate> FindLeastOutstanding(MonoTime now,
                                                const RouteRequest& request,
                                                const Ring& ring,
                                                Pool pool) const;
  std::optional<Candidate> FindPrefixServer(MonoTime now,
                                            const RouteRequest& request,
                                            const Ring& ring) const;
  std::optional<Candidate> ChooseInZones(MonoTime now,
                                         const RouteRequest& request,
                                         ModelEntry& entry,
                                         Pool pool);
  std::optional<Candidate> ChooseByBaseline(MonoTime now,
                                            const RouteRequest& request,
                                            ModelEntry& entry);
  /// Returns the better of two servers in other zones for the request.
  std::optional<Candidate> ChooseAway(MonoTime now,
                                      const RouteRequest& request,
                                      const ModelEntry& entry,
                                      Pool pool);
  /// The time until `slot` begins with a request, also as its prompts show it.
  Duration TimeAt(MonoTime now, const RouteRequest& request, Slot slot) const;
  Candidate PreferAffinity(MonoTime now,
                           const RouteRequest& request,
                           const Ring& ring,
                           Candidate sampled) const;
  /// Returns the least loaded server in the ring's zone that holds the
  /// request's adapter.
  std::optional<Candidate> FindAdapterServer(MonoTime now,
                                             const RouteRequest& request,
                                             const Ring& ring) const;
  Duration ExpectedWait(Slot slot, double relative_load) const;
  /// The time until `slot` begins with a request that is sent now.
  Duration WaitAt(MonoTime now, const RouteRequest& request, Slot slot) const;
  QueueCandidate CandidateFor(MonoTime now, const RouteRequest& request) const;
  /// When a request that found no server should come back.
  Duration UnavailableFor(MonoTime now, const ModelEntry& entry) const;

  RouterSettings settings_;
  std::mt19937_64 random_;
  std::vector<BackendState> slots_;
  std::unordered_map<ServerId, Slot> by_id_;
  std::unordered_map<ModelId, ModelEntry> models_;
  std::unordered_map<AdapterId, std::vector<Slot>> adapters_;
  /// Moving average of the duration of completed requests.
  Duration service_time_;
  PromptRateEstimate prompt_rate_;
  QueueAdmission admission_;
  ZoneSpill spill_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_ROUTER_H_
