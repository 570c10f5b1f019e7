#ifndef MANGOPORT_PORTS_FLEET_PLATFORM_H_
#define MANGOPORT_PORTS_FLEET_PLATFORM_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/fleet/engine_calls.h"
#include "mangoport/fleet/evacuations.h"
#include "mangoport/fleet/fleet_config.h"
#include "mangoport/fleet/server_feed.h"
#include "mangoport/membership/order_lease.h"

namespace mangoport {

/// Where a read of a feed goes on; none reads the feed's present state.
using FeedPosition = std::optional<StorePosition>;

/// News of the operators' configuration and of their other records.
struct ConfigNews {
  /// The newest valid configuration in what was read, if there was one.
  std::optional<FleetConfig> newest = std::nullopt;
  /// Evacuations that began or ended, oldest first.
  std::vector<EvacuationChange> evacuations = {};
  StorePosition next = {};
  /// Where the log ended when the store answered. The read stopped short if
  /// that is beyond `next`.
  std::uint64_t log_end = 0;
  /// True if this is the present state, not what follows a position.
  bool whole = false;
  /// The position is no longer kept: read the present state.
  bool history_lost = false;
  /// Records that were passed over, and why.
  std::vector<std::string> problems = {};
};

/// Where a host takes datagrams of other hosts.
struct HostAddress {
  HostId host;
  /// "ip:port"
  std::string address;
};

/// The hosts that have announced themselves.
struct HostNews {
  std::vector<HostAddress> hosts = {};
  /// Records that were passed over, and why.
  std::vector<std::string> problems = {};
};

struct OrderLeaseState {
  std::optional<OrderLeaseRecord> record = std::nullopt;
  StorePosition end = {};
};

/// One answer of the store, to whichever call.
struct StoreAnswer {
  /// The timeline that it names, if any.
  std::optional<StoreTimeline> timeline = std::nullopt;
  /// False if the store says that it is overloaded or fails.
  bool available = false;
};

/// The platform under the hosts: its store and its engines' own interface, in
/// the product's terms. Calls return at once; each result comes in a call of
/// its own from the event loop.
class FleetPlatform {
 public:
  virtual ~FleetPlatform() = default;

  /// Sets a hook that is called for each answer of the store, before the result
  /// of the call.
  virtual void set_on_answer(
      std::function<void(const StoreAnswer& answer)> hook) = 0;

  /// Answers as soon as there is news, or with none after `wait`.
  virtual void ReadConfig(FeedPosition from,
                          Duration wait,
                          CallDone<ConfigNews> done) = 0;
  virtual void ReadServers(FeedPosition from, CallDone<ServerNews> done) = 0;

  virtual void AnnounceHost(const HostAddress& address,
                            CallDone<bool> done) = 0;
  virtual void ReadHosts(CallDone<HostNews> done) = 0;

  virtual void ReadOrderLease(CallDone<OrderLeaseState> done) = 0;
  /// Writes only if the log ends at `expected_end`; the result is its new end.
  virtual void WriteOrderLease(const OrderLeaseRecord& record,
                               std::uint64_t expected_end,
                               CallDone<std::uint64_t> done) = 0;

  virtual void SendOrder(const std::string& address,
                         const EngineOrder& order,
                         CallDone<EngineOrderAnswer> done) = 0;
  virtual void ReadReport(const std::string& address,
                          const ServerId& engine,
                          CallDone<EngineReport> done) = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_PORTS_FLEET_PLATFORM_H_
