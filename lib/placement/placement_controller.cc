#include "mangoport/placement/placement_controller.h"

#include <algorithm>
#include <utility>

#include "mangoport/core/invariant.h"
#include "mangoport/core/mutant.h"
#include "mangoport/placement/placement_records.h"

namespace mangoport {
namespace {

bool Contains(const std::vector<PlacedItem>& items, const PlacedItem& item) {
  return std::any_of(items.begin(), items.end(),
                     [&](const PlacedItem& it) { return it.SameAs(item); });
}

const EngineOrderReport* FindOrder(const PlacementReport& report,
                                   const LogPosition& order) {
  for (const EngineOrderReport& it : report.orders) {
    if (it.order == order)
      return &it;
  }
  return nullptr;
}

bool SameSpec(const EngineSpec& a, const EngineSpec& b) {
  return a.memory_mb == b.memory_mb && a.reserve_mb == b.reserve_mb &&
         a.honours_fencing == b.honours_fencing &&
         a.preloaded.size() == b.preloaded.size() &&
         std::all_of(
             a.preloaded.begin(), a.preloaded.end(),
             [&b](const PlacedItem& it) { return Contains(b.preloaded, it); });
}

/// Returns the outcome that a report shows for an order in flight, or
/// UNSPECIFIED.
wire::PlacementOutcomeKind OutcomeOf(const PlacementReport& report,
                                     const RecordedOrder& order,
                                     bool honours_fencing) {
  const EngineOrderReport* reported = FindOrder(report, order.position);
  if (reported == nullptr) {
    const bool fenced =
        honours_fencing && report.highest_epoch > FencingNumber(order.epoch);
    return fenced ? wire::PLACEMENT_OUTCOME_KIND_FENCED
                  : wire::PLACEMENT_OUTCOME_KIND_UNSPECIFIED;
  }
  if (reported->state == EngineOrderState::kFailed)
    return wire::PLACEMENT_OUTCOME_KIND_FAILED;
  const bool done = reported->state == EngineOrderState::kDone ||
                    MutantEnabled("order_answer_taken_for_done");
  return done ? wire::PLACEMENT_OUTCOME_KIND_DONE
              : wire::PLACEMENT_OUTCOME_KIND_UNSPECIFIED;
}

}  // namespace

PlacementController::PlacementController(PlacementConfig config, WriterId self)
    : config_(std::move(config)),
      self_(self),
      lease_(config_.lease, std::move(self)) {}

void PlacementController::OnRecord(MonoTime read_at,
                                   const LogPosition& position,
                                   const wire::Envelope& record) {
  ledger_.Apply(read_at, position, record);
  if (record.kind() != wire::RECORD_KIND_ENGINE_ORDER)
    return;
  wire::PlacementOrder body;
  if (!body.ParseFromString(record.body()))
    return;
  model_changed_at_[ModelId(body.item().model())] = read_at;
  if (record.writer() == self_.value())
    nonces_[position] = body.nonce();
}

void PlacementController::OnReadToEnd(MonoTime read_at) {
  lease_.Observe(read_at, ledger_.leases());
}

void PlacementController::OnReport(PlacementReport report) {
  const auto it = reports_.find(report.engine);
  if (it != reports_.end() && report.measured_at <= it->second.measured_at)
    return;
  const ServerId engine = report.engine;
  reports_[engine] = std::move(report);
}

void PlacementController::OnAnswer(const LogPosition& order,
                                   OrderAnswer answer) {
  const auto nonce = nonces_.find(order);
  if (nonce != nonces_.end() && answer != OrderAnswer::kUnknown)
    own_orders_[nonce->second].answered = true;
}

std::optional<PlacementAppend> PlacementController::Release() {
  const std::optional<std::string> body = lease_.Release();
  if (!body)
    return std::nullopt;
  return PlacementAppend{wire::RECORD_KIND_LEASE_RELEASE, *body};
}

PlacementActions PlacementController::Step(
    MonoTime now,
    const std::vector<ModelDemand>& models) {
  PlacementActions out;
  if (const std::optional<std::string> claim = lease_.NextClaim(now))
    out.appends.push_back({wire::RECORD_KIND_LEASE_CLAIM, *claim});
  const std::optional<LogPosition> epoch = lease_.HeldEpoch(now);
  if (!epoch)
    return out;
  if (*epoch != epoch_) {
    epoch_ = *epoch;
    holder_since_ = now;
    appended_at_.clear();
    // A new holder starts with an empty budget; otherwise each change of holder
    // would allow another burst.
    load_budget_ =
        MutantEnabled("load_budget_saved_up") ? config_.load_burst : 0;
    budget_refilled_at_ = now;
  }
  Prune(now);
  RefillLoadBudget(now);
  RecordSpecs(now, out);
  RecordOutcomes(now, out);
  SendOrders(now, out);
  PlanOrders(now, models, out);
  return out;
}

void PlacementController::RecordSpecs(MonoTime now, PlacementActions& out) {
  for (const EngineSpec& it : config_.engines) {
    const EngineLedgerEntry* entry = ledger_.Find(it.engine);
    if (entry != nullptr && SameSpec(entry->spec, it))
      continue;
    AppendOnce(now, "spec " + it.engine.value(),
               {wire::RECORD_KIND_ENGINE_SPEC, EncodeSpec(epoch_, it)}, out);
  }
}

void PlacementController::RecordOutcomes(MonoTime now, PlacementActions& out) {
  for (const auto& [engine, report] : reports_) {
    const EngineLedgerEntry* entry = ledger_.Find(engine);
    if (entry == nullptr)
      continue;
    for (const RecordedOrder& it : entry->orders) {
      if (it.phase == OrderPhase::kInFlight)
        RecordOutcome(now, report, it, out);
    }
    RecordCheckpoint(now, report, out);
  }
}

void PlacementController::RecordOutcome(MonoTime now,
                                        const PlacementReport& report,
                                        const RecordedOrder& order,
                                        PlacementActions& out) {
  const bool honours = ledger_.Find(order.engine)->spec.honours_fencing;
  const wire::PlacementOutcomeKind kind = OutcomeOf(report, order, honours);
  if (kind == wire::PLACEMENT_OUTCOME_KIND_UNSPECIFIED)
    return;
  AppendOnce(now, "outcome " + ToString(order.position),
             {wire::RECORD_KIND_ENGINE_OUTCOME,
              EncodeOutcome(epoch_, order.position, kind)},
             out);
}

void PlacementController::RecordCheckpoint(MonoTime now,
                                           const PlacementReport& report,
                                           PlacementActions& out) {
  const EngineLedgerEntry& entry = *ledger_.Find(report.engine);
  // A report older than the latest outcome may not show its effect.
  if (report.measured_at <= entry.observed_at)
    return;
  const LogPosition settled = LastSettledOrder(report, entry);
  const bool settles =
      !entry.orders.empty() && entry.orders.front().position <= settled;
  if (!settles && !ContradictsLedger(report, entry))
    return;
  AppendOnce(now, "checkpoint " + report.engine.value(),
             {wire::RECORD_KIND_ENGINE_CHECKPOINT,
              EncodeCheckpoint({epoch_, report.engine, entry.last_change,
                                settled, report.items})},
             out);
}

/// Returns the last order of the longest prefix of orders whose lifetime ended
/// before the report and of which none is being executed.
LogPosition PlacementController::LastSettledOrder(
    const PlacementReport& report,
    const EngineLedgerEntry& entry) const {
  LogPosition settled;
  for (const RecordedOrder& it : entry.orders) {
    const EngineOrderReport* reported = FindOrder(report, it.position);
    const bool may_arrive =
        report.measured_at < it.observed_at + config_.order_lifetime &&
        !MutantEnabled("order_lifetime_not_waited");
    if (may_arrive ||
        (reported != nullptr && reported->state == EngineOrderState::kRunning))
      break;
    settled = it.position;
  }
  return settled;
}

/// Returns true if the report contradicts the confirmed items, apart from items
/// that orders may still change.
bool PlacementController::ContradictsLedger(
    const PlacementReport& report,
    const EngineLedgerEntry& entry) const {
  const auto unexplained = [&entry](const PlacedItem& it) {
    return !entry.HasOrderFor(it);
  };
  for (const PlacedItem& it : entry.held) {
    if (!Contains(report.items, it) && unexplained(it))
      return true;
  }
  for (const PlacedItem& it : report.items) {
    if (!entry.Holds(it) && unexplained(it))
      return true;
  }
  return false;
}

bool PlacementController::MaySend(MonoTime now,
                                  const RecordedOrder& order) const {
  const std::optional<LogPosition> epoch = lease_.HeldEpoch(now);
  if (!epoch || *epoch != order.epoch)
    return false;
  const auto nonce = nonces_.find(order.position);
  if (nonce == nonces_.end())
    return false;
  const auto own = own_orders_.find(nonce->second);
  return own != own_orders_.end() &&
         now < own->second.recorded_at + config_.send_window;
}

void PlacementController::SendOrders(MonoTime now, PlacementActions& out) {
  for (const auto& [engine, entry] : ledger_.engines()) {
    for (const RecordedOrder& it : entry.orders) {
      if (it.phase != OrderPhase::kInFlight || !MaySend(now, it))
        continue;
      OwnOrder& own = own_orders_.at(nonces_.at(it.position));
      if (own.answered ||
          (own.last_sent && now < *own.last_sent + config_.resend_interval))
        continue;
      own.last_sent = now;
      ++own.times_sent;
      out.sends.push_back({it, FencingNumber(it.epoch)});
    }
  }
}

void PlacementController::PlanOrders(MonoTime now,
                                     const std::vector<ModelDemand>& models,
                                     PlacementActions& out) {
  if (planned_at_ && now < *planned_at_ + config_.plan_interval)
    return;
  planned_at_ = now;
  const std::map<ServerId, const std::vector<PlacedItem>*> reports =
      FreshReports(now);
  const std::set<ServerId> active_engines = ActiveEngines(now);
  const std::size_t adapters = AdapterLoadsInFlight();
  const PlannerInput input{
      .ledger = ledger_,
      .models = models,
      .reports = reports,
      .active_engines = active_engines,
      .model_changed_at = model_changed_at_,
      .loads_allowed = static_cast<std::size_t>(load_budget_),
      .adapter_loads_allowed = config_.adapters_in_flight -
                               std::min(config_.adapters_in_flight, adapters)};
  out.planned = PlanPlacement(now, input, config_.planner);
  for (const PlannedOrder& it : out.planned) {
    RecordedOrder order;
    order.epoch = epoch_;
    order.engine = it.engine;
    order.kind = it.kind;
    order.item = it.item;
    order.covered_elsewhere = it.covered_elsewhere;
    order.nonce = next_nonce_;
    const std::string key = "order " + it.engine.value() + " " +
                            it.item.model.value() + "@" + it.item.version +
                            "/" + it.item.adapter.value();
    const std::size_t before = out.appends.size();
    AppendOnce(now, key, {wire::RECORD_KIND_ENGINE_ORDER, EncodeOrder(order)},
               out);
    if (out.appends.size() == before)
      continue;
    own_orders_[next_nonce_++].recorded_at = now;
    if (it.kind == PlacementOrderKind::kLoadModel)
      load_budget_ -= 1;
  }
}

std::map<ServerId, const std::vector<PlacedItem>*>
PlacementController::FreshReports(MonoTime now) const {
  std::map<ServerId, const std::vector<PlacedItem>*> fresh;
  for (const auto& [engine, report] : reports_) {
    if (now < report.measured_at + config_.report_freshness)
      fresh[engine] = &report.items;
  }
  return fresh;
}

std::set<ServerId> PlacementController::ActiveEngines(MonoTime now) const {
  std::set<ServerId> active_engines;
  for (const auto& [engine, entry] : ledger_.engines()) {
    const auto report = reports_.find(engine);
    const MonoTime last_report_at =
        report == reports_.end()
            ? holder_since_
            : std::max(holder_since_, report->second.measured_at);
    if (now < last_report_at + config_.engine_timeout)
      active_engines.insert(engine);
  }
  return active_engines;
}

std::size_t PlacementController::AdapterLoadsInFlight() const {
  std::size_t n = 0;
  for (const auto& [engine, entry] : ledger_.engines()) {
    n += static_cast<std::size_t>(std::count_if(
        entry.orders.begin(), entry.orders.end(), [](const RecordedOrder& it) {
          return it.kind == PlacementOrderKind::kLoadAdapter &&
                 it.phase == OrderPhase::kInFlight;
        }));
  }
  return n;
}

void PlacementController::RefillLoadBudget(MonoTime now) {
  const std::chrono::duration<double> passed =
      now - budget_refilled_at_.value_or(now);
  budget_refilled_at_ = now;
  load_budget_ =
      std::min(config_.load_burst,
               load_budget_ + passed.count() * config_.loads_per_second);
}

void PlacementController::AppendOnce(MonoTime now,
                                     const std::string& key,
                                     PlacementAppend append,
                                     PlacementActions& out) {
  const auto it = appended_at_.find(key);
  if (it != appended_at_.end() && now < it->second + config_.append_timeout)
    return;
  appended_at_[key] = now;
  out.appends.push_back(std::move(append));
}

void PlacementController::Prune(MonoTime now) {
  std::erase_if(appended_at_, [&](const auto& it) {
    return now >= it.second + config_.append_timeout;
  });
  std::erase_if(own_orders_, [&](const auto& it) {
    return now >= it.second.recorded_at + config_.order_lifetime;
  });
  std::erase_if(nonces_, [this](const auto& it) {
    return !own_orders_.contains(it.second);
  });
}

}  // namespace mangoport
