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

/// Whether a request of a route may run more than once.
enum class RouteKind {
  /// Idempotent: may run more than once.
  kIdempotent,
  /// Runs at most once for each request.
  kRunOnce,
  /// An event stream; idempotent only where the route is resumable.
  kStream,
};

/// A service that a route sends requests to, and its relative weight.
struct RouteTarget {
  ServiceId service;
  std::uint32_t weight = 1;
};

/// A route: the requests that it matches and how they are served.
struct RouteSpec {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kRunOnce;
  /// The maximum time until the caller has the complete response.
  Duration timeout{};
  /// The target latency of the response, or of a stream's first event.
  Duration latency_objective{};
  /// Streams: the target maximum gap between events.
  Duration event_gap_objective{};
  /// Streams: callers disconnect after a gap of this length; zero if they wait
  /// without limit.
  Duration stall_limit{};
  /// Priority among requests; 0 is the highest.
  std::uint32_t priority = 0;
  std::vector<RouteTarget> targets;
  /// The maximum number of backend servers on which one request may run.
  std::uint32_t max_attempts = 1;
  /// Requests need no key.
  bool is_public = false;
  bool resumable = false;
  /// Prompts share prefixes, so the router prefers servers that have the prefix
  /// cached.
  bool prefers_cached_prefix = false;

  /// Returns true if a request may be retried although it may already have run.
  bool idempotent() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStream && resumable);
  }
};

/// The size and load times of a model.
/// Returns the name of a model's adapter; they are numbered from 1.
AdapterId NumberedAdapter(std::uint32_t number);

struct ModelSpec {
  /// True if `name` is the name of one of the model's adapters.
  bool HasAdapter(std::string_view name) const;

  ModelId model;
  std::uint64_t weights_mb = 0;
  /// Load times from the weight store, the engine's disk and its memory.
  Duration load_from_store{};
  Duration load_from_disk{};
  Duration load_from_memory{};
  std::uint32_t adapter_count = 0;
  std::uint64_t adapter_mb = 0;
};

/// The capacity of each engine of a service.
struct EngineCapacity {
  std::uint32_t batch_size = 1;
  std::uint64_t kv_tokens = 0;
  std::uint64_t weights_mb = 0;
  std::uint32_t adapter_slots = 0;
  /// The rate of loads from the weight store, over all engines.
  double store_loads_per_second = 0;
  std::vector<ModelSpec> models;
};

/// What a backend server bears for some time after its start.
struct ColdStartSpec {
  /// How long a server is cold; zero if it bears its full load at once.
  Duration duration{};
  /// Requests per second, from all hosts together, while it is cold.
  double requests_per_second = 0;

  bool limited() const {
    return duration > Duration::zero() && requests_per_second > 0;
  }

  friend bool operator==(const ColdStartSpec&, const ColdStartSpec&) = default;
};

struct ServiceSpec {
  ServiceId id;
  ColdStartSpec cold_start;
  /// The maximum number of connections, from all hosts, to one backend server.
  std::uint32_t max_connections = 0;
  /// Set for a service of model engines.
  std::optional<EngineCapacity> engine;
};

/// A client account with its keys and rate limit.
struct AccountSpec {
  AccountId id;
  std::vector<std::string> keys;
  /// Takes precedence over a route's priority.
  std::optional<std::uint32_t> priority;
  /// Zero means no limit. In tokens if `counts_tokens`, else in requests.
  std::int64_t rate_per_second = 0;
  std::int64_t burst = 0;
  bool counts_tokens = false;
  /// The token count of a request that states none.
  std::int64_t default_tokens = 0;
};

/// Limits on incoming requests.
struct IngressLimits {
  std::size_t max_head_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  Duration head_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  bool operator==(const IngressLimits&) const = default;
};

/// A complete published configuration, as parsed.
struct FleetConfig {
  std::uint64_t version = 0;
  std::vector<RouteSpec> routes;
  std::vector<ServiceSpec> services;
  std::vector<AccountSpec> accounts;
  IngressLimits limits;
};

/// An immutable configuration with lookup indexes.
class FleetConfigView {
 public:
  explicit FleetConfigView(FleetConfig config);

  FleetConfigView(const FleetConfigView&) = delete;
  FleetConfigView& operator=(const FleetConfigView&) = delete;

  std::uint64_t version() const { return config_.version; }
  const FleetConfig& config() const { return config_; }

  /// Returns the route of `host` whose prefix is the longest match for `path`,
  /// or null. The comparison of `host` ignores its port and letter case.
  const RouteSpec* FindRoute(std::string_view host,
                             std::string_view path) const;

  /// Returns the account that holds `key`, or null.
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
