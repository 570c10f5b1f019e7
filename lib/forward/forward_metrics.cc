#include "mangoport/forward/forward_metrics.h"

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

const std::vector<double> kLatencySeconds = {0.005, 0.02, 0.05, 0.1, 0.15, 0.25,
                                             0.4,   0.7,  1.0,  2.0, 4.0,  8.0};

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

Family<Histogram>& AddHistogram(prometheus::Registry& registry,
                                const char* name,
                                const char* help) {
  return BuildHistogram().Name(name).Help(help).Register(registry);
}

}  // namespace

struct ForwardMetrics::State {
  prometheus::Registry registry;
  Family<Counter>& requests =
      AddCounter(registry,
                 "mangoport_forward_requests_total",
                 "Callers' requests by kind, client account and outcome");
  Family<Histogram>& request_time =
      AddHistogram(registry,
                   "mangoport_forward_request_seconds",
                   "Time from a request's arrival to the end of its answer");
  Histogram& first_event =
      AddHistogram(registry,
                   "mangoport_forward_first_event_seconds",
                   "Time from a stream request's arrival to its first event")
          .Add({}, kLatencySeconds);
  Counter& events = AddCounter(registry,
                               "mangoport_forward_events_total",
                               "Stream events passed on to callers")
                        .Add({});
  Family<Counter>& attempts =
      AddCounter(registry,
                 "mangoport_forward_attempts_total",
                 "Attempts at backend servers by outcome");
  Family<Counter>& dispatches =
      AddCounter(registry,
                 "mangoport_forward_dispatches_total",
                 "Requests sent to backend servers, in the host's zone or not "
                 "and why");
  Family<Counter>& refusals = AddCounter(registry,
                                         "mangoport_forward_refusals_total",
                                         "Requests refused by reason");
  Family<Histogram>& calls =
      AddHistogram(registry,
                   "mangoport_platform_call_seconds",
                   "Calls to the platform and to engines by name and success");
  Counter& holds = AddCounter(registry,
                              "mangoport_forward_holds_total",
                              "Times at which a request was kept until there "
                              "is room at a server")
                       .Add({});
  Counter& listing_differences =
      AddCounter(registry,
                 "mangoport_server_list_differences_total",
                 "Times at which another host listed other servers at the same "
                 "position, so that the whole list was read again")
          .Add({});
  Counter& short_feed_reads =
      AddCounter(registry,
                 "mangoport_feed_short_reads_total",
                 "Reads of the store's logs that stopped short of the log's "
                 "end, so that more had to be read")
          .Add({});
  Counter& given_up_connections =
      AddCounter(registry,
                 "mangoport_forward_connections_given_up_total",
                 "Connections of callers that were closed since there were too "
                 "many")
          .Add({});
  Counter& accept_errors =
      AddCounter(registry,
                 "mangoport_forward_accept_errors_total",
                 "Times at which no connection could be accepted, for want of "
                 "descriptors or memory")
          .Add({});
  Gauge& config_version = AddGauge(registry,
                                   "mangoport_forward_config_version",
                                   "Version of the configuration in force");
  Gauge& active = AddGauge(registry,
                           "mangoport_forward_active_requests",
                           "Requests under way");
  Gauge& caller_memory =
      AddGauge(registry,
               "mangoport_forward_caller_memory_bytes",
               "What is held for callers: requests, and answers not read");
  Gauge& given_up =
      AddGauge(registry,
               "mangoport_forward_callers_given_up",
               "Connections given up because too much was held for callers");
  Gauge& evacuated_zones =
      AddGauge(registry,
               "mangoport_forward_evacuated_zones",
               "Zones whose backend servers get nothing, by the operators");
  Counter& cold_dispatches =
      AddCounter(registry,
                 "mangoport_forward_cold_dispatches_total",
                 "Requests sent to backend servers that have just started")
          .Add({});
  Gauge& order_holder = AddGauge(registry,
                                 "mangoport_forward_order_holder",
                                 "1 while this host may give engines orders");
};

ForwardMetrics::ForwardMetrics() : state_(std::make_unique<State>()) {}

ForwardMetrics::~ForwardMetrics() = default;

void ForwardMetrics::OnRequest(std::string_view kind,
                               const AccountId& account,
                               std::string_view outcome,
                               Duration total) {
  state_->requests
      .Add({{"kind", std::string(kind)},
            {"account", account.value()},
            {"outcome", std::string(outcome)}})
      .Increment();
  state_->request_time.Add({{"kind", std::string(kind)}}, kLatencySeconds)
      .Observe(Seconds(total));
}

void ForwardMetrics::OnFirstEvent(Duration time) {
  state_->first_event.Observe(Seconds(time));
}

void ForwardMetrics::OnEvents(std::size_t n) {
  state_->events.Increment(static_cast<double>(n));
}

void ForwardMetrics::OnAttempt(std::string_view outcome) {
  state_->attempts.Add({{"outcome", std::string(outcome)}}).Increment();
}

void ForwardMetrics::OnDispatch(std::string_view zone_use) {
  state_->dispatches.Add({{"zone", std::string(zone_use)}}).Increment();
}

void ForwardMetrics::OnHold() {
  state_->holds.Increment();
}

void ForwardMetrics::OnRefusal(std::string_view reason) {
  state_->refusals.Add({{"reason", std::string(reason)}}).Increment();
}

void ForwardMetrics::OnCall(std::string_view call, bool ok, Duration time) {
  state_->calls
      .Add({{"call", std::string(call)}, {"ok", ok ? "yes" : "no"}},
           kLatencySeconds)
      .Observe(Seconds(time));
}

void ForwardMetrics::OnListingDifference() {
  state_->listing_differences.Increment();
}

void ForwardMetrics::OnShortFeedRead() {
  state_->short_feed_reads.Increment();
}

void ForwardMetrics::OnConnectionGivenUp() {
  state_->given_up_connections.Increment();
}

void ForwardMetrics::OnAcceptError() {
  state_->accept_errors.Increment();
}

void ForwardMetrics::SetConfigVersion(std::uint64_t version) {
  state_->config_version.Set(static_cast<double>(version));
}

void ForwardMetrics::SetActive(std::size_t requests) {
  state_->active.Set(static_cast<double>(requests));
}

void ForwardMetrics::SetOrderHolder(bool holds) {
  state_->order_holder.Set(holds ? 1 : 0);
}

void ForwardMetrics::SetCallerMemory(std::size_t bytes, std::size_t given_up) {
  state_->caller_memory.Set(static_cast<double>(bytes));
  state_->given_up.Set(static_cast<double>(given_up));
}

void ForwardMetrics::SetEvacuatedZones(std::size_t zones) {
  state_->evacuated_zones.Set(static_cast<double>(zones));
}

void ForwardMetrics::OnColdDispatch() {
  state_->cold_dispatches.Increment();
}

std::string ForwardMetrics::Serialize() const {
  return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

}  // namespace mangoport
