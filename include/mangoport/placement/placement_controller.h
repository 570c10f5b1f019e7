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

/// An engine's report of its items and orders.
struct PlacementReport {
  ServerId engine;
  /// When the engine took the report, on this host's clock: the time of receipt
  /// less the age of the report.
  MonoTime measured_at;
  std::vector<PlacedItem> items;
  std::vector<EngineOrderReport> orders;
  /// Highest fencing number that the engine has received since its start.
  std::uint64_t highest_epoch = 0;
};

/// An engine's answer to an order.
enum class OrderAnswer {
  kAccepted,
  /// The engine will not execute the order.
  kRefused,
  /// No answer: the engine may have accepted the order or may still do so.
  kUnknown,
};

struct PlacementConfig {
  LeaseConfig lease;
  PlannerConfig planner;
  /// This zone's engines in the current configuration.
  std::vector<EngineSpec> engines;
  /// This zone's share of the weight store's load rate, and the maximum number
  /// of unused loads that accumulate.
  double loads_per_second = 1;
  double load_burst = 2;
  /// This zone's share of the adapter loads that may be in flight.
  std::size_t adapters_in_flight = 20;
  /// An order is sent no later than this after its record was appended.
  Duration send_window = std::chrono::seconds(3);
  /// An order can reach an engine no later than this after its record was
  /// appended. Covers the send window, the longest network delay, a pause of
  /// the holder between its last check and the send, and clock drift.
  Duration order_lifetime = std::chrono::seconds(10);
  /// Engines whose latest report is older than this get no new orders.
  Duration report_freshness = std::chrono::seconds(5);
  /// After this time without a report, an engine's copies no longer count.
  Duration engine_timeout = std::chrono::seconds(20);
  Duration plan_interval = std::chrono::seconds(1);
  /// A record that was not read back within this time is appended again.
  Duration append_timeout = std::chrono::seconds(2);
  /// Interval at which an unanswered order is sent again.
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
  /// The planned orders with their reasons, for the audit trail.
  std::vector<PlannedOrder> planned;
};

/// Controls the placement of models in one availability zone. Every entry host
/// of the zone runs a controller and contends for the zone's placement lease.
/// The lease holder records the state of the engines, plans and sends orders;
/// the other hosts only read.
class PlacementController {
 public:
  PlacementController(PlacementConfig config, WriterId self);

  /// Processes a record of the stream. `read_at` is the time before the read.
  void OnRecord(MonoTime read_at,
                const LogPosition& position,
                const wire::Envelope& record);

  /// Must be called after each read that reached the end of the stream, even if
  /// it returned no records.
  void OnReadToEnd(MonoTime read_at);

  /// Processes a report. A report not newer than the latest one is ignored.
  void OnReport(PlacementReport report);

  /// Processes the answer to an order. An answered order is not sent again;
  /// only reports show its outcome.
  void OnAnswer(const LogPosition& order, OrderAnswer answer);

  /// Returns the actions to take at `now`. Orders must be sent immediately.
  PlacementActions Step(MonoTime now, const std::vector<ModelDemand>& models);

  /// Returns true if an order may still be sent. Call it directly before the
  /// send.
  bool MaySend(MonoTime now, const RecordedOrder& order) const;

  /// Releases the lease. Returns the record to append, if there is one.
  std::optional<PlacementAppend> Release();

  void SetConfig(PlacementConfig config) { config_ = std::move(config); }

  const EngineLedger& ledger() const { return ledger_; }
  std::optional<LogPosition> HeldEpoch(MonoTime now) const {
    return lease_.HeldEpoch(now);
  }

 private:
  /// State of an order that this host recorded.
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
  LogPosition LastSettledOrder(const PlacementReport& report,
                               const EngineLedgerEntry& entry) const;
  bool ContradictsLedger(const PlacementReport& report,
                         const EngineLedgerEntry& entry) const;
  void SendOrders(MonoTime now, PlacementActions& out);
  void PlanOrders(MonoTime now,
                  const std::vector<ModelDemand>& models,
                  PlacementActions& out);
  std::map<ServerId, const std::vector<PlacedItem>*> FreshReports(
      MonoTime now) const;
  std::set<ServerId> ActiveEngines(MonoTime now) const;
  std::size_t AdapterLoadsInFlight() const;
  void RefillLoadBudget(MonoTime now);
  /// Removes expired appends and orders.
  void Prune(MonoTime now);
  /// Appends the record unless one with the same key was appended within
  /// `append_timeout`.
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
  /// Orders that this host recorded, by nonce.
  std::map<std::uint64_t, OwnOrder> own_orders_;
  /// Nonces of this host's orders that were read back, by log position.
  std::map<LogPosition, std::uint64_t> nonces_;
  /// Times of recent appends, by the key given to `AppendOnce`.
  std::map<std::string, MonoTime> appended_at_;
  std::map<ModelId, MonoTime> model_changed_at_;
  std::uint64_t next_nonce_ = 1;
  double load_budget_ = 0;
  std::optional<MonoTime> budget_refilled_at_;
  std::optional<MonoTime> planned_at_;
};

}  // namespace mangoport

#endif  // MANGOPORT_PLACEMENT_PLACEMENT_CONTROLLER_H_
