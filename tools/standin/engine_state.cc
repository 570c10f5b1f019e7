#include "tools/standin/engine_state.h"

#include <algorithm>
#include <cstdlib>
#include <thread>
#include <utility>

namespace mangoport::standin {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxOrders = 512;
constexpr Millis kDrainPoll{5};
constexpr Millis kReportSample{10};

std::string HoldingKind(const std::string& order_kind) {
  if (order_kind == "load_model" || order_kind == "unload_model")
    return "model";
  if (order_kind == "load_adapter" || order_kind == "unload_adapter")
    return "adapter";
  return "kv";
}

bool IsLoad(const std::string& kind) {
  return kind == "load_model" || kind == "load_adapter" || kind == "import_kv";
}

bool IsUnload(const std::string& kind) {
  return kind == "unload_model" || kind == "unload_adapter";
}

}  // namespace

EngineState::EngineState(EngineStateOptions options, Batcher* batcher)
    : options_(std::move(options)), batcher_(batcher) {
  if (options_.report_lag > Millis::zero())
    std::thread([this] { SampleReports(); }).detach();
}

bool EngineState::Preload(const std::string& item) {
  const std::vector<std::string> parts = Split(item, ':');
  const std::vector<std::string> names = Split(parts.at(0), '@');
  Holding holding{.kind = "model", .name = names.at(0), .ready = true};
  holding.version = names.size() > 1 ? names[1] : "";
  holding.size_mb = parts.size() > 1
                        ? std::strtoll(parts[1].c_str(), nullptr, 10)
                        : options_.preload_size_mb;
  const std::lock_guard lock(mutex_);
  if (UsedMb() + holding.size_mb > options_.memory_mb)
    return false;
  holdings_.push_back(std::move(holding));
  most_used_mb_ = UsedMb();
  return true;
}

OrderAnswer EngineState::Accept(const EngineOrder& order) {
  if (!IsLoad(order.kind) && !IsUnload(order.kind) &&
      order.kind != "set_role" && order.kind != "export_kv")
    return OrderAnswer::kUnknownKind;
  {
    const std::lock_guard lock(mutex_);
    if (order.epoch < highest_epoch_ && options_.honours_fencing) {
      ++stale_refused_;
      return OrderAnswer::kStaleEpoch;
    }
    if (++times_received_[order.order_id] > 1)
      return OrderAnswer::kAccepted;
    stale_executed_ += order.epoch < highest_epoch_ ? 1 : 0;
    highest_epoch_ = std::max(highest_epoch_, order.epoch);
    const OrderAnswer answer = Begin(order);
    if (answer != OrderAnswer::kAccepted)
      return answer;
  }
  std::thread([this, order] { Execute(order); }).detach();
  return OrderAnswer::kAccepted;
}

OrderAnswer EngineState::Begin(const EngineOrder& order) {
  orders_.push_back({order.order_id, "running"});
  if (orders_.size() > kMaxOrders)
    orders_.pop_front();
  if (!IsLoad(order.kind) || Find(order) != nullptr)
    return OrderAnswer::kAccepted;
  if (UsedMb() + order.size_mb > options_.memory_mb) {
    ++overcommit_attempts_;
    orders_.back().state = "failed";
    return OrderAnswer::kNoMemory;
  }
  holdings_.push_back({HoldingKind(order.kind), order.model, order.name,
                       order.version, order.size_mb, false});
  most_used_mb_ = std::max(most_used_mb_, UsedMb());
  return OrderAnswer::kAccepted;
}

void EngineState::Execute(const EngineOrder& order) {
  if (IsUnload(order.kind)) {
    ExecuteUnload(order);
    return;
  }
  const bool needs_store =
      IsLoad(order.kind) && order.kind != "import_kv" && options_.fetch;
  const bool done = !needs_store || options_.fetch(order);
  std::this_thread::sleep_for(options_.load_time);
  Finish(order, done);
}

void EngineState::ExecuteUnload(const EngineOrder& order) {
  {
    const std::lock_guard lock(mutex_);
    if (Holding* holding = Find(order))
      holding->ready = false;
  }
  while (order.kind == "unload_model" && batcher_->InFlight(order.name) > 0)
    std::this_thread::sleep_for(kDrainPoll);
  std::this_thread::sleep_for(options_.load_time);
  Finish(order, true);
}

void EngineState::Finish(const EngineOrder& order, bool done) {
  const std::lock_guard lock(mutex_);
  for (OrderState& it : orders_) {
    if (it.order_id == order.order_id)
      it.state = done ? "done" : "failed";
  }
  if (order.kind == "set_role")
    role_ = order.name;
  // Imported KV cache moves into the prefix cache, which has its own memory.
  if (IsUnload(order.kind) || order.kind == "import_kv" || !done) {
    Remove(order);
    return;
  }
  if (Holding* holding = Find(order))
    holding->ready = true;
}

EngineState::Holding* EngineState::Find(const EngineOrder& order) {
  const std::string kind = HoldingKind(order.kind);
  for (Holding& it : holdings_) {
    if (it.kind == kind && it.model == order.model && it.name == order.name &&
        it.version == order.version)
      return &it;
  }
  return nullptr;
}

void EngineState::Remove(const EngineOrder& order) {
  if (const Holding* holding = Find(order))
    holdings_.erase(holdings_.begin() + (holding - holdings_.data()));
}

std::shared_ptr<Generation> EngineState::Submit(CompletionRequest request,
                                                std::string* error) {
  const std::lock_guard lock(mutex_);
  if (!IsLoaded(request, error))
    return nullptr;
  return batcher_->Submit(std::move(request));
}

bool EngineState::IsLoaded(const CompletionRequest& request,
                           std::string* error) const {
  const auto holds = [this](const std::string& kind, const std::string& model,
                            const std::string& name) {
    return std::any_of(
        holdings_.begin(), holdings_.end(), [&](const Holding& it) {
          return it.ready && it.kind == kind && it.name == name &&
                 (it.model.empty() || it.model == model);
        });
  };
  if (!holds("model", "", request.model)) {
    *error = "model_not_loaded";
    return false;
  }
  if (!request.adapter.empty() &&
      !holds("adapter", request.model, request.adapter)) {
    *error = "adapter_not_loaded";
    return false;
  }
  return true;
}

Json EngineState::Report(MonoTime now) {
  const std::lock_guard lock(mutex_);
  if (options_.report_lag == Millis::zero() || reports_.empty()) {
    Json report = MakeReport();
    report["age_ms"] = 0;
    return report;
  }
  while (reports_.size() > 1 &&
         reports_[1].made_at + options_.report_lag <= now)
    reports_.pop_front();
  Json report = reports_.front().report;
  report["age_ms"] =
      std::chrono::duration_cast<Millis>(now - reports_.front().made_at)
          .count();
  return report;
}

Json EngineState::MakeReport() const {
  Json models = Json::array();
  Json adapters = Json::array();
  for (const Holding& it : holdings_) {
    if (it.ready && it.kind == "model")
      models.push_back({{"name", it.name}, {"version", it.version}});
    if (it.ready && it.kind == "adapter")
      adapters.push_back({{"model", it.model}, {"name", it.name}});
  }
  Json orders = Json::array();
  for (const OrderState& it : orders_)
    orders.push_back({{"order_id", it.order_id}, {"state", it.state}});
  return {{"engine", options_.engine},
          {"role", role_},
          {"memory_total_mb", options_.memory_mb},
          {"memory_used_mb", UsedMb()},
          {"models", std::move(models)},
          {"adapters", std::move(adapters)},
          {"running", batcher_->Running()},
          {"queued", batcher_->Queued()},
          {"highest_epoch", highest_epoch_},
          {"orders", std::move(orders)}};
}

void EngineState::SampleReports() {
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      const MonoTime now = std::chrono::steady_clock::now();
      reports_.push_back({now, MakeReport()});
      while (reports_.size() > 1 &&
             reports_[1].made_at + options_.report_lag <= now)
        reports_.pop_front();
    }
    std::this_thread::sleep_for(kReportSample);
  }
}

void EngineState::AddTo(Json& stats) const {
  const std::lock_guard lock(mutex_);
  std::uint64_t repeated = 0;
  for (const auto& [order_id, n] : times_received_)
    repeated += n - 1;
  stats["overcommit_attempts"] = overcommit_attempts_;
  stats["stale_orders_refused"] = stale_refused_;
  stats["stale_orders_executed"] = stale_executed_;
  stats["orders"] = times_received_.size();
  stats["orders_repeated"] = repeated;
  stats["memory_used_mb"] = UsedMb();
  stats["most_memory_used_mb"] = most_used_mb_;
}

std::int64_t EngineState::UsedMb() const {
  std::int64_t used = 0;
  for (const Holding& it : holdings_)
    used += it.size_mb;
  return used;
}

}  // namespace mangoport::standin
