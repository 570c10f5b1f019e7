#ifndef MANGOPORT_PLACEMENT_ORDER_BOOK_H_
#define MANGOPORT_PLACEMENT_ORDER_BOOK_H_

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

/// What the host that gives orders knows of the engines beyond their entries:
/// orders under way, and what they changed.
///
/// Each order names the count of orders that the engine must have accepted, so
/// of all orders sent with one count an engine carries out one at most, also
/// if one arrives seconds late. An order without an answer is sent again as it
/// was until the count has moved.
class OrderBook {
 public:
  /// Takes the engines' entries as they are now.
  void SetServers(MonoTime now, const std::map<ServerId, ServerEntry>& servers);

  /// The engines of `service` as the planner should see them.
  std::vector<PlannedEngine> Engines(MonoTime now,
                                     const ServiceId& service) const;

  /// Takes a planned order: it is due at once, or once a fresh report shows
  /// that the engine is as the planner saw it. Weights are ordered only on such
  /// a report, since a load that another host ordered may have ended unseen.
  void Begin(MonoTime now, const CopyOrder& order, Duration load_time);

  /// The orders to send now.
  std::vector<EngineOrder> DueOrders(MonoTime now);

  void OnAnswer(MonoTime now,
                const ServerId& engine,
                const CallReply<EngineOrderAnswer>& reply);
  void OnReport(MonoTime now,
                const ServerId& engine,
                const CallReply<EngineReport>& reply);

  /// Engines to ask for a report now; each is given once until it is told.
  std::vector<ServerId> DueReports(MonoTime now);

  /// Changes that the engines' entries do not show yet.
  struct Residency {
    ServerId engine;
    ModelId item;
    std::uint64_t orders_accepted = 0;
    bool gone = false;
  };
  std::vector<Residency> RecentChanges(MonoTime now) const;

  /// Forgets orders under way; another host gives them from now on.
  void Clear();

 private:
  enum class Phase {
    kNone,
    kChecking,
    kReady,
    kSent,
    kUnanswered,
    kAccepted,
    kOutdated
  };

  struct Engine {
    /// As listed, but with the models that are known here.
    ServerEntry entry;
    /// Orders accepted since its start; none until a report has told.
    std::optional<std::uint64_t> orders_accepted;
    MonoTime changed_at;
    /// The newest report's time, and whether it said that an order is carried
    /// out, whoever gave it.
    MonoTime reported_at;
    bool busy_elsewhere = false;
    Phase phase = Phase::kNone;
    EngineOrder order;
    Duration load_time{};
    MonoTime sent_at;
    /// When a report may show that the order is done.
    MonoTime report_at;
    MonoTime give_up_at;
    bool report_awaited = false;
  };
  struct Change {
    Residency residency;
    MonoTime at;
  };

  void OnCheck(const Engine& before, Engine& engine);
  void Finish(MonoTime now, Engine& engine);
  void NoteChange(MonoTime now, const Engine& engine, bool gone);
  static bool Shows(const std::vector<ResidentModel>& models,
                    const EngineOrder& order);

  std::map<ServerId, Engine> engines_;
  std::vector<Change> changes_;
};

}  // namespace mangoport

#endif  // MANGOPORT_PLACEMENT_ORDER_BOOK_H_
