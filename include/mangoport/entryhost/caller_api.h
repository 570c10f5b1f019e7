#ifndef MANGOPORT_ENTRYHOST_CALLER_API_H_
#define MANGOPORT_ENTRYHOST_CALLER_API_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "mangoport/core/error.h"
#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/entryhost/completion_stream.h"
#include "mangoport/entryhost/request_tracker.h"
#include "mangoport/ledger/config_view.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {

class AuditTrail;
class ConfigService;

/// What a request has been charged.
class BudgetCharge {
 public:
  virtual ~BudgetCharge() = default;

  /// Whether the charge still stands; asked right before the request is sent.
  virtual bool MayDispatch(MonoTime now) const = 0;

  /// Gives back the tokens that were not used. Only the first call counts.
  virtual void Settle(std::uint64_t unused) = 0;
};

/// Whether a request's worst case fits the client account's budget.
struct BudgetDecision {
  bool granted = false;
  /// When a refused request may be worth repeating.
  Duration retry_after{};
  std::shared_ptr<BudgetCharge> charge;
};

/// Charges a request that arrived at `arrived` with its worst case.
using ChargeBudget = std::function<BudgetDecision(MonoTime arrived,
                                                  const AccountId& account,
                                                  std::uint64_t tokens)>;

/// A caller's request to a plain service.
struct PlainRequest {
  RequestId request;
  /// Empty on a route that is open to all.
  AccountId account;
  wire::RouteConfig route;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  std::string idempotency_key;
  MonoTime deadline;
};

/// What the caller of a plain service gets: the service's answer, or an error.
struct PlainAnswer {
  bool answered = false;
  int http_status = 0;
  std::string content_type;
  std::string body;
  Error error;
};

/// Everything that the callers' surface stands on; all of it outlives it.
struct CallerServices {
  HostSettings settings;
  ConfigService* config = nullptr;
  AuditTrail* audit = nullptr;
  HostMetrics* metrics = nullptr;
  RequestTracker* tracker = nullptr;
  CompletionContext completions;
  ChargeBudget charge;
  std::function<PlainAnswer(const PlainRequest&)> run_plain;
  /// Whether the balancer should send requests here.
  std::function<bool()> ready;
};

/// The callers' surface: completions, models, plain services and health.
class CallerApi {
 public:
  explicit CallerApi(CallerServices services);
  ~CallerApi();

  CallerApi(const CallerApi&) = delete;
  CallerApi& operator=(const CallerApi&) = delete;

  /// Binds and starts to answer. Returns the port, or 0 if that failed.
  std::uint16_t Start();

  /// Stops listening and ends connections. Streams still under way are cut, so
  /// the requests are waited for first.
  void Stop();

 private:
  struct State;

  std::unique_ptr<State> state_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ENTRYHOST_CALLER_API_H_
