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

/// The lease on a placement stream whose holder gives orders to the engines.
inline constexpr char kPlacementLease[] = "placement";

/// A model version, or an adapter of a model, in an engine's memory.
struct PlacedItem {
  ModelId model;
  std::string version;
  /// Empty for the model itself.
  AdapterId adapter;
  std::uint64_t size_mb = 0;

  bool is_adapter() const { return !adapter.empty(); }

  /// True for the same item; its size plays no part.
  bool SameAs(const PlacedItem& other) const {
    return model == other.model && version == other.version &&
           adapter == other.adapter;
  }
};

/// What an engine can hold. It is itself recorded, so that every reader of
/// the stream judges an order by the same figures.
struct EngineSpec {
  ServerId engine;
  std::uint64_t memory_mb = 0;
  /// Part of the memory kept for adapters and imported KV cache.
  std::uint64_t reserve_mb = 0;
  bool honours_fencing = false;
  /// What it holds after each start.
  std::vector<PlacedItem> preloaded;
};

enum class OrderPhase {
  /// May still reach the engine, or is being carried out.
  kInFlight,
  /// Can only reach the engine after the engine has restarted.
  kFenced,
  kDone,
  kFailed,
};

/// An order that may still have an effect.
struct RecordedOrder {
  /// Names the order.
  LogPosition position;
  LogPosition epoch;
  ServerId engine;
  PlacementOrderKind kind = PlacementOrderKind::kLoadModel;
  PlacedItem item;
  std::uint64_t nonce = 0;
  bool covered_elsewhere = false;
  OrderPhase phase = OrderPhase::kInFlight;
  /// When this host read it. Local, and no part of what the log decides.
  MonoTime observed_at;
};

/// The text by which engines know an order.
std::string OrderName(const LogPosition& position);

/// One engine as its records tell.
struct EngineAccount {
  EngineSpec spec;
  /// Confirmed, and not confirmed as unloaded.
  std::vector<PlacedItem> held;
  /// Orders that may still have an effect, oldest first.
  std::vector<RecordedOrder> orders;
  /// The engine's latest accepted record.
  LogPosition last_change;
  /// When this host read the latest outcome, checkpoint or specification.
  MonoTime observed_at;

  bool Holds(const PlacedItem& item) const;
  /// True if an order about `item` may still have an effect.
  bool HasOrderFor(const PlacedItem& item) const;
};

/// Memory of an engine in the worst case, by what it is used for.
struct WorstCase {
  std::uint64_t models_mb = 0;
  std::uint64_t reserve_mb = 0;
};

/// The state of one availability zone's engines: a pure fold of the records on
/// its placement stream.
///
/// An order that would overcommit an engine or drop the last copy of a model is
/// void, whoever wrote it, and its holder sends only what it reads back as
/// accepted. Two histories are bounded at once: the engine ran on, and holds
/// what was confirmed and what may be in flight; or it restarted unseen, and
/// holds what it preloads and what may still arrive.
class EngineLedger {
 public:
  /// Folds a record. `now` is the local time before the read that brought it.
  void Apply(MonoTime now,
             const LogPosition& position,
             const wire::Envelope& record);

  /// Why an order would be void if it were recorded next, or empty.
  std::string WhyRefused(const RecordedOrder& order) const;

  const std::map<ServerId, EngineAccount>& engines() const { return engines_; }
  const EngineAccount* Find(const ServerId& engine) const;
  const LeaseFold& leases() const { return leases_; }

  static WorstCase WorstCaseOf(const EngineAccount& account);

  /// Copies of the model that are confirmed and that no order may drop, apart
  /// from the given version on the given engine.
  std::size_t SecureCopies(const ModelId& model,
                           const ServerId& except_engine,
                           const std::string& except_version) const;

  std::uint64_t void_records() const { return void_records_; }

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
  std::string WhyLoadRefused(const EngineAccount& account,
                             const RecordedOrder& order) const;
  std::string WhyUnloadRefused(const EngineAccount& account,
                               const RecordedOrder& order) const;
  void CheckEpoch(const LogPosition& epoch) const;
  void CheckAccepted(const EngineAccount& account,
                     const RecordedOrder& order) const;

  LeaseFold leases_;
  std::map<ServerId, EngineAccount> engines_;
  std::uint64_t void_records_ = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_PLACEMENT_ENGINE_LEDGER_H_
