#ifndef MANGOPORT_PLACEMENT_PLACEMENT_CONTROLLER_H_
#define MANGOPORT_PLACEMENT_PLACEMENT_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/placement/engine_ledger.h"
#include "mangoport/placement/planner.h"

namespace mangoport {

enum class EngineOrderState { kRunning, kDone, kFailed };

struct EngineOrderReport {
  LogPosition order;
  EngineOrderState state = EngineOrderState::kRunning;
};

/// An engine's report of what it holds.
struct PlacementReport {
  ServerId engine;
  /// When the engine looked, on this host's clock: received less its age.
  MonoTime measured_at;
  std::vector<PlacedItem> items;
  std::vector<EngineOrderReport> orders;
  std::uint64_t highest_epoch = 0;
};

/// How an engine answered an order that was sent.
enum class OrderAnswer {
  kAccepted,
  /// It says that it will not carry the order out.
  kRefused,
  /// No answer: it may have accepted the order, or may still.
  kUnknown,
};

struct PlacementConfig {
  LeaseConfig lease;
  PlannerConfig planner;
  /// This zone's engines, as the configuration has them now.
  std::vector<EngineSpec> engines;
  /// This zone's share of the weight store's rate, and the most it saves up.
  double loads_per_second = 1;
  double load_burst = 2;
  /// This zone's share of the adapter loads that may be in flight.
  std::size_t adapters_in_flight = 20;
  /// An order is sent no later than this after its record was.
  Duration send_window = std::chrono::seconds(3);
  /// After this time from its record an order reaches no engine any more:
  /// the window, the longest time in the network, a holder's pause between
  /// its last check and the send, and clock drift.
  Duration order_lifetime = std::chrono::seconds(10);
  /// Engines without a report younger than this get no new orders.
  Duration report_freshness = std::chrono::seconds(5);
  /// After this time without a report an engine's copies are given up.
  Duration engine_given_up = std::chrono::seconds(20);
  Duration plan_interval = std::chrono::seconds(1);
  /// How long a record that was not read back is waited for.
  Duration append_timeout = std::chrono::seconds(2);
  /// How often an unanswered order is sent again.
  Duration resend_interval = std::chrono::seconds(1);
};

/// A record to append to the zone's placement stream.
struct PlacementAppend {
  wire::RecordKind kind = wire::RECORD_KIND_UNSPECIFIED;
  std::string body;
};

/// An order to send to an engine now.
struct PlacementSend {
  RecordedOrder order;
  std::uint64_t fencing_number = 0;
};

struct PlacementActions {
  std::vector<PlacementAppend> appends;
  std::vector<PlacementSend> sends;
  /// Why each planned order is given, for the audit trail.
  std::vector<PlannedOrder> planned;
};

/// One entry host's part in placing its zone's models: contends for the
/// zone's placement lease, and as its holder keeps the record of what the
/// engines hold, plans and gives orders. All hosts of the zone run one; those
/// without the lease only read.
class PlacementController {
 public:
  PlacementController(PlacementConfig config, WriterId self);

  /// Takes in a record of the stream; `read_at` is the time before the read.
  void OnRecord(MonoTime read_at,
                const LogPosition& position,
                const wire::Envelope& record);

  /// Call it after each read that reached the stream's end, also if it
  /// brought nothing.
  void OnReadToEnd(MonoTime read_at);

  /// Takes in a report; older ones than the last are ignored.
  void OnReport(PlacementReport report);

  /// Takes in the answer to an order that was sent. An order that the engine
  /// has answered is not sent again; what became of it only reports tell.
  void OnAnswer(const LogPosition& order, OrderAnswer answer);

  /// What to do at `now`. Orders among the sends must go out at once.
  PlacementActions Step(MonoTime now, const std::vector<ModelDemand>& models);

  /// True if an order may still be sent: ask at the time of the effect.
  bool MaySend(MonoTime now, const RecordedOrder& order) const;

  /// Gives up the lease; the record to append, if there is one.
  std::optional<PlacementAppend> Release();

  void SetConfig(PlacementConfig config) { config_ = std::move(config); }

  const EngineLedger& ledger() const { return ledger_; }
  std::optional<LogPosition> HeldEpoch(MonoTime now) const {
    return lease_.HeldEpoch(now);
  }

 private:
  /// What the holder knows of an order of its own.
  struct OwnOrder {
    MonoTime recorded_at;
    std::optional<MonoTime> last_sent;
    std::uint32_t times_sent = 0;
    bool answered = false;
  };

  void RecordSpecs(MonoTime now, PlacementActions& out);
  void RecordOutcomes(MonoTime now, PlacementActions& out);
  void RecordOutcome(MonoTime now,
                     const PlacementReport& report,
                     const RecordedOrder& order,
                     PlacementActions& out);
  void RecordCheckpoint(MonoTime now,
                        const PlacementReport& report,
                        PlacementActions& out);
  LogPosition SettledBy(const PlacementReport& report,
                        const EngineAccount& account) const;
  bool Differs(const PlacementReport& report,
               const EngineAccount& account) const;
  void SendOrders(MonoTime now, PlacementActions& out);
  void PlanOrders(MonoTime now,
                  const std::vector<ModelDemand>& models,
                  PlacementActions& out);
  std::map<ServerId, const std::vector<PlacedItem>*> FreshReports(
      MonoTime now) const;
  std::set<ServerId> PresumedEngines(MonoTime now) const;
  std::size_t AdapterLoadsInFlight() const;
  void FillLoadBudget(MonoTime now);
  /// Forgets what can no longer matter.
  void Prune(MonoTime now);
  /// Appends once, and again only when `append_timeout` has passed.
  void AppendOnce(MonoTime now,
                  const std::string& key,
                  PlacementAppend append,
                  PlacementActions& out);

  PlacementConfig config_;
  WriterId self_;
  LeaseContender lease_;
  EngineLedger ledger_;
  LogPosition epoch_;
  MonoTime holder_since_;
  std::map<ServerId, PlacementReport> reports_;
  std::map<std::uint64_t, OwnOrder> own_orders_;
  std::map<LogPosition, std::uint64_t> nonces_;
  std::map<std::string, MonoTime> appended_at_;
  std::map<ModelId, MonoTime> last_moves_;
  std::uint64_t next_nonce_ = 1;
  double load_budget_ = 0;
  std::optional<MonoTime> budget_filled_at_;
  std::optional<MonoTime> planned_at_;
};

}  // namespace mangoport

#endif  // MANGOPORT_PLACEMENT_PLACEMENT_CONTROLLER_H_
