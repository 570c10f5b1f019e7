#include "mangoport/placement/order_book.h"

#include <algorithm>
#include <utility>

namespace mangoport {
namespace {

/// By then an engine's own entry shows what an order changed.
constexpr Duration kEntryLag = std::chrono::seconds(4);

/// How long other hosts are told of a change.
constexpr Duration kTellTime = std::chrono::milliseconds(3000);

/// A report younger than this shows an engine as it is.
constexpr Duration kFreshReport = std::chrono::milliseconds(600);

/// Between two reports of one engine.
constexpr Duration kReportInterval = std::chrono::milliseconds(400);

/// An engine whose report is awaited for so long is asked again.
constexpr Duration kReportPatience = std::chrono::milliseconds(1200);

/// An accepted order that shows no effect after its load time and this is
/// given up.
constexpr Duration kEffectPatience = std::chrono::seconds(8);

/// An order may be carried out this long after it was sent.
constexpr Duration kLateOrder = std::chrono::seconds(13);

ModelId ItemOf(const EngineOrder& order) {
  if (order.adapter.empty())
    return order.model;
  return ModelId(order.model.value() + "/" + order.adapter.value());
}

bool IsAdapterOrder(const EngineOrder& order) {
  return !order.adapter.empty();
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

bool OrderBook::Shows(const std::vector<ResidentModel>& models,
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

void OrderBook::SetServers(MonoTime now,
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
    // What an order changed a moment ago is known better here.
    std::vector<ResidentModel> models = std::move(engine.entry.models);
    engine.entry = entry;
    if (now - engine.changed_at < kEntryLag)
      engine.entry.models = std::move(models);
  }
}

std::vector<PlannedEngine> OrderBook::Engines(MonoTime /*now*/,
                                              const ServiceId& service) const {
  std::vector<PlannedEngine> out;
  for (const auto& [id, engine] : engines_) {
    if (engine.entry.service != service)
      continue;
    PlannedEngine view;
    view.entry = engine.entry;
    view.busy = engine.phase != Phase::kNone || !engine.orders_accepted ||
                engine.busy_elsewhere;
    view.certain = engine.orders_accepted && !engine.busy_elsewhere &&
                   engine.phase != Phase::kUnanswered;
    if (engine.phase != Phase::kNone && !IsAdapterOrder(engine.order)) {
      view.pending_kind = engine.order.kind;
      view.pending_model = engine.order.model;
    }
    out.push_back(std::move(view));
  }
  return out;
}

void OrderBook::Begin(MonoTime now,
                      const CopyOrder& order,
                      Duration load_time) {
  Engine& engine = engines_.at(order.engine);
  const bool fresh = now - engine.reported_at < kFreshReport;
  const bool must_check =
      order.kind == PlacementOrderKind::kLoadModel && !fresh;
  engine.phase = must_check ? Phase::kChecking : Phase::kReady;
  engine.order = {.engine = order.engine,
                  .kind = order.kind,
                  .model = order.model,
                  .adapter = order.adapter,
                  .expected_orders = *engine.orders_accepted,
                  .holder = {},
                  .fence = 0};
  engine.load_time = load_time;
  engine.report_at = now;
  engine.report_awaited = false;
}

std::vector<EngineOrder> OrderBook::DueOrders(MonoTime now) {
  std::vector<EngineOrder> out;
  for (auto& [id, engine] : engines_) {
    const bool repeat = engine.phase == Phase::kUnanswered &&
                        now - engine.sent_at >= kReportPatience;
    if (engine.phase != Phase::kReady && !repeat)
      continue;
    engine.sent_at = now;
    out.push_back(engine.order);
    if (repeat)
      continue;
    engine.phase = Phase::kSent;
    engine.report_at = now + engine.load_time;
    engine.give_up_at = now + engine.load_time + kEffectPatience;
    engine.report_awaited = false;
    // Requests should not be sent to a copy that is about to go.
    if (IsUnload(engine.order.kind))
      NoteChange(now, engine, /*gone=*/true);
  }
  return out;
}

void OrderBook::OnCheck(const Engine& before, Engine& engine) {
  const bool as_planned =
      !engine.busy_elsewhere &&
      engine.orders_accepted == engine.order.expected_orders &&
      engine.entry.models.size() == before.entry.models.size();
  engine.phase = as_planned ? Phase::kReady : Phase::kNone;
}

void OrderBook::NoteChange(MonoTime now, const Engine& engine, bool gone) {
  std::erase_if(changes_,
                [now](const Change& it) { return now - it.at > kTellTime; });
  changes_.push_back(
      {.residency = {.engine = engine.order.engine,
                     .item = ItemOf(engine.order),
                     .orders_accepted = engine.order.expected_orders + 1,
                     .gone = gone},
       .at = now});
}

void OrderBook::Finish(MonoTime now, Engine& engine) {
  Apply(engine.entry.models, engine.order);
  engine.changed_at = now;
  if (!IsUnload(engine.order.kind))
    NoteChange(now, engine, /*gone=*/false);
  engine.phase = Phase::kNone;
}

void OrderBook::OnAnswer(MonoTime now,
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
    engine.report_at = now + kReportInterval;
    return;
  }
  if (reply.status != CallStatus::kOk) {
    engine.phase = Phase::kUnanswered;
    engine.report_at = now;
    engine.give_up_at =
        std::max(engine.give_up_at, engine.sent_at + kLateOrder);
    return;
  }
  switch (reply.value) {
    case EngineOrderAnswer::kAccepted:
      engine.phase = Phase::kAccepted;
      engine.orders_accepted = engine.order.expected_orders + 1;
      // Adapters take a few milliseconds and show in no entry of their own.
      if (IsAdapterOrder(engine.order))
        Finish(now, engine);
      return;
    case EngineOrderAnswer::kAlreadyDone:
      Finish(now, engine);
      // Whether it was counted is told by the next report.
      engine.orders_accepted.reset();
      engine.report_at = now + kReportInterval / 2;
      return;
    case EngineOrderAnswer::kBusyOrOutdated:
    case EngineOrderAnswer::kRejected:
      engine.phase = Phase::kOutdated;
      engine.report_at = now + kReportInterval / 2;
      return;
  }
}

void OrderBook::OnReport(MonoTime now,
                         const ServerId& id,
                         const CallReply<EngineReport>& reply) {
  const auto it = engines_.find(id);
  if (it == engines_.end())
    return;
  Engine& engine = it->second;
  engine.report_awaited = false;
  engine.report_at = now + kReportInterval;
  const bool over = now > engine.give_up_at;
  if (reply.status != CallStatus::kOk) {
    if (over)
      engine.phase = Phase::kNone;
    return;
  }
  const EngineReport& report = reply.value;
  const Engine before = engine;
  engine.reported_at = now;
  engine.busy_elsewhere = report.busy && engine.phase != Phase::kAccepted;
  const bool restarted = report.started_at_ms != 0 &&
                         engine.entry.started_at_ms != 0 &&
                         report.started_at_ms != engine.entry.started_at_ms;
  if (restarted) {
    engine.entry.started_at_ms = report.started_at_ms;
    engine.orders_accepted.reset();
    engine.phase = Phase::kNone;
  }
  // A report is of some hundred milliseconds ago.
  if (report.orders_accepted >= engine.orders_accepted.value_or(0)) {
    engine.orders_accepted = report.orders_accepted;
    engine.entry.models = report.models;
    engine.changed_at = now;
  }
  switch (engine.phase) {
    case Phase::kAccepted:
      if (Shows(report.models, engine.order) && !report.busy)
        Finish(now, engine);
      else if (over && !report.busy)
        engine.phase = Phase::kNone;
      return;
    case Phase::kUnanswered:
      if (report.orders_accepted > engine.order.expected_orders)
        engine.phase = Phase::kAccepted;
      else if (over)
        engine.phase = Phase::kNone;
      return;
    case Phase::kOutdated:
      if (!report.busy)
        engine.phase = Phase::kNone;
      return;
    case Phase::kChecking:
      OnCheck(before, engine);
      return;
    case Phase::kNone:
    case Phase::kReady:
    case Phase::kSent:
      return;
  }
}

std::vector<ServerId> OrderBook::DueReports(MonoTime now) {
  std::vector<ServerId> out;
  for (auto& [id, engine] : engines_) {
    const bool in_doubt = engine.phase == Phase::kUnanswered ||
                          engine.phase == Phase::kAccepted ||
                          engine.phase == Phase::kOutdated ||
                          engine.phase == Phase::kChecking ||
                          engine.busy_elsewhere || !engine.orders_accepted;
    if (!in_doubt || engine.phase == Phase::kSent)
      continue;
    const MonoTime due = engine.report_awaited
                             ? engine.report_at + kReportPatience
                             : engine.report_at;
    if (now < due)
      continue;
    engine.report_awaited = true;
    engine.report_at = now;
    out.push_back(id);
  }
  return out;
}

std::vector<OrderBook::Residency> OrderBook::RecentChanges(MonoTime now) const {
  std::vector<Residency> out;
  for (const Change& it : changes_) {
    if (now - it.at <= kTellTime)
      out.push_back(it.residency);
  }
  return out;
}

void OrderBook::Clear() {
  for (auto& [id, engine] : engines_) {
    engine.phase = Phase::kNone;
    engine.orders_accepted.reset();
    engine.busy_elsewhere = false;
    engine.report_awaited = false;
  }
  changes_.clear();
}

}  // namespace mangoport
