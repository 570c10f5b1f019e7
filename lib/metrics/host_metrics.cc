#include "mangoport/metrics/host_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <chrono>
#include <vector>

namespace mangoport {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

/// Bounds around the targets of 1.7 s and 40 ms.
const std::vector<double> kFirstTokenSeconds = {0.01, 0.05, 0.1, 0.25, 0.5,
                                                1.0,  1.7,  3.0, 5.0};
const std::vector<double> kTokenGapSeconds = {0.005, 0.01, 0.02, 0.04,
                                              0.08,  0.2,  1.0};

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Family<Counter>& AddCounter(prometheus::Registry& registry,
                            const char* name,
                            const char* help) {
  return BuildCounter().Name(name).Help(help).Register(registry);
}

Gauge& AddGauge(prometheus::Registry& registry,
                const char* name,
                const char* help) {
  return BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

Histogram& AddHistogram(prometheus::Registry& registry,
                        const char* name,
                        const char* help,
                        const std::vector<double>& bounds) {
  return BuildHistogram().Name(name).Help(help).Register(registry).Add({},
                                                                       bounds);
}

}  // namespace

struct HostMetrics::State {
  prometheus::Registry registry;
  Family<Counter>& requests =
      AddCounter(registry,
                 "mangoport_requests_total",
                 "Callers' requests by client account, surface and outcome");
  Family<Counter>& tokens =
      AddCounter(registry,
                 "mangoport_tokens_total",
                 "Tokens handed to callers by client account");
  Family<Counter>& attempts = AddCounter(registry,
                                         "mangoport_attempts_total",
                                         "Attempts at backend servers");
  Family<Counter>& appends =
      AddCounter(registry,
                 "mangoport_log_appends_total",
                 "Appends to the platform's log by stream and outcome");
  Histogram& first_token =
      AddHistogram(registry,
                   "mangoport_first_token_seconds",
                   "Time from a request's arrival to its first token",
                   kFirstTokenSeconds);
  Histogram& token_gap = AddHistogram(registry,
                                      "mangoport_token_gap_seconds",
                                      "Time between two tokens of a request",
                                      kTokenGapSeconds);
  Gauge& config_offset = AddGauge(registry,
                                  "mangoport_config_next_offset",
                                  "First log offset not yet in force here");
  Gauge& config_age =
      AddGauge(registry,
               "mangoport_config_evidence_age_seconds",
               "Age of the newest evidence that the configuration is current");
  Gauge& active = AddGauge(registry,
                           "mangoport_active_requests",
                           "Requests under way on this host");
};

HostMetrics::HostMetrics() : state_(std::make_unique<State>()) {}

HostMetrics::~HostMetrics() = default;

void HostMetrics::CountRequest(const AccountId& account,
                               std::string_view surface,
                               std::string_view code) {
  state_->requests
      .Add({{"account", account.value()},
            {"surface", std::string(surface)},
            {"code", std::string(code)}})
      .Increment();
}

void HostMetrics::ObserveFirstToken(Duration since_arrival) {
  state_->first_token.Observe(Seconds(since_arrival));
}

void HostMetrics::ObserveTokenGap(Duration since_last_token) {
  state_->token_gap.Observe(Seconds(since_last_token));
}

void HostMetrics::CountTokens(const AccountId& account, std::uint64_t tokens) {
  state_->tokens.Add({{"account", account.value()}})
      .Increment(static_cast<double>(tokens));
}

void HostMetrics::CountAttempt(std::string_view outcome) {
  state_->attempts.Add({{"outcome", std::string(outcome)}}).Increment();
}

void HostMetrics::SetConfigOffset(std::uint64_t offset) {
  state_->config_offset.Set(static_cast<double>(offset));
}

void HostMetrics::SetConfigEvidenceAge(Duration age) {
  state_->config_age.Set(Seconds(age));
}

void HostMetrics::SetActiveRequests(std::uint64_t n) {
  state_->active.Set(static_cast<double>(n));
}

void HostMetrics::CountLogAppend(std::string_view stream,
                                 std::string_view outcome) {
  state_->appends
      .Add({{"stream", std::string(stream)}, {"outcome", std::string(outcome)}})
      .Increment();
}

std::string HostMetrics::Render() const {
  return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

}  // namespace mangoport
