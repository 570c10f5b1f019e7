#ifndef MANGOPORT_EDGE_ORDER_SERVICE_H_
#define MANGOPORT_EDGE_ORDER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/edge/demand_table.h"
#include "mangoport/fleet/fleet_config.h"
#include "mangoport/forward/backend_table.h"
#include "mangoport/forward/forward_metrics.h"
#include "mangoport/forward/timer_queue.h"
#include "mangoport/membership/order_lease.h"
#include "mangoport/placement/copy_planner.h"
#include "mangoport/placement/engine_order_tracker.h"
#include "mangoport/ports/fleet_platform.h"
#include "mangoport/telemetry/decision_log.h"

namespace mangoport {

/// Competes for the order lease and, while this host holds it, orders engines
/// to load and unload models and adapters according to demand.
class OrderService {
 public:
  struct Parts {
    FleetPlatform& platform;
    TimerQueue& timers;
    ForwardMetrics& metrics;
    DecisionLog& log;
  };

  OrderService(Parts parts,
               const HostId& self,
               std::uint64_t incarnation,
               const OrderLeaseSettings& lease,
               Duration claim_delay);

  OrderService(const OrderService&) = delete;
  OrderService& operator=(const OrderService&) = delete;

  void Start();

  void SetConfig(FleetConfigPtr config) { config_ = std::move(config); }
  void SetServers(const std::map<ServerId, ServerEntry>& servers);

  /// Returns the demand of this host's callers; called for each plan.
  void set_own_uses(std::function<std::vector<ModelUse>()> hook) {
    own_uses_ = std::move(hook);
  }
  /// Called when this host wins or loses the lease.
  void set_on_role(std::function<void(bool holds)> hook) {
    on_role_ = std::move(hook);
  }
  /// Called when the copies that engines hold have changed.
  void set_on_changes(std::function<void()> hook) {
    on_changes_ = std::move(hook);
  }

  /// Processes a peer's demand. Plans at once if requests wait for a copy. A
  /// peer that takes another host for the holder reports no uses.
  void OnPeerDemand(MonoTime now,
                    const HostId& host,
                    std::uint64_t incarnation,
                    const std::vector<ModelUse>& uses);
  /// The store is of `timeline`, and was already at `known_since`.
  void OnStoreTimeline(StoreTimeline timeline, BootTime known_since);
  void OnHolderUpdate(const HostId& host, std::uint64_t term);
  void OnHolderResigned(const HostId& host,
                        std::uint64_t term,
                        Duration last_order_age);

  /// Plans as soon as `NextPlanAt` allows.
  void PlanSoon();

  /// Sets the time without an update from the holder after which this host
  /// reads the lease from the store.
  void SetSuspicionTimeout(Duration time) {
    lease_.set_suspicion_timeout(time);
  }

  /// Sets the time in which each peer reports its demand once.
  void SetUpdateRound(Duration round) { demand_.set_round(round); }

  /// Returns the term of the lease that this host holds, or zero.
  std::uint64_t held_term() const;
  std::uint64_t resigned_term() const { return lease_.resigned_term(); }
  /// Returns a lower bound on the time since the last order of any holder has
  /// arrived; negative while one may be under way.
  Duration last_order_age() const;
  std::vector<EngineOrderTracker::ResidencyUpdate> Changes(MonoTime now) const {
    return tracker_.RecentChanges(now);
  }

  /// Releases the lease; calls `done` once that is written or has failed.
  void Release(std::function<void()> done);

 private:
  void Tick(MonoTime now);
  void StepLease();
  void PerformLeaseStep(const OrderLeaseStep& step);
  /// Logs a write that begins a new term.
  void LogClaim(const OrderLeaseStep& step);
  void Plan(MonoTime now);
  void PlanService(MonoTime now, const ServiceSpec& service);
  void LogDemand(const EngineCapacity& capacity,
                 const std::vector<PlannedEngine>& engines,
                 const std::map<ModelId, CopyDemand>& demand);
  void SendOrder(MonoTime now, EngineOrder order);
  void RequestReport(const ServerId& engine);
  void UpdateRole();
  /// Calls `on_changes_` if the tracker has recorded any since the last call.
  void NotifyChanges();

  Parts parts_;
  HostId self_;
  std::uint64_t incarnation_;
  OrderLease lease_;
  EngineOrderTracker tracker_;
  std::map<ServiceId, CopyPlanner> planners_;
  DemandTable demand_;
  FleetConfigPtr config_;
  std::map<ServerId, ServerEntry> servers_;
  std::function<std::vector<ModelUse>()> own_uses_;
  std::function<void()> on_changes_;
  std::function<void(bool holds)> on_role_;
  MonoTime planned_at_;
  /// Time that the last plan took.
  Duration plan_time_{};
  MonoTime demand_logged_at_;
  std::uint64_t notified_changes_ = 0;
  bool held_before_ = false;
  bool plan_soon_ = false;
  bool stopped_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_EDGE_ORDER_SERVICE_H_
