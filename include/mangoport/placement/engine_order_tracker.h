#ifndef MANGOPORT_PLACEMENT_ENGINE_ORDER_TRACKER_H_
#define MANGOPORT_PLACEMENT_ENGINE_ORDER_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/fleet/engine_calls.h"
#include "mangoport/fleet/server_directory.h"
#include "mangoport/placement/copy_planner.h"

namespace mangoport {

/// Tracks the state of orders to engines on the host that sends them: orders in
/// progress, and their changes that the engines' entries do not show yet.
///
/// Each order carries the number of orders that the engine must have accepted
/// before. An engine therefore executes at most one of all orders sent with the
/// same number, even if one arrives seconds late. An unanswered order is resent
/// unchanged until the engine's number has increased.
class EngineOrderTracker {
 public:
  /// Updates the engines from their current directory entries.
  void SetServers(MonoTime now, const std::map<ServerId, ServerEntry>& servers);

  /// Returns the engines of `service` as input for the planner.
  std::vector<PlannedEngine> Engines(MonoTime now,
                                     const ServiceId& service) const;

  /// Starts a planned order. It is due at once, or for a load as soon as a
  /// fresh report confirms the state that the planner used: a load ordered by
  /// another host may have completed without appearing in the entry yet, or the
  /// entry may be an older copy. `load_time` is the expected duration of the
  /// order.
  void Begin(MonoTime now, const CopyOrder& order, Duration load_time);

  /// Returns the orders to send now, including unanswered ones to resend.
  std::vector<EngineOrder> DueOrders(MonoTime now);

  void OnAnswer(MonoTime now,
                const ServerId& engine,
                const CallReply<EngineOrderAnswer>& reply);
  void OnReport(MonoTime now,
                const ServerId& engine,
                const CallReply<EngineReport>& reply);

  /// Returns the engines to request a report from now. An engine is returned
  /// again only after its report has arrived or has timed out.
  std::vector<ServerId> DueReports(MonoTime now);

  /// A change that the engine's entry may not show yet.
  struct ResidencyUpdate {
    ServerId engine;
    /// A model, or an adapter as "model/adapter".
    ModelId item;
    /// The engine's order count once it has accepted the order.
    std::uint64_t orders_accepted = 0;
    /// True if the item is unloaded, false if it is loaded.
    bool gone = false;
  };
  /// Returns the changes of the last few seconds, to report to other hosts.
  std::vector<ResidencyUpdate> RecentChanges(MonoTime now) const;

  /// Returns the number of changes recorded so far.
  std::uint64_t change_count() const { return change_count_; }

  /// Discards all orders in progress, when another host takes over sending.
  void Clear();

 private:
  enum class Phase {
    /// No order.
    kNone,
    /// A fresh report must confirm the engine's state before the order is sent.
    kChecking,
    /// To be sent.
    kReady,
    /// Sent; the call has not returned.
    kSent,
    /// The call returned no answer; the engine may have accepted the order.
    kUnanswered,
    /// Accepted by the engine and not known to be complete.
    kAccepted,
    /// Refused or rejected; a report must show an idle engine before the next
    /// order.
    kOutdated
  };

  struct Engine {
    /// The directory entry, with the models as known from orders and reports.
    ServerEntry entry;
    /// Orders accepted since the engine started; unset until a report arrives.
    std::optional<std::uint64_t> orders_accepted;
    /// When `orders_accepted` last went up.
    MonoTime counted_at;
    MonoTime changed_at;
    /// Time of the latest report, and whether it showed a busy engine although
    /// no accepted order is tracked here.
    MonoTime reported_at;
    bool executes_untracked_order = false;
    Phase phase = Phase::kNone;
    EngineOrder order;
    Duration load_time{};
    MonoTime sent_at;
    /// When the next report is due; while one is pending, when it was
    /// requested.
    MonoTime next_report_at;
    /// When the earliest request without a report so far was made.
    MonoTime report_asked_at;
    MonoTime deadline;
    bool report_pending = false;
  };
  struct Change {
    ResidencyUpdate residency;
    MonoTime at;
  };

  void FinishCheck(const Engine& before, Engine& engine);
  void CompleteOrder(MonoTime now, Engine& engine);
  void RecordChange(MonoTime now, const Engine& engine, bool gone);
  static bool ReflectsOrder(const std::vector<ResidentModel>& models,
                            const EngineOrder& order);

  std::map<ServerId, Engine> engines_;
  std::vector<Change> changes_;
  std::uint64_t change_count_ = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_PLACEMENT_ENGINE_ORDER_TRACKER_H_
