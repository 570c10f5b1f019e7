#include "mangoport/forward/forwarder.h"

#include <algorithm>
#include <utility>

#include "lib/forward/request_exchange.h"

namespace mangoport {
namespace {

/// The part of the allowed repeats that is used, since hosts count apart.
constexpr double kRepeatPart = 0.8;

}  // namespace

Forwarder::Forwarder(Parts parts,
                     ForwardDialect dialect,
                     const RepeatLimits& limits)
    : parts_(parts),
      dialect_(std::move(dialect)),
      repeat_limits_(limits),
      random_(std::random_device{}()) {
  parts_.backends.set_on_resident(
      [this](const ModelId& model) { WakeWaiting(model); });
  crash_suspects_.set_on_decision(
      [this](const RequestDecision& it) { OnRequestDecision(it); });
  part_suspects_.set_on_decision(
      [this](const PartDecision& it) { OnPartDecision(it); });
  parts_.backends.set_on_all_leaving([this] { WakeAllWaiting(); });
}

Forwarder::~Forwarder() = default;

void Forwarder::SetConfig(MonoTime now, FleetConfigPtr config) {
  config_ = std::move(config);
  config_since_ = now;
  std::vector<AccountLimit> limits;
  for (const AccountSpec& it : config_->config().accounts)
    limits.push_back({.account = it.id,
                      .tokens_per_second = it.rate_per_second,
                      .burst_tokens = it.burst});
  parts_.quota.SetLimits(now, limits);
  parts_.metrics.SetConfigVersion(config_->version());
  // What waits may have lost its key.
  WakeAllWaiting();
}

RetryBudgetSettings Forwarder::BudgetSettingsFor(std::size_t hosts) const {
  RetryBudgetSettings settings;
  settings.per_request = repeat_limits_.ratio * kRepeatPart;
  settings.host_reserve = std::max(
      1.0, repeat_limits_.extra * kRepeatPart / static_cast<double>(hosts));
  settings.account_reserve = settings.host_reserve;
  settings.host_refill = 0;
  settings.account_refill = 0;
  return settings;
}

void Forwarder::SetHostCount(MonoTime /*now*/, std::size_t hosts) {
  // Each new division hands out a new reserve, so small changes are ignored.
  if (2 * hosts < 3 * hosts_ && 3 * hosts > 2 * hosts_)
    return;
  hosts_ = hosts;
  services_.clear();
}

Forwarder::ServiceState& Forwarder::StateOf(const ServiceId& service) {
  const auto it = services_.find(service);
  if (it != services_.end())
    return it->second;
  return services_
      .emplace(service,
               ServiceState{.budget = RetryBudget(BudgetSettingsFor(hosts_))})
      .first->second;
}

void Forwarder::OnRequest(const std::shared_ptr<ClientSession>& session,
                          HttpRequest request) {
  const auto exchange =
      std::make_shared<RequestExchange>(*this, session, std::move(request));
  exchange->Start();
}

void Forwarder::NoteServerSignals(MonoTime now,
                                  const ServerStart& start,
                                  const HttpHead& head) {
  const ServerSignals signals = ReadServerSignals(dialect_, head);
  if (signals.unreadable_hold)
    parts_.log.Write(
        LogLine("server_hold_unreadable")
            .Add("server", start.server.value())
            .Add("retry_after", FieldText(head.fields, "retry-after")));
  if (parts_.backends.NoteSignals(now, start, signals))
    parts_.log.Write(LogLine("server_held")
                         .Add("server", start.server.value())
                         .Add("hold_ms", *signals.hold));
}

std::vector<std::shared_ptr<RequestExchange>> Forwarder::Exchanges() {
  std::vector<std::shared_ptr<RequestExchange>> out;
  out.reserve(exchanges_.size());
  for (RequestExchange* it : exchanges_) {
    if (auto exchange = it->weak_from_this().lock())
      out.push_back(std::move(exchange));
  }
  return out;
}

void Forwarder::RefuseNew(MonoTime now, MonoTime end) {
  if (std::exchange(refuses_new_, true))
    return;
  end_ = end;
  for (const auto& it : Exchanges())
    it->OnHostStopping(now);
}

void Forwarder::EndAll(MonoTime now) {
  for (const auto& it : Exchanges())
    it->OnHostEnding(now);
}

void Forwarder::WakeWaiting(const ModelId& model) {
  const auto it = waiting_.find(model);
  if (it == waiting_.end())
    return;
  for (const auto& weak : std::exchange(it->second, {})) {
    if (const auto exchange = weak.lock())
      exchange->OnModelAppeared();
  }
}

void Forwarder::WakeAllWaiting() {
  std::vector<ModelId> models;
  for (const auto& [model, requests] : waiting_)
    models.push_back(model);
  for (const ModelId& it : models)
    WakeWaiting(it);
}

std::vector<ModelUse> Forwarder::ModelUses() const {
  std::vector<ModelUse> out;
  for (const auto& [model, use] : uses_)
    out.push_back(use);
  return out;
}

}  // namespace mangoport
