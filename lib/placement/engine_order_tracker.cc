#include "mangoport/placement/engine_order_tracker.h"

#include <algorithm>
#include <string>
#include <utility>

namespace mangoport {
namespace {

/// Longest delay until an engine's entry shows the change made by an order.
constexpr Duration kMaxEntryLag = std::chrono::seconds(4);

/// How long a change is reported to other hosts.
constexpr Duration kChangeReportTime = std::chrono::milliseconds(3000);

/// A report younger than this counts as the engine's current state.
constexpr Duration kReportFreshness = std::chrono::milliseconds(600);

/// Interval between reports of one engine.
constexpr Duration kReportInterval = std::chrono::milliseconds(400);

/// Time after which an unanswered report request or order is sent again.
constexpr Duration kReportTimeout = std::chrono::milliseconds(1200);

/// An order that shows no effect within its load time plus this timeout is
/// abandoned.
constexpr Duration kEffectTimeout = std::chrono::seconds(8);

/// Longest time from sending an order to its execution.
constexpr Duration kMaxOrderDelay = std::chrono::seconds(13);

ModelId ItemOf(const EngineOrder& order) {
  if (order.adapter.empty())
    return order.model;
  return ModelId(order.model.value() + "/" + order.adapter.value());
}

bool IsAdapterOrder(const EngineOrder& order) {
  return !order.adapter.empty();
}

/// The models and adapters that `models` names, in order.
std::vector<std::string> ItemsOf(const std::vector<ResidentModel>& models) {
  std::vector<std::string> out;
  for (const ResidentModel& it : models) {
    out.push_back(it.model.value());
    for (const AdapterId& adapter : it.adapters)
      out.push_back(it.model.value() + "/" + adapter.value());
  }
  std::sort(out.begin(), out.end());
  return out;
}

bool HoldSameItems(const std::vector<ResidentModel>& a,
                   const std::vector<ResidentModel>& b) {
  return ItemsOf(a) == ItemsOf(b);
}

void Apply(std::vector<ResidentModel>& models, const EngineOrder& order) {
  auto it = std::find_if(
      models.begin(), models.end(),
      [&order](const ResidentModel& m) { return m.model == order.model; });
  if (!IsAdapterOrder(order)) {
    if (IsUnload(order.kind) && it != models.end())
      models.erase(it);
    else if (!IsUnload(order.kind) && it == models.end())
      models.push_back(
          {.model = order.model, .weights_version = 0, .adapters = {}});
    return;
  }
  if (it == models.end())
    return;
  if (IsUnload(order.kind))
    std::erase(it->adapters, order.adapter);
  else
    it->adapters.push_back(order.adapter);
}

}  // namespace

bool EngineOrderTracker::ReflectsOrder(const std::vector<ResidentModel>& models,
                                       const EngineOrder& order) {
  const auto it = std::find_if(
      models.begin(), models.end(),
      [&order](const ResidentModel& m) { return m.model == order.model; });
  bool held = it != models.end();
  if (held && IsAdapterOrder(order))
    held = std::find(it->adapters.begin(), it->adapters.end(), order.adapter) !=
           it->adapters.end();
  return held != IsUnload(order.kind);
}

void EngineOrderTracker::SetServers(
    MonoTime now,
    const std::map<ServerId, ServerEntry>& servers) {
  std::erase_if(engines_, [&servers](const auto& it) {
    return !servers.contains(it.first);
  });
  for (const auto& [id, entry] : servers) {
    const auto [it, added] = engines_.try_emplace(id);
    Engine& engine = it->second;
    const bool restarted = entry.started_at_ms != engine.entry.started_at_ms;
    if (added || restarted) {
      engine = Engine();
      engine.entry = entry;
      continue;
    }
    // The entry may not show a recent change yet; keep the known models.
    std::vector<ResidentModel> models = std::move(engine.entry.models);
    engine.entry = entry;
    if (now - engine.changed_at < kMaxEntryLag)
      engine.entry.models = std::move(models);
  }
}

std::vector<PlannedEngine> EngineOrderTracker::Engines(
    MonoTime /*now*/,
    const ServiceId& service) const {
  std::vector<PlannedEngine> out;
  for (const auto& [id, engine] : engines_) {
    if (engine.entry.service != service)
      continue;
    PlannedEngine view;
    view.entry = engine.entry;
    view.busy = engine.phase != Phase::kNone || !engine.orders_accepted ||
                engine.executes_untracked_order;
    view.state_known = engine.orders_accepted &&
                       !engine.executes_untracked_order &&
                       engine.phase != Phase::kUnanswered;
    if (engine.phase != Phase::kNone && !IsAdapterOrder(engine.order)) {
      view.pending_kind = engine.order.kind;
      view.pending_model = engine.order.model;
    }
    out.push_back(std::move(view));
  }
  return out;
}

void EngineOrderTracker::Begin(MonoTime now,
                               const CopyOrder& order,
                               Duration load_time) {
  Engine& engine = engines_.at(order.engine);
  const bool fresh = now - engine.reported_at < kReportFreshness;
  const bool must_check = !IsUnload(order.kind) && !fresh;
  engine.phase = must_check ? Phase::kChecking : Phase::kReady;
  engine.order = {.engine = order.engine,
                  .kind = order.kind,
                  .model = order.model,
                  .adapter = order.adapter,
                  .expected_orders = *engine.orders_accepted,
                  .holder = {},
                  .fence = 0};
  engine.load_time = load_time;
  engine.next_report_at = now;
  engine.report_pending = false;
}

std::vector<EngineOrder> EngineOrderTracker::DueOrders(MonoTime now) {
  std::vector<EngineOrder> out;
  for (auto& [id, engine] : engines_) {
    const bool resend = engine.phase == Phase::kUnanswered &&
                        now - engine.sent_at >= kReportTimeout;
    if (engine.phase != Phase::kReady && !resend)
      continue;
    engine.sent_at = now;
    out.push_back(engine.order);
    if (resend)
      continue;
    engine.phase = Phase::kSent;
    engine.next_report_at = now + engine.load_time;
    engine.deadline = now + engine.load_time + kEffectTimeout;
    engine.report_pending = false;
    // Stops requests from being sent to a copy that is about to be unloaded.
    if (IsUnload(engine.order.kind))
      RecordChange(now, engine, /*gone=*/true);
  }
  return out;
}

void EngineOrderTracker::FinishCheck(const Engine& before, Engine& engine) {
  const bool unchanged =
      !engine.executes_untracked_order &&
      engine.orders_accepted == engine.order.expected_orders &&
      HoldSameItems(engine.entry.models, before.entry.models);
  engine.phase = unchanged ? Phase::kReady : Phase::kNone;
}

void EngineOrderTracker::RecordChange(MonoTime now,
                                      const Engine& engine,
                                      bool gone) {
  std::erase_if(changes_, [now](const Change& it) {
    return now - it.at > kChangeReportTime;
  });
  ++change_count_;
  changes_.push_back(
      {.residency = {.engine = engine.order.engine,
                     .item = ItemOf(engine.order),
                     .orders_accepted = engine.order.expected_orders + 1,
                     .gone = gone},
       .at = now});
}

void EngineOrderTracker::CompleteOrder(MonoTime now, Engine& engine) {
  Apply(engine.entry.models, engine.order);
  engine.changed_at = now;
  if (!IsUnload(engine.order.kind))
    RecordChange(now, engine, /*gone=*/false);
  engine.phase = Phase::kNone;
}

void EngineOrderTracker::OnAnswer(MonoTime now,
                                  const ServerId& id,
                                  const CallReply<EngineOrderAnswer>& reply) {
  const auto it = engines_.find(id);
  if (it == engines_.end())
    return;
  Engine& engine = it->second;
  if (engine.phase != Phase::kSent && engine.phase != Phase::kUnanswered)
    return;
  if (reply.status == CallStatus::kRefused) {
    engine.phase = Phase::kOutdated;
    engine.next_report_at = now + kReportInterval;
    return;
  }
  if (reply.status != CallStatus::kOk) {
    engine.phase = Phase::kUnanswered;
    engine.next_report_at = now;
    engine.deadline =
        std::max(engine.deadline, engine.sent_at + kMaxOrderDelay);
    return;
  }
  switch (reply.value) {
    case EngineOrderAnswer::kAccepted:
      engine.phase = Phase::kAccepted;
      engine.orders_accepted = engine.order.expected_orders + 1;
      engine.counted_at = now;
      // Adapter orders take a few milliseconds and have no entry of their own,
      // so an accepted one counts as complete.
      if (IsAdapterOrder(engine.order))
        CompleteOrder(now, engine);
      return;
    case EngineOrderAnswer::kAlreadyDone:
      CompleteOrder(now, engine);
      // The engine has unloaded the adapter, and counts that. If it had not
      // held it, it refuses the next order for its count, and a report asked
      // for later corrects the count.
      if (engine.order.kind == PlacementOrderKind::kUnloadAdapter) {
        engine.orders_accepted = engine.order.expected_orders + 1;
        engine.counted_at = now;
        return;
      }
      // Only the next report shows whether the engine counted this order.
      engine.orders_accepted.reset();
      engine.next_report_at = now + kReportInterval / 2;
      return;
    case EngineOrderAnswer::kBusyOrOutdated:
    case EngineOrderAnswer::kRejected:
      engine.phase = Phase::kOutdated;
      engine.next_report_at = now + kReportInterval / 2;
      return;
  }
}

void EngineOrderTracker::OnReport(MonoTime now,
                                  const ServerId& id,
                                  const CallReply<EngineReport>& reply) {
  const auto it = engines_.find(id);
  if (it == engines_.end())
    return;
  Engine& engine = it->second;
  engine.report_pending = false;
  engine.next_report_at = now + kReportInterval;
  const bool timed_out = now > engine.deadline;
  if (reply.status != CallStatus::kOk) {
    if (timed_out)
      engine.phase = Phase::kNone;
    return;
  }
  const EngineReport& report = reply.value;
  const Engine before = engine;
  engine.reported_at = now;
  engine.executes_untracked_order =
      report.busy && engine.phase != Phase::kAccepted;
  const bool restarted = report.started_at_ms != 0 &&
                         engine.entry.started_at_ms != 0 &&
                         report.started_at_ms != engine.entry.started_at_ms;
  if (restarted) {
    engine.entry.started_at_ms = report.started_at_ms;
    engine.orders_accepted.reset();
    engine.phase = Phase::kNone;
  }
  // A report may be several hundred milliseconds old; ignore a lower count,
  // unless the report was asked for long enough after the count went up.
  const bool current =
      engine.report_asked_at - engine.counted_at > kReportFreshness;
  const std::uint64_t known = engine.orders_accepted.value_or(0);
  if (report.orders_accepted >= known || current) {
    if (report.orders_accepted > known)
      engine.counted_at = now;
    engine.orders_accepted = report.orders_accepted;
    engine.entry.models = report.models;
    engine.changed_at = now;
  }
  switch (engine.phase) {
    case Phase::kAccepted:
      if (ReflectsOrder(report.models, engine.order) && !report.busy)
        CompleteOrder(now, engine);
      else if (timed_out && !report.busy)
        engine.phase = Phase::kNone;
      return;
    case Phase::kUnanswered:
      if (report.orders_accepted > engine.order.expected_orders)
        engine.phase = Phase::kAccepted;
      else if (timed_out)
        engine.phase = Phase::kNone;
      return;
    case Phase::kOutdated:
      if (!report.busy)
        engine.phase = Phase::kNone;
      return;
    case Phase::kChecking:
      FinishCheck(before, engine);
      return;
    case Phase::kNone:
    case Phase::kReady:
    case Phase::kSent:
      return;
  }
}

std::vector<ServerId> EngineOrderTracker::DueReports(MonoTime now) {
  std::vector<ServerId> out;
  for (auto& [id, engine] : engines_) {
    const bool needs_report =
        engine.phase == Phase::kUnanswered ||
        engine.phase == Phase::kAccepted || engine.phase == Phase::kOutdated ||
        engine.phase == Phase::kChecking || engine.executes_untracked_order ||
        !engine.orders_accepted;
    if (!needs_report || engine.phase == Phase::kSent)
      continue;
    const MonoTime due = engine.report_pending
                             ? engine.next_report_at + kReportTimeout
                             : engine.next_report_at;
    if (now < due)
      continue;
    // A late answer to the earlier request may still arrive.
    if (!engine.report_pending)
      engine.report_asked_at = now;
    engine.report_pending = true;
    engine.next_report_at = now;
    out.push_back(id);
  }
  return out;
}

std::vector<EngineOrderTracker::ResidencyUpdate>
EngineOrderTracker::RecentChanges(MonoTime now) const {
  std::vector<ResidencyUpdate> out;
  for (const Change& it : changes_) {
    if (now - it.at <= kChangeReportTime)
      out.push_back(it.residency);
  }
  return out;
}

void EngineOrderTracker::Clear() {
  for (auto& [id, engine] : engines_) {
    engine.phase = Phase::kNone;
    engine.orders_accepted.reset();
    engine.executes_untracked_order = false;
    engine.report_pending = false;
  }
  changes_.clear();
}

}  // namespace mangoport
