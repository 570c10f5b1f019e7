#ifndef MANGOPORT_PLACEMENT_ENGINE_LEDGER_H_
#define MANGOPORT_PLACEMENT_ENGINE_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/log_position.h"
#include "mangoport/core/time.h"
#include "mangoport/fleet/engine_calls.h"
#include "mangoport/ledger/envelope.h"
#include "mangoport/membership/lease.h"

namespace mangoport {

/// The lease on a placement stream whose holder sends orders to the engines.
inline constexpr char kPlacementLease[] = "placement";

/// A model version or an adapter of a model in an engine's memory.
struct PlacedItem {
  ModelId model;
  std::string version;
  /// Empty for the model itself.
  AdapterId adapter;
  std::uint64_t size_mb = 0;

  bool is_adapter() const { return !adapter.empty(); }

  /// Compares everything but the size.
  bool SameAs(const PlacedItem& other) const {
    return model == other.model && version == other.version &&
           adapter == other.adapter;
  }
};

/// Capacity of an engine. It is recorded in the stream, so that all readers
/// validate an order against the same values.
struct EngineSpec {
  ServerId engine;
  std::uint64_t memory_mb = 0;
  /// Part of the memory kept for adapters and imported KV cache.
  std::uint64_t reserve_mb = 0;
  bool honours_fencing = false;
  /// Items that the engine loads at each start.
  std::vector<PlacedItem> preloaded;
};

enum class OrderPhase {
  /// May still reach the engine, or is being executed.
  kInFlight,
  /// The engine has received a newer epoch and rejects the order unless the
  /// engine restarts.
  kFenced,
  kDone,
  kFailed,
};

/// An order that may still have an effect.
struct RecordedOrder {
  /// Position of the order's record, which identifies the order.
  LogPosition position;
  LogPosition epoch;
  ServerId engine;
  PlacementOrderKind kind = PlacementOrderKind::kLoadModel;
  PlacedItem item;
  /// Number by which the holder recognizes its own order when reading it back.
  std::uint64_t nonce = 0;
  /// For an unload: may remove the last copy in this zone, since another zone
  /// must keep the model reachable or the model is no longer configured.
  bool covered_elsewhere = false;
  OrderPhase phase = OrderPhase::kInFlight;
  /// When this host read the record. Local; the folded state does not depend on
  /// it.
  MonoTime observed_at;
};

/// Returns the identifier by which engines know an order.
std::string OrderName(const LogPosition& position);

/// State of one engine, folded from its records.
struct EngineLedgerEntry {
  EngineSpec spec;
  /// Items confirmed as loaded and not confirmed as unloaded.
  std::vector<PlacedItem> held;
  /// Orders that may still have an effect, oldest first.
  std::vector<RecordedOrder> orders;
  /// Position of the engine's latest accepted record.
  LogPosition last_change;
  /// When this host read the latest outcome, checkpoint or specification.
  MonoTime observed_at;

  bool Holds(const PlacedItem& item) const;
  /// Returns true if an order for `item` may still have an effect.
  bool HasOrderFor(const PlacedItem& item) const;
};

/// Memory use of an engine by purpose.
struct MemoryUsage {
  std::uint64_t models_mb = 0;
  std::uint64_t reserve_mb = 0;
};

/// State of the engines of one availability zone: a pure fold of the records in
/// the zone's placement stream.
///
/// The fold rejects any order that would overcommit an engine or unload the
/// last copy of a model, and the lease holder sends only orders that it has
/// read back as accepted. Memory is checked for two cases: without a restart,
/// the engine holds the confirmed items and those in flight; after an
/// unobserved restart, it holds its preloaded items and those whose orders may
/// still arrive.
class EngineLedger {
 public:
  /// Folds a record. `now` is the local time before the read that returned it.
  void Apply(MonoTime now,
             const LogPosition& position,
             const wire::Envelope& record);

  /// Returns why the order would be rejected if it were recorded next, or an
  /// empty string.
  std::string RejectionReason(const RecordedOrder& order) const;

  const std::map<ServerId, EngineLedgerEntry>& engines() const {
    return engines_;
  }
  const EngineLedgerEntry* Find(const ServerId& engine) const;
  const LeaseFold& leases() const { return leases_; }

  /// Returns the larger memory use of both cases, for each purpose.
  static MemoryUsage WorstCaseUsage(const EngineLedgerEntry& entry);

  /// Returns the number of confirmed copies of the model that no recorded order
  /// can still unload, excluding the given version on the given engine.
  std::size_t RetainedCopies(const ModelId& model,
                             const ServerId& except_engine,
                             const std::string& except_version) const;

  /// Number of records that the fold rejected.
  std::uint64_t rejected_records() const { return rejected_records_; }

 private:
  bool ApplySpec(MonoTime now,
                 const LogPosition& position,
                 const wire::Envelope& record);
  bool ApplyOrder(MonoTime now,
                  const LogPosition& position,
                  const wire::Envelope& record);
  bool ApplyOutcome(MonoTime now,
                    const LogPosition& position,
                    const wire::Envelope& record);
  bool ApplyCheckpoint(MonoTime now,
                       const LogPosition& position,
                       const wire::Envelope& record);
  bool IsCurrent(const wire::Envelope& record, const LogPosition& epoch) const;
  std::string LoadRejectionReason(const EngineLedgerEntry& entry,
                                  const RecordedOrder& order) const;
  std::string UnloadRejectionReason(const EngineLedgerEntry& entry,
                                    const RecordedOrder& order) const;
  void CheckEpoch(const LogPosition& epoch) const;
  void CheckAccepted(const EngineLedgerEntry& entry,
                     const RecordedOrder& order) const;

  LeaseFold leases_;
  std::map<ServerId, EngineLedgerEntry> engines_;
  std::uint64_t rejected_records_ = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_PLACEMENT_ENGINE_LEDGER_H_
