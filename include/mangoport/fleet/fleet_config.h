#ifndef MANGOPORT_FLEET_FLEET_CONFIG_H_
#define MANGOPORT_FLEET_FLEET_CONFIG_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"

namespace mangoport {

using ServiceId = Id<struct ServiceTag>;

/// What may be repeated.
enum class RouteKind {
  /// Idempotent: may run more than once.
  kIdempotent,
  /// Runs at most once for each request.
  kRunOnce,
  /// An event stream; idempotent only where the route is resumable.
  kStream,
};

/// A service that a route sends to, and its part of the requests.
struct RouteTarget {
  ServiceId service;
  std::uint32_t weight = 1;
};

struct RouteSpec {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kRunOnce;
  /// The longest time that a caller is kept waiting for the whole answer.
  Duration timeout{};
  /// The time by which the answer, or a stream's first event, is on time.
  Duration latency_objective{};
  /// Streams: the longest pause between events that is on time.
  Duration event_gap_objective{};
  /// Streams: callers leave after such a gap; zero if they wait to the end.
  Duration stall_limit{};
  /// Rank among requests: 0 is the most urgent.
  std::uint32_t priority = 0;
  std::vector<RouteTarget> targets;
  /// The most backend servers on which one request may run.
  std::uint32_t max_attempts = 1;
  /// Served without a key.
  bool is_public = false;
  bool resumable = false;
  /// Prompts share parts, so that the server that has read one is preferred.
  bool prefers_cached_prefix = false;

  /// True if a request may run again after it may have run.
  bool idempotent() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStream && resumable);
  }
};

struct ModelSpec {
  ModelId model;
  std::uint64_t weights_mb = 0;
  /// From the weight store, from the engine's disk, from its memory.
  Duration load_from_store{};
  Duration load_from_disk{};
  Duration load_from_memory{};
  std::uint32_t adapter_count = 0;
  std::uint64_t adapter_mb = 0;
};

/// What each engine of a service can hold and do.
struct EngineCapacity {
  std::uint32_t batch_size = 1;
  std::uint64_t kv_tokens = 0;
  std::uint64_t weights_mb = 0;
  std::uint32_t adapter_slots = 0;
  /// Loads from the weight store, over all engines.
  double store_loads_per_second = 0;
  std::vector<ModelSpec> models;
};

struct ServiceSpec {
  ServiceId id;
  /// The most connections that one backend server accepts, from all hosts.
  std::uint32_t max_connections = 0;
  /// Set for a service of model engines.
  std::optional<EngineCapacity> engine;
};

/// A client account: who holds which keys, and how much it may spend.
struct AccountSpec {
  AccountId id;
  std::vector<std::string> keys;
  /// Takes precedence over a route's priority.
  std::optional<std::uint32_t> priority;
  /// Zero means no limit. In tokens if `counts_tokens`, else in requests.
  std::int64_t rate_per_second = 0;
  std::int64_t burst = 0;
  bool counts_tokens = false;
  /// Tokens of a request that states none.
  std::int64_t default_tokens = 0;
};

/// Bounds on what a caller may send.
struct IngressLimits {
  std::size_t max_head_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  Duration head_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// One published configuration, in full, as parsed.
struct FleetConfig {
  std::uint64_t version = 0;
  std::vector<RouteSpec> routes;
  std::vector<ServiceSpec> services;
  std::vector<AccountSpec> accounts;
  IngressLimits limits;
};

/// A configuration with its indexes. Never changes once made.
class FleetConfigView {
 public:
  explicit FleetConfigView(FleetConfig config);

  FleetConfigView(const FleetConfigView&) = delete;
  FleetConfigView& operator=(const FleetConfigView&) = delete;

  std::uint64_t version() const { return config_.version; }
  const FleetConfig& config() const { return config_; }

  /// The host's route with the longest prefix of `path`, or null. `host` is
  /// compared without its port and the case of its letters.
  const RouteSpec* FindRoute(std::string_view host,
                             std::string_view path) const;

  /// The account that holds `key`, or null.
  const AccountSpec* FindAccountByKey(const std::string& key) const;

  const AccountSpec* FindAccount(const AccountId& id) const;
  const ServiceSpec* FindService(const ServiceId& id) const;

 private:
  struct HostRoutes {
    /// Longest prefix first.
    std::vector<const RouteSpec*> routes;
  };

  FleetConfig config_;
  std::unordered_map<std::string, HostRoutes> hosts_;
  std::unordered_map<std::string, const AccountSpec*> accounts_by_key_;
  std::unordered_map<AccountId, const AccountSpec*> accounts_;
  std::unordered_map<ServiceId, const ServiceSpec*> services_;
};

using FleetConfigPtr = std::shared_ptr<const FleetConfigView>;

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_FLEET_CONFIG_H_
