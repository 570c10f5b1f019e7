#include "mangoport/edge/order_service.h"

#include <algorithm>
#include <utility>

#include "mangoport/edge/plan_pace.h"

namespace mangoport {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(250);

/// Interval at which the holder logs the demand for each model.
constexpr Duration kDemandLogInterval = std::chrono::seconds(3);

MonoTime Now() {
  return std::chrono::steady_clock::now();
}

std::string_view OrderName(PlacementOrderKind kind) {
  switch (kind) {
    case PlacementOrderKind::kLoadModel:
      return "load_model";
    case PlacementOrderKind::kUnloadModel:
      return "unload_model";
    case PlacementOrderKind::kLoadAdapter:
      return "load_adapter";
    case PlacementOrderKind::kUnloadAdapter:
      return "unload_adapter";
    case PlacementOrderKind::kImportKv:
      return "import_kv";
  }
  return "unknown";
}

std::string_view AnswerName(EngineOrderAnswer answer) {
  switch (answer) {
    case EngineOrderAnswer::kAccepted:
      return "accepted";
    case EngineOrderAnswer::kAlreadyDone:
      return "already_done";
    case EngineOrderAnswer::kBusyOrOutdated:
      return "busy_or_outdated";
    case EngineOrderAnswer::kRejected:
      return "rejected";
  }
  return "unknown";
}

/// Returns the time in which the engine carries out the order.
Duration LoadTime(const EngineCapacity& capacity,
                  const CopyOrder& order,
                  const ServerEntry& entry) {
  if (order.kind != PlacementOrderKind::kLoadModel)
    return Duration::zero();
  for (const ModelSpec& it : capacity.models) {
    if (it.model != order.model)
      continue;
    if (order.from_store)
      return it.load_from_store;
    const bool in_memory =
        std::find(entry.models_in_memory.begin(), entry.models_in_memory.end(),
                  order.model) != entry.models_in_memory.end();
    return in_memory ? it.load_from_memory : it.load_from_disk;
  }
  return Duration::zero();
}

}  // namespace

OrderService::OrderService(Parts parts,
                           const HostId& self,
                           std::uint64_t incarnation,
                           const OrderLeaseSettings& lease,
                           Duration claim_delay)
    : parts_(parts),
      self_(self),
      incarnation_(incarnation),
      lease_(self, incarnation, lease, claim_delay) {}

void OrderService::Start() {
  Tick(Now());
}

void OrderService::SetServers(const std::map<ServerId, ServerEntry>& servers) {
  servers_ = servers;
  tracker_.SetServers(Now(), servers);
}

void OrderService::Tick(MonoTime now) {
  if (stopped_)
    return;
  StepLease();
  PlanSoon();
  parts_.timers.Add(now + kTickInterval, [this](MonoTime due) { Tick(due); });
}

void OrderService::StepLease() {
  PerformLeaseStep(lease_.Next(BootClock::now()));
  UpdateRole();
}

void OrderService::UpdateRole() {
  const bool holds = lease_.holds(BootClock::now());
  if (holds == held_before_)
    return;
  held_before_ = holds;
  parts_.metrics.SetOrderHolder(holds);
  parts_.log.Write(LogLine("order_lease")
                       .Add("change", holds ? "won" : "lost")
                       .Add("term", lease_.record() ? lease_.record()->term : 0)
                       .Add("resigned_term", lease_.resigned_term()));
  tracker_.Clear();
  for (auto& [service, planner] : planners_)
    planner.Restart(Now());
  if (on_role_)
    on_role_(holds);
}

void OrderService::LogClaim(const OrderLeaseStep& step) {
  const std::optional<OrderLeaseRecord>& known = lease_.record();
  if (known && known->term == step.record.term)
    return;
  parts_.log.Write(
      LogLine("order_lease_claim")
          .Add("term", step.record.term)
          .Add("earlier_term", known ? known->term : 0)
          .Add("earlier_holder", known ? known->holder.value() : std::string())
          .Add("expected_end", ToString(step.expected_end))
          .Add("settled", step.record.settled));
}

void OrderService::PerformLeaseStep(const OrderLeaseStep& step) {
  switch (step.kind) {
    case OrderLeaseStep::Kind::kNone:
      return;
    case OrderLeaseStep::Kind::kRead:
      parts_.platform.ReadOrderLease(
          [this](const CallReply<OrderLeaseState>& reply) {
            const BootTime now = BootClock::now();
            if (reply.status == CallStatus::kOk)
              lease_.OnRead(now, reply.value.record, reply.value.end);
            else
              lease_.OnReadFailed(now);
          });
      return;
    case OrderLeaseStep::Kind::kWrite:
      LogClaim(step);
      parts_.platform.WriteOrderLease(
          step.record, step.expected_end.offset,
          [this](const CallReply<std::uint64_t>& reply) {
            const BootTime now = BootClock::now();
            const StoreTimeline timeline = reply.timeline.value_or(0);
            if (reply.status == CallStatus::kOk)
              lease_.OnWritten(now,
                               {.timeline = timeline, .offset = reply.value});
            else if (reply.status == CallStatus::kConflict)
              lease_.OnConflict(now, timeline);
            else
              lease_.OnWriteUnknown(now);
            UpdateRole();
          });
      return;
  }
}

void OrderService::OnPeerDemand(MonoTime now,
                                const HostId& host,
                                std::uint64_t incarnation,
                                const std::vector<ModelUse>& uses) {
  if (uses.empty()) {
    demand_.DropOtherStarts(host, incarnation);
    return;
  }
  demand_.Set(now, host, incarnation, uses);
  const bool waits =
      std::any_of(uses.begin(), uses.end(),
                  [](const ModelUse& it) { return it.waiting > 0; });
  if (waits && held_term() != 0)
    PlanSoon();
}

void OrderService::PlanSoon() {
  if (std::exchange(plan_soon_, true))
    return;
  const MonoTime now = Now();
  parts_.timers.Add(std::max(now, NextPlanAt(planned_at_, plan_time_)),
                    [this](MonoTime due) {
                      plan_soon_ = false;
                      if (!stopped_)
                        Plan(due);
                    });
}

void OrderService::OnStoreTimeline(StoreTimeline timeline,
                                   BootTime known_since) {
  const bool is_new = timeline > lease_.timeline();
  lease_.OnTimeline(timeline, known_since);
  // The holder writes its record again at once.
  if (is_new && !stopped_)
    StepLease();
}

void OrderService::OnHolderUpdate(const HostId& host, std::uint64_t term) {
  lease_.OnHolderUpdate(BootClock::now(), host, term);
}

void OrderService::OnHolderResigned(const HostId& host,
                                    std::uint64_t term,
                                    Duration last_order_age) {
  const BootTime now = BootClock::now();
  lease_.OnHolderResigned(now, host, term, now - last_order_age);
}

std::uint64_t OrderService::held_term() const {
  if (!lease_.holds(BootClock::now()))
    return 0;
  return lease_.record()->term;
}

Duration OrderService::last_order_age() const {
  return BootClock::now() - lease_.last_order_bound();
}

void OrderService::Plan(MonoTime now) {
  if (!config_ || !lease_.MayOrder(BootClock::now()))
    return;
  planned_at_ = Now();
  if (own_uses_)
    demand_.Set(now, self_, incarnation_, own_uses_());
  for (const ServiceSpec& it : config_->config().services) {
    if (it.engine)
      PlanService(now, it);
  }
  for (const EngineOrder& it : tracker_.DueOrders(now))
    SendOrder(now, it);
  for (const ServerId& it : tracker_.DueReports(now))
    RequestReport(it);
  plan_time_ = Now() - planned_at_;
}

void OrderService::PlanService(MonoTime now, const ServiceSpec& service) {
  const std::vector<PlannedEngine> engines = tracker_.Engines(now, service.id);
  const std::map<ModelId, CopyDemand>& demand = demand_.Sum(now);
  CopyPlanner& planner = planners_[service.id];
  const std::vector<CopyOrder> orders =
      planner.Plan(now, *service.engine, engines, demand);
  if (now - demand_logged_at_ >= kDemandLogInterval) {
    demand_logged_at_ = now;
    LogDemand(*service.engine, engines, demand);
    for (const ModelId& it : planner.unplaced())
      parts_.log.Write(LogLine("model_unplaced")
                           .Add("model", it.value())
                           .Add("engines", engines.size()));
  }
  for (const CopyOrder& it : orders) {
    const auto entry = servers_.find(it.engine);
    if (entry == servers_.end())
      continue;
    const Duration load_time = LoadTime(*service.engine, it, entry->second);
    tracker_.Begin(now, it, load_time);
    parts_.log.Write(LogLine("order_planned")
                         .Add("engine", it.engine.value())
                         .Add("order", OrderName(it.kind))
                         .Add("model", it.model.value())
                         .Add("adapter", it.adapter.value())
                         .Add("from_store", it.from_store)
                         .Add("reason", it.reason));
  }
}

void OrderService::LogDemand(const EngineCapacity& capacity,
                             const std::vector<PlannedEngine>& engines,
                             const std::map<ModelId, CopyDemand>& demand) {
  for (const ModelSpec& it : capacity.models) {
    const auto asked = demand.find(it.model);
    if (asked == demand.end())
      continue;
    std::size_t copies = 0;
    for (const PlannedEngine& engine : engines) {
      for (const ResidentModel& held : engine.entry.models)
        copies += held.model == it.model && !engine.entry.draining ? 1 : 0;
    }
    // Requests for a model without a copy may be refused at once, so that none
    // runs or waits.
    if (copies > 0 && asked->second.running + asked->second.waiting < 1)
      continue;
    parts_.log.Write(
        LogLine("model_demand")
            .Add("model", it.model.value())
            .Add("copies", copies)
            .Add("running", static_cast<int>(asked->second.running))
            .Add("waiting", static_cast<int>(asked->second.waiting))
            .Add("arrivals_per_s",
                 static_cast<int>(asked->second.arrivals_per_second))
            .Add("work_percent", static_cast<int>(asked->second.work * 100)));
  }
}

void OrderService::SendOrder(MonoTime now, EngineOrder order) {
  const auto entry = servers_.find(order.engine);
  // The process may have been suspended since the plan was made.
  const BootTime boot_now = BootClock::now();
  const std::optional<std::uint64_t> term = lease_.MayOrder(boot_now);
  if (entry == servers_.end() || !term)
    return;
  order.holder = self_;
  order.fence = *term;
  lease_.NoteOrder(boot_now);
  parts_.log.Write(LogLine("order_sent")
                       .Add("engine", order.engine.value())
                       .Add("order", OrderName(order.kind))
                       .Add("model", order.model.value())
                       .Add("adapter", order.adapter.value())
                       .Add("expected_orders", order.expected_orders)
                       .Add("term", order.fence));
  NotifyChanges();
  parts_.platform.SendOrder(
      entry->second.address, order,
      [this, order, sent = now,
       boot_sent = boot_now](const CallReply<EngineOrderAnswer>& reply) {
        const MonoTime answered = Now();
        lease_.NoteOrderEnd(BootClock::now(), boot_sent,
                            reply.status != CallStatus::kUnknown);
        std::string_view answer = reply.error;
        if (reply.status == CallStatus::kOk)
          answer = AnswerName(reply.value);
        parts_.log.Write(LogLine("order_answered")
                             .Add("engine", order.engine.value())
                             .Add("order", OrderName(order.kind))
                             .Add("model", order.model.value())
                             .Add("adapter", order.adapter.value())
                             .Add("status", CallStatusName(reply.status))
                             .Add("answer", answer)
                             .Add("after_ms", answered - sent));
        tracker_.OnAnswer(answered, order.engine, reply);
        NotifyChanges();
        PlanSoon();
      });
}

void OrderService::NotifyChanges() {
  const std::uint64_t count = tracker_.change_count();
  if (std::exchange(notified_changes_, count) != count && on_changes_)
    on_changes_();
}

void OrderService::RequestReport(const ServerId& engine) {
  const auto entry = servers_.find(engine);
  if (entry == servers_.end())
    return;
  parts_.platform.ReadReport(
      entry->second.address, engine,
      [this, engine](const CallReply<EngineReport>& reply) {
        tracker_.OnReport(Now(), engine, reply);
        NotifyChanges();
        PlanSoon();
      });
}

void OrderService::Release(std::function<void()> done) {
  stopped_ = true;
  const std::optional<OrderLeaseStep> step = lease_.Release(BootClock::now());
  if (!step) {
    done();
    return;
  }
  parts_.platform.WriteOrderLease(
      step->record, step->expected_end.offset,
      [done = std::move(done)](const CallReply<std::uint64_t>&) { done(); });
}

}  // namespace mangoport
