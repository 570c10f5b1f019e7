#include "mangoport/placement/engine_ledger.h"

#include <algorithm>
#include <utility>

#include "mangoport/core/invariant.h"
#include "mangoport/core/mutant.h"
#include "mangoport/placement/placement_records.h"

namespace mangoport {
namespace {

/// Maximum number of orders in one engine's entry, which bounds its memory.
constexpr std::size_t kMaxOrdersPerEngine = 64;

bool ContainsItem(const std::vector<PlacedItem>& items,
                  const PlacedItem& item) {
  return std::any_of(items.begin(), items.end(),
                     [&](const PlacedItem& it) { return it.SameAs(item); });
}

void AddOnce(std::vector<PlacedItem>& items, const PlacedItem& item) {
  if (!ContainsItem(items, item))
    items.push_back(item);
}

void RemoveItem(std::vector<PlacedItem>& items, const PlacedItem& item) {
  std::erase_if(items, [&](const PlacedItem& it) { return it.SameAs(item); });
}

/// Imported KV cache takes memory only while its order is executed.
std::uint64_t KvMb(const RecordedOrder& order) {
  return order.kind == PlacementOrderKind::kImportKv ? order.item.size_mb : 0;
}

MemoryUsage Sum(const std::vector<PlacedItem>& items) {
  MemoryUsage sum;
  for (const PlacedItem& it : items) {
    std::uint64_t& part = it.is_adapter() ? sum.reserve_mb : sum.models_mb;
    part += it.size_mb;
  }
  return sum;
}

/// Memory use without a restart: confirmed items and those in flight.
MemoryUsage UsageWithoutRestart(const EngineLedgerEntry& entry) {
  std::vector<PlacedItem> items = entry.held;
  std::uint64_t kv_mb = 0;
  for (const RecordedOrder& it : entry.orders) {
    if (it.phase != OrderPhase::kInFlight || IsUnload(it.kind) ||
        MutantEnabled("in_flight_not_counted"))
      continue;
    kv_mb += KvMb(it);
    if (it.kind != PlacementOrderKind::kImportKv)
      AddOnce(items, it.item);
  }
  MemoryUsage sum = Sum(items);
  sum.reserve_mb += kv_mb;
  return sum;
}

/// Memory use after an unobserved restart: preloaded items and those whose
/// orders may still arrive. An order executed before the restart may be
/// executed again.
MemoryUsage UsageAfterRestart(const EngineLedgerEntry& entry) {
  std::vector<PlacedItem> items = entry.spec.preloaded;
  std::uint64_t kv_mb = 0;
  for (const RecordedOrder& it : entry.orders) {
    if (IsUnload(it.kind))
      continue;
    kv_mb += KvMb(it);
    if (it.kind != PlacementOrderKind::kImportKv)
      AddOnce(items, it.item);
  }
  MemoryUsage sum = Sum(items);
  sum.reserve_mb += kv_mb;
  return sum;
}

bool Fits(const EngineSpec& spec, const MemoryUsage& usage) {
  return usage.models_mb + spec.reserve_mb <= spec.memory_mb &&
         usage.reserve_mb <= spec.reserve_mb;
}

void ApplyDone(EngineLedgerEntry& entry, const RecordedOrder& order) {
  if (order.kind == PlacementOrderKind::kImportKv)
    return;
  if (IsUnload(order.kind))
    RemoveItem(entry.held, order.item);
  else
    AddOnce(entry.held, order.item);
}

}  // namespace

std::string OrderName(const LogPosition& position) {
  return "order-" + ToString(position);
}

bool EngineLedgerEntry::Holds(const PlacedItem& item) const {
  return ContainsItem(held, item);
}

bool EngineLedgerEntry::HasOrderFor(const PlacedItem& item) const {
  return std::any_of(
      orders.begin(), orders.end(),
      [&](const RecordedOrder& it) { return it.item.SameAs(item); });
}

void EngineLedger::Apply(MonoTime now,
                         const LogPosition& position,
                         const wire::Envelope& record) {
  bool accepted = true;
  switch (record.kind()) {
    case wire::RECORD_KIND_ENGINE_SPEC:
      accepted = ApplySpec(now, position, record);
      break;
    case wire::RECORD_KIND_ENGINE_ORDER:
      accepted = ApplyOrder(now, position, record);
      break;
    case wire::RECORD_KIND_ENGINE_OUTCOME:
      accepted = ApplyOutcome(now, position, record);
      break;
    case wire::RECORD_KIND_ENGINE_CHECKPOINT:
      accepted = ApplyCheckpoint(now, position, record);
      break;
    default:
      leases_.Apply(position, record);
      break;
  }
  if (!accepted)
    ++rejected_records_;
}

/// Checks that an accepted record carries the epoch of the current lease.
void EngineLedger::CheckEpoch(const LogPosition& epoch) const {
  const Lease* lease = leases_.Find(kPlacementLease);
  CheckInvariant(lease != nullptr && lease->epoch == epoch,
                 "records of a superseded holder are rejected",
                 [&epoch] { return "epoch " + ToString(epoch); });
}

bool EngineLedger::IsCurrent(const wire::Envelope& record,
                             const LogPosition& epoch) const {
  return leases_.IsCurrent(kPlacementLease, WriterId(record.writer()), epoch) ||
         MutantEnabled("superseded_record_accepted");
}

bool EngineLedger::ApplySpec(MonoTime now,
                             const LogPosition& position,
                             const wire::Envelope& record) {
  wire::PlacementEngineSpec body;
  if (!body.ParseFromString(record.body()) ||
      !IsCurrent(record, FromWire(body.epoch())))
    return false;
  EngineSpec spec;
  spec.engine = ServerId(body.engine());
  spec.memory_mb = body.memory_mb();
  spec.reserve_mb = body.reserve_mb();
  spec.honours_fencing = body.honours_fencing();
  for (const wire::PlacementItem& it : body.preloaded())
    spec.preloaded.push_back(FromWire(it));
  const bool is_new = !engines_.contains(spec.engine);
  EngineLedgerEntry& entry = engines_[spec.engine];
  if (is_new)
    entry.held = spec.preloaded;
  entry.spec = std::move(spec);
  entry.last_change = position;
  entry.observed_at = now;
  CheckEpoch(FromWire(body.epoch()));
  return true;
}

bool EngineLedger::ApplyOrder(MonoTime now,
                              const LogPosition& position,
                              const wire::Envelope& record) {
  wire::PlacementOrder body;
  if (!body.ParseFromString(record.body()) ||
      !IsCurrent(record, FromWire(body.epoch())))
    return false;
  std::optional<RecordedOrder> order = FromWire(body);
  if (!order || !RejectionReason(*order).empty())
    return false;
  order->position = position;
  order->observed_at = now;
  EngineLedgerEntry& entry = engines_.at(order->engine);
  entry.orders.push_back(*order);
  entry.last_change = position;
  CheckAccepted(entry, *order);
  CheckEpoch(order->epoch);
  return true;
}

std::string EngineLedger::RejectionReason(const RecordedOrder& order) const {
  const EngineLedgerEntry* entry = Find(order.engine);
  if (entry == nullptr)
    return "unknown engine";
  if (entry->orders.size() >= kMaxOrdersPerEngine)
    return "too many orders are in flight";
  if (order.kind == PlacementOrderKind::kImportKv)
    return LoadRejectionReason(*entry, order);
  const bool in_flight = std::any_of(
      entry->orders.begin(), entry->orders.end(), [&](const RecordedOrder& it) {
        return it.phase == OrderPhase::kInFlight && it.item.SameAs(order.item);
      });
  if (in_flight)
    return "an order for the item is in flight";
  return IsUnload(order.kind) ? UnloadRejectionReason(*entry, order)
                              : LoadRejectionReason(*entry, order);
}

std::string EngineLedger::LoadRejectionReason(
    const EngineLedgerEntry& entry,
    const RecordedOrder& order) const {
  if (entry.Holds(order.item))
    return "the engine already holds the item";
  EngineLedgerEntry after = entry;
  after.orders.push_back(order);
  if (!Fits(after.spec, UsageWithoutRestart(after)))
    return "not enough memory beside held items and orders in flight";
  if (!Fits(after.spec, UsageAfterRestart(after)) &&
      !MutantEnabled("restart_not_counted"))
    return "not enough memory if the engine restarts";
  return {};
}

std::string EngineLedger::UnloadRejectionReason(
    const EngineLedgerEntry& entry,
    const RecordedOrder& order) const {
  if (!entry.Holds(order.item))
    return "the engine does not hold the item";
  if (order.item.is_adapter() || order.covered_elsewhere)
    return {};
  if (RetainedCopies(order.item.model, order.engine, order.item.version) == 0 &&
      !MutantEnabled("last_copy_dropped"))
    return "it is the last confirmed copy";
  return {};
}

void EngineLedger::CheckAccepted(const EngineLedgerEntry& entry,
                                 const RecordedOrder& order) const {
  if (!IsUnload(order.kind)) {
    const MemoryUsage usage = WorstCaseUsage(entry);
    CheckInvariant(usage.models_mb + usage.reserve_mb <= entry.spec.memory_mb,
                   "accelerator memory is never overcommitted", [&] {
                     return order.engine.value() + ": " +
                            std::to_string(usage.models_mb + usage.reserve_mb) +
                            " of " + std::to_string(entry.spec.memory_mb) +
                            " MB";
                   });
    return;
  }
  if (order.item.is_adapter() || order.covered_elsewhere)
    return;
  CheckInvariant(
      RetainedCopies(order.item.model, order.engine, order.item.version) > 0,
      "every model stays reachable", [&] {
        return order.item.model.value() + " would be unloaded from " +
               order.engine.value();
      });
}

bool EngineLedger::ApplyOutcome(MonoTime now,
                                const LogPosition& position,
                                const wire::Envelope& record) {
  wire::PlacementOutcome body;
  if (!body.ParseFromString(record.body()) ||
      !IsCurrent(record, FromWire(body.epoch())))
    return false;
  const LogPosition order_position = FromWire(body.order());
  for (auto& [id, entry] : engines_) {
    const auto order = std::find_if(
        entry.orders.begin(), entry.orders.end(),
        [&](const RecordedOrder& it) { return it.position == order_position; });
    if (order == entry.orders.end())
      continue;
    if (order->phase != OrderPhase::kInFlight)
      return false;
    if (body.kind() == wire::PLACEMENT_OUTCOME_KIND_DONE) {
      order->phase = OrderPhase::kDone;
      ApplyDone(entry, *order);
    } else if (body.kind() == wire::PLACEMENT_OUTCOME_KIND_FAILED) {
      order->phase = OrderPhase::kFailed;
    } else if (body.kind() == wire::PLACEMENT_OUTCOME_KIND_FENCED) {
      order->phase = OrderPhase::kFenced;
    } else {
      return false;
    }
    entry.last_change = position;
    entry.observed_at = now;
    CheckEpoch(FromWire(body.epoch()));
    return true;
  }
  return false;
}

bool EngineLedger::ApplyCheckpoint(MonoTime now,
                                   const LogPosition& position,
                                   const wire::Envelope& record) {
  wire::PlacementCheckpoint body;
  if (!body.ParseFromString(record.body()) ||
      !IsCurrent(record, FromWire(body.epoch())))
    return false;
  const auto found = engines_.find(ServerId(body.engine()));
  if (found == engines_.end())
    return false;
  EngineLedgerEntry& entry = found->second;
  if (FromWire(body.based_on()) != entry.last_change)
    return false;
  const LogPosition settled = FromWire(body.settled());
  std::erase_if(entry.orders, [&](const RecordedOrder& it) {
    return it.position <= settled;
  });
  std::vector<PlacedItem> held;
  for (const wire::PlacementItem& it : body.items())
    held.push_back(FromWire(it));
  // An engine removes an item from its report before the unload has freed the
  // memory, so the item stays counted until the unload completes.
  for (const RecordedOrder& it : entry.orders) {
    if (IsUnload(it.kind) && it.phase == OrderPhase::kInFlight &&
        entry.Holds(it.item))
      AddOnce(held, it.item);
  }
  entry.held = std::move(held);
  entry.last_change = position;
  entry.observed_at = now;
  CheckEpoch(FromWire(body.epoch()));
  return true;
}

const EngineLedgerEntry* EngineLedger::Find(const ServerId& engine) const {
  const auto it = engines_.find(engine);
  return it == engines_.end() ? nullptr : &it->second;
}

MemoryUsage EngineLedger::WorstCaseUsage(const EngineLedgerEntry& entry) {
  const MemoryUsage without_restart = UsageWithoutRestart(entry);
  const MemoryUsage after_restart = UsageAfterRestart(entry);
  return {std::max(without_restart.models_mb, after_restart.models_mb),
          std::max(without_restart.reserve_mb, after_restart.reserve_mb)};
}

std::size_t EngineLedger::RetainedCopies(
    const ModelId& model,
    const ServerId& except_engine,
    const std::string& except_version) const {
  std::size_t n = 0;
  for (const auto& [id, entry] : engines_) {
    for (const PlacedItem& it : entry.held) {
      if (it.model != model || it.is_adapter())
        continue;
      if (id == except_engine && it.version == except_version)
        continue;
      const bool may_unload =
          std::any_of(entry.orders.begin(), entry.orders.end(),
                      [&it](const RecordedOrder& order) {
                        return IsUnload(order.kind) && order.item.SameAs(it);
                      });
      n += may_unload ? 0 : 1;
    }
  }
  return n;
}

}  // namespace mangoport
