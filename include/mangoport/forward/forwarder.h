#ifndef MANGOPORT_FORWARD_FORWARDER_H_
#define MANGOPORT_FORWARD_FORWARDER_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/fleet/fleet_config.h"
#include "mangoport/fleet/key_evidence.h"
#include "mangoport/forward/backend_table.h"
#include "mangoport/forward/client_session.h"
#include "mangoport/forward/connection_pool.h"
#include "mangoport/forward/dialect.h"
#include "mangoport/forward/forward_metrics.h"
#include "mangoport/forward/timer_queue.h"
#include "mangoport/limits/shared_quota.h"
#include "mangoport/routing/crash_suspects.h"
#include "mangoport/routing/part_suspects.h"
#include "mangoport/routing/retry_budget.h"
#include "mangoport/telemetry/decision_log.h"

namespace mangoport {

/// Bounds on the repeats that all hosts together may cause at one service.
struct RepeatLimits {
  /// Repeats for each request of the callers.
  double ratio = 0.2;
  /// Repeats beyond those, over all hosts.
  double extra = 100;
};

class RequestExchange;

/// Takes callers' requests and brings them to backend servers and the answers
/// back. Holds what all requests of this host share.
class Forwarder {
 public:
  /// The parts that the forwarder works with; all outlive it.
  struct Parts {
    asio::io_context& io;
    TimerQueue& timers;
    ConnectionPool& pool;
    BackendTable& backends;
    SharedQuota& quota;
    KeyEvidence& key_evidence;
    ForwardMetrics& metrics;
    DecisionLog& log;
  };

  Forwarder(Parts parts, ForwardDialect dialect, const RepeatLimits& limits);
  ~Forwarder();

  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  /// Takes a configuration that is newer than the present one.
  void SetConfig(MonoTime now, FleetConfigPtr config);

  /// The hook for `ClientSessionHooks::on_request`.
  void OnRequest(const std::shared_ptr<ClientSession>& session,
                 HttpRequest request);

  /// From now on requests are refused as they arrive, since the host stops, and
  /// so are those that wait for a copy. Answers end at `end`, the latest.
  void RefuseNew(MonoTime now, MonoTime end);

  /// Answers all requests that are still under way, as the process ends: those
  /// that no server has seen are refused, the others fail.
  void EndAll(MonoTime now);

  /// Called when a request waits for a model that no server holds, so that it
  /// is told to the host that orders engines without delay.
  void set_on_missing(std::function<void()> hook) {
    on_missing_ = std::move(hook);
  }

  /// Takes in what a backend server says of itself in the head of an answer,
  /// whatever it answers.
  void NoteServerSignals(MonoTime now,
                         const ServerStart& start,
                         const HttpHead& head);

  /// The demand for each model that callers asked for.
  std::vector<ModelUse> ModelUses() const;

  /// Requests that were lost together with servers.
  CrashSuspects& crash_suspects() { return crash_suspects_; }

  /// Parts of prompts that crash the servers which answer to them.
  PartSuspects& part_suspects() { return part_suspects_; }

  /// Called when a request was lost with a server whose process may have ended,
  /// so that other hosts are told without delay.
  void set_on_loss(std::function<void()> hook) { on_loss_ = std::move(hook); }

  const FleetConfigPtr& config() const { return config_; }
  std::size_t active() const { return active_; }

  /// Hosts that share the limit on repeats.
  void SetHostCount(MonoTime now, std::size_t hosts);

 private:
  friend class RequestExchange;

  struct ServiceState {
    RetryBudget budget;
  };

  /// The requests under way that are still in use.
  std::vector<std::shared_ptr<RequestExchange>> Exchanges();

  ServiceState& StateOf(const ServiceId& service);
  RetryBudgetSettings BudgetSettingsFor(std::size_t hosts) const;
  void OnRequestDecision(const RequestDecision& decision);
  void OnPartDecision(const PartDecision& decision);
  /// Lets requests that wait for `model` choose again.
  void WakeWaiting(const ModelId& model);
  /// The same for all requests that wait for a model.
  void WakeAllWaiting();

  Parts parts_;
  ForwardDialect dialect_;
  RepeatLimits repeat_limits_;
  FleetConfigPtr config_;
  MonoTime config_since_;
  std::size_t hosts_ = 1;
  std::map<ServiceId, ServiceState> services_;
  std::unordered_map<ModelId, ModelUse> uses_;
  std::unordered_map<ModelId, std::vector<std::weak_ptr<RequestExchange>>>
      waiting_;
  CrashSuspects crash_suspects_;
  PartSuspects part_suspects_;
  std::function<void()> on_loss_;
  std::function<void()> on_missing_;
  std::mt19937_64 random_;
  std::size_t active_ = 0;
  /// Requests that are kept until there is room for them.
  std::size_t held_ = 0;
  /// All requests under way; each removes itself at its end.
  std::set<RequestExchange*> exchanges_;
  bool refuses_new_ = false;
  /// When answers under way end, if the host stops.
  MonoTime end_ = MonoTime::max();
};

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_FORWARDER_H_
