#include "mangoport/placement/engine_ledger.h"

#include <algorithm>
#include <utility>

#include "mangoport/core/invariant.h"
#include "mangoport/core/mutant.h"
#include "mangoport/placement/placement_records.h"

namespace mangoport {
namespace {

/// Bounds what one engine's account keeps.
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

/// Imported KV cache takes room only while its order is carried out.
std::uint64_t KvMb(const RecordedOrder& order) {
  return order.kind == PlacementOrderKind::kImportKv ? order.item.size_mb : 0;
}

WorstCase Sum(const std::vector<PlacedItem>& items) {
  WorstCase sum;
  for (const PlacedItem& it : items) {
    std::uint64_t& part = it.is_adapter() ? sum.reserve_mb : sum.models_mb;
    part += it.size_mb;
  }
  return sum;
}

/// The engine ran on: what it holds, and what may be in flight.
WorstCase IfRanOn(const EngineAccount& account) {
  std::vector<PlacedItem> items = account.held;
  std::uint64_t kv_mb = 0;
  for (const RecordedOrder& it : account.orders) {
    if (it.phase != OrderPhase::kInFlight || IsUnload(it.kind) ||
        MutantEnabled("in_flight_not_counted"))
      continue;
    kv_mb += KvMb(it);
    if (it.kind != PlacementOrderKind::kImportKv)
      AddOnce(items, it.item);
  }
  WorstCase sum = Sum(items);
  sum.reserve_mb += kv_mb;
  return sum;
}

/// The engine restarted unseen: what it preloads, and what may still arrive.
/// An order that was carried out before may be carried out again.
WorstCase IfRestarted(const EngineAccount& account) {
  std::vector<PlacedItem> items = account.spec.preloaded;
  std::uint64_t kv_mb = 0;
  for (const RecordedOrder& it : account.orders) {
    if (IsUnload(it.kind))
      continue;
    kv_mb += KvMb(it);
    if (it.kind != PlacementOrderKind::kImportKv)
      AddOnce(items, it.item);
  }
  WorstCase sum = Sum(items);
  sum.reserve_mb += kv_mb;
  return sum;
}

bool Fits(const EngineSpec& spec, const WorstCase& worst) {
  return worst.models_mb + spec.reserve_mb <= spec.memory_mb &&
         worst.reserve_mb <= spec.reserve_mb;
}

void ApplyDone(EngineAccount& account, const RecordedOrder& order) {
  if (order.kind == PlacementOrderKind::kImportKv)
    return;
  if (IsUnload(order.kind))
    RemoveItem(account.held, order.item);
  else
    AddOnce(account.held, order.item);
}

}  // namespace

std::string OrderName(const LogPosition& position) {
  return "order-" + ToString(position);
}

bool EngineAccount::Holds(const PlacedItem& item) const {
  return ContainsItem(held, item);
}

bool EngineAccount::HasOrderFor(const PlacedItem& item) const {
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
    ++void_records_;
}

/// Called for each record that takes effect.
void EngineLedger::CheckEpoch(const LogPosition& epoch) const {
  const Lease* lease = leases_.Find(kPlacementLease);
  CheckInvariant(lease != nullptr && lease->epoch == epoch,
                 "a superseded holder's record is void",
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
  EngineAccount& account = engines_[spec.engine];
  if (is_new)
    account.held = spec.preloaded;
  account.spec = std::move(spec);
  account.last_change = position;
  account.observed_at = now;
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
  if (!order || !WhyRefused(*order).empty())
    return false;
  order->position = position;
  order->observed_at = now;
  EngineAccount& account = engines_.at(order->engine);
  account.orders.push_back(*order);
  account.last_change = position;
  CheckAccepted(account, *order);
  CheckEpoch(order->epoch);
  return true;
}

std::string EngineLedger::WhyRefused(const RecordedOrder& order) const {
  const EngineAccount* account = Find(order.engine);
  if (account == nullptr)
    return "the engine is not known";
  if (account->orders.size() >= kMaxOrdersPerEngine)
    return "too many orders are in flight";
  if (order.kind == PlacementOrderKind::kImportKv)
    return WhyLoadRefused(*account, order);
  const bool in_flight = std::any_of(
      account->orders.begin(), account->orders.end(),
      [&](const RecordedOrder& it) {
        return it.phase == OrderPhase::kInFlight && it.item.SameAs(order.item);
      });
  if (in_flight)
    return "an order for it is in flight";
  return IsUnload(order.kind) ? WhyUnloadRefused(*account, order)
                              : WhyLoadRefused(*account, order);
}

std::string EngineLedger::WhyLoadRefused(const EngineAccount& account,
                                         const RecordedOrder& order) const {
  if (account.Holds(order.item))
    return "the engine holds it";
  EngineAccount after = account;
  after.orders.push_back(order);
  if (!Fits(after.spec, IfRanOn(after)))
    return "no room beside what is held and in flight";
  if (!Fits(after.spec, IfRestarted(after)) &&
      !MutantEnabled("restart_not_counted"))
    return "no room if the engine restarts";
  return {};
}

std::string EngineLedger::WhyUnloadRefused(const EngineAccount& account,
                                           const RecordedOrder& order) const {
  if (!account.Holds(order.item))
    return "the engine does not hold it";
  if (order.item.is_adapter() || order.covered_elsewhere)
    return {};
  if (SecureCopies(order.item.model, order.engine, order.item.version) == 0 &&
      !MutantEnabled("last_copy_dropped"))
    return "it is the last secure copy";
  return {};
}

void EngineLedger::CheckAccepted(const EngineAccount& account,
                                 const RecordedOrder& order) const {
  if (!IsUnload(order.kind)) {
    const WorstCase worst = WorstCaseOf(account);
    CheckInvariant(worst.models_mb + worst.reserve_mb <= account.spec.memory_mb,
                   "accelerator memory is never overcommitted", [&] {
                     return order.engine.value() + ": " +
                            std::to_string(worst.models_mb + worst.reserve_mb) +
                            " of " + std::to_string(account.spec.memory_mb) +
                            " MB";
                   });
    return;
  }
  if (order.item.is_adapter() || order.covered_elsewhere)
    return;
  CheckInvariant(
      SecureCopies(order.item.model, order.engine, order.item.version) > 0,
      "every model stays reachable", [&] {
        return order.item.model.value() + " would leave " +
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
  const LogPosition named = FromWire(body.order());
  for (auto& [id, account] : engines_) {
    const auto order = std::find_if(
        account.orders.begin(), account.orders.end(),
        [&](const RecordedOrder& it) { return it.position == named; });
    if (order == account.orders.end())
      continue;
    if (order->phase != OrderPhase::kInFlight)
      return false;
    if (body.kind() == wire::PLACEMENT_OUTCOME_KIND_DONE) {
      order->phase = OrderPhase::kDone;
      ApplyDone(account, *order);
    } else if (body.kind() == wire::PLACEMENT_OUTCOME_KIND_FAILED) {
      order->phase = OrderPhase::kFailed;
    } else if (body.kind() == wire::PLACEMENT_OUTCOME_KIND_FENCED) {
      order->phase = OrderPhase::kFenced;
    } else {
      return false;
    }
    account.last_change = position;
    account.observed_at = now;
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
  EngineAccount& account = found->second;
  if (FromWire(body.based_on()) != account.last_change)
    return false;
  const LogPosition settled = FromWire(body.settled());
  std::erase_if(account.orders, [&](const RecordedOrder& it) {
    return it.position <= settled;
  });
  std::vector<PlacedItem> held;
  for (const wire::PlacementItem& it : body.items())
    held.push_back(FromWire(it));
  // An engine stops listing what it unloads before the memory is free.
  for (const RecordedOrder& it : account.orders) {
    if (IsUnload(it.kind) && it.phase == OrderPhase::kInFlight &&
        account.Holds(it.item))
      AddOnce(held, it.item);
  }
  account.held = std::move(held);
  account.last_change = position;
  account.observed_at = now;
  CheckEpoch(FromWire(body.epoch()));
  return true;
}

const EngineAccount* EngineLedger::Find(const ServerId& engine) const {
  const auto it = engines_.find(engine);
  return it == engines_.end() ? nullptr : &it->second;
}

WorstCase EngineLedger::WorstCaseOf(const EngineAccount& account) {
  const WorstCase ran_on = IfRanOn(account);
  const WorstCase restarted = IfRestarted(account);
  return {std::max(ran_on.models_mb, restarted.models_mb),
          std::max(ran_on.reserve_mb, restarted.reserve_mb)};
}

std::size_t EngineLedger::SecureCopies(
    const ModelId& model,
    const ServerId& except_engine,
    const std::string& except_version) const {
  std::size_t n = 0;
  for (const auto& [id, account] : engines_) {
    for (const PlacedItem& it : account.held) {
      if (it.model != model || it.is_adapter())
        continue;
      if (id == except_engine && it.version == except_version)
        continue;
      const bool may_go =
          std::any_of(account.orders.begin(), account.orders.end(),
                      [&it](const RecordedOrder& order) {
                        return IsUnload(order.kind) && order.item.SameAs(it);
                      });
      n += may_go ? 0 : 1;
    }
  }
  return n;
}

}  // namespace mangoport
