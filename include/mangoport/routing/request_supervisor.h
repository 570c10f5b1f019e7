#ifndef MANGOPORT_ROUTING_REQUEST_SUPERVISOR_H_
#define MANGOPORT_ROUTING_REQUEST_SUPERVISOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mangoport/core/error.h"
#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/routing.pb.h"
#include "mangoport/routing/crash_watch.h"
#include "mangoport/routing/fingerprint.h"
#include "mangoport/routing/quarantine.h"
#include "mangoport/routing/retry_budget.h"
#include "mangoport/routing/router.h"

namespace mangoport {

struct SupervisorSettings {
  /// Silence that ends an attempt before its first token, and later.
  Duration first_token_timeout = std::chrono::seconds(3);
  Duration between_tokens_timeout = std::chrono::seconds(1);
  /// A second attempt starts beside the first after this; zero for never.
  Duration hedge_after = std::chrono::milliseconds(1200);
  /// How long to wait for an isolation claim to be read back.
  Duration claim_timeout = std::chrono::seconds(2);
  /// Between a claim and its use, so that other hosts stop sending.
  Duration isolation_lead = std::chrono::milliseconds(800);
  /// How long a suspect waits for a server of its own.
  Duration isolation_patience = std::chrono::seconds(8);
  /// How long a copy waits for the first one to run well, if its server takes
  /// no other request.
  Duration copy_patience = std::chrono::seconds(3);
  Duration isolation_lease = std::chrono::seconds(6);
  /// How long an unproven request is followed after its caller has left.
  Duration abandoned_linger = std::chrono::seconds(1);
  Duration retry_backoff = std::chrono::milliseconds(20);
  /// Tokens after which a request is an unlikely cause of a crash.
  std::uint32_t proven_tokens = 5;
  /// Attempts in a row without a token; the retry budget bounds the others.
  std::uint32_t max_attempts = 5;
};

/// A request whose attempts are supervised.
struct SupervisedRequest {
  RouteRequest route;
  Fingerprint fingerprint;
  std::uint64_t sketch = 0;
  /// False if it must not run twice: then it is dispatched at most once.
  bool repeatable = true;
  /// When the caller gives up on the whole answer.
  MonoTime deadline = MonoTime::max();
};

/// Start sending to `server`, on a connection never used before if asked.
struct StartAttempt {
  std::uint32_t attempt = 0;
  ServerId server;
  /// Index of the first token wanted.
  std::uint32_t resume_from = 0;
  bool fresh_connection = false;
};

struct CancelAttempt {
  std::uint32_t attempt = 0;
  ServerId server;
  /// The connection may be silent for good: close it.
  bool drop_connection = false;
};

/// Hand the token on to the caller.
struct DeliverToken {
  std::uint32_t index = 0;
  std::string text;
};

/// Claim `server` for this request and answer with `OnIsolation`.
struct AskIsolation {
  ServerId server;
  Duration lease{};
};

struct EndIsolation {
  bool survived = false;
};

/// The request ran to its end: append an `IsolationEnd` without a claim.
struct ClearSuspicion {};

/// Append the report to the log and tell the peers.
struct SendCrashReport {
  wire::CrashReport report;
};

/// The request is over.
struct FinishRequest {
  bool complete = false;
  /// Set if not complete. `not_run` is true only if no attempt can have run.
  Error error;
  Duration retry_after{};
  std::uint32_t tokens = 0;
};

using SupervisorAction = std::variant<StartAttempt,
                                      CancelAttempt,
                                      DeliverToken,
                                      AskIsolation,
                                      EndIsolation,
                                      ClearSuspicion,
                                      SendCrashReport,
                                      FinishRequest>;
using SupervisorActions = std::vector<SupervisorAction>;

/// The shared state that supervisors of one host decide with.
struct RoutingState {
  Router router;
  RetryBudget retries;
  RetryBudget hedges{{.per_request = 0.05,
                      .account_reserve = 5,
                      .host_reserve = 20,
                      .account_refill = 0.1,
                      .host_refill = 0.5}};
  CrashWatch watch;
  QuarantineFold quarantine;
};

/// The time of one step, on both clocks, and the state it works on.
struct SupervisorStep {
  MonoTime now;
  WallTime wall;
  RoutingState& state;
};

/// Follows one request from its first attempt to its whole answer.
///
/// Every token is checked by request id and index before it is handed on: the
/// caller gets each token once and in order, whichever attempts they came
/// from, or an error that says truly whether anything can have run. Events of
/// attempts that are over are ignored. Not synchronised.
class RequestSupervisor {
 public:
  RequestSupervisor(SupervisorSettings settings, SupervisedRequest request);

  SupervisorActions Start(SupervisorStep step);
  SupervisorActions OnToken(SupervisorStep step,
                            std::uint32_t attempt,
                            const RequestId& request,
                            std::uint32_t index,
                            std::string text);
  /// The stream's final event, with the number of tokens of the whole answer.
  SupervisorActions OnFinal(SupervisorStep step,
                            std::uint32_t attempt,
                            const RequestId& request,
                            std::uint32_t tokens);
  /// The attempt ended without its final event.
  SupervisorActions OnAttemptFailed(SupervisorStep step,
                                    std::uint32_t attempt,
                                    AttemptOutcome outcome);
  /// The claim asked for was read back as holding, or was lost.
  SupervisorActions OnIsolation(SupervisorStep step, bool granted);
  SupervisorActions OnTimer(SupervisorStep step);
  /// Cancels the work. An attempt that is still unproven is followed a moment
  /// longer, without delivery, so that its crash is not missed.
  SupervisorActions OnCallerGone(SupervisorStep step);

  /// When `OnTimer` is due at the latest.
  MonoTime NextTimer() const;

  bool finished() const { return finished_; }
  std::uint32_t delivered() const { return delivered_; }
  std::uint32_t attempts() const { return attempts_started_; }

 private:
  struct Attempt {
    std::uint32_t id = 0;
    ServerId server;
    MonoTime started_at;
    MonoTime progress_due;
    std::uint32_t tokens = 0;
    bool isolated = false;
    CrashWatch::Ticket ticket = 0;
  };
  struct Isolation {
    ServerId server;
    bool granted = false;
    bool late = false;
  };

  Attempt* FindLive(std::uint32_t attempt);
  Verdict JudgeNow(const SupervisorStep& step) const;
  void TryToRun(SupervisorStep& step, SupervisorActions& actions);
  void StartOn(SupervisorStep& step,
               const ServerId& server,
               bool isolated,
               SupervisorActions& actions);
  /// Joins or awaits an unproven copy of this request; false if there is none.
  bool FollowCopy(SupervisorStep& step, SupervisorActions& actions);
  std::optional<ServerId> Pick(SupervisorStep& step,
                               bool isolated,
                               Error& refusal,
                               Duration& retry_after);
  void AskForIsolation(SupervisorStep& step,
                       bool late,
                       SupervisorActions& actions);
  void RunIsolated(SupervisorStep& step, SupervisorActions& actions);
  void MaybeHedge(SupervisorStep& step, SupervisorActions& actions);
  void FailAttempt(SupervisorStep& step,
                   std::uint32_t id,
                   AttemptOutcome outcome,
                   SupervisorActions& actions);
  void ReportDeath(SupervisorStep& step,
                   const ServerId& server,
                   SupervisorActions& actions);
  void CancelOthers(SupervisorStep& step,
                    std::uint32_t winner,
                    SupervisorActions& actions);
  void CloseAttempt(SupervisorStep& step,
                    const Attempt& attempt,
                    AttemptOutcome outcome);
  void Retry(SupervisorStep& step,
             AttemptOutcome outcome,
             SupervisorActions& actions);
  void MarkProven(SupervisorStep& step,
                  Attempt& attempt,
                  SupervisorActions& actions);
  void Abandon(SupervisorStep& step, SupervisorActions& actions);
  void CloseIsolation(SupervisorStep& step,
                      bool survived,
                      SupervisorActions& actions);
  void WaitForIsolation(SupervisorStep& step, SupervisorActions& actions);
  void Refuse(SupervisorStep& step,
              ErrorCode code,
              std::string message,
              Duration retry_after,
              SupervisorActions& actions);

  SupervisorSettings settings_;
  SupervisedRequest request_;
  std::vector<Attempt> live_;
  std::optional<Isolation> isolation_;
  std::optional<MonoTime> isolation_wanted_at_;
  std::optional<MonoTime> copy_wait_ends_at_;
  /// When to ask for the next attempt, or until when to wait for a claim.
  std::optional<MonoTime> next_step_at_;
  std::optional<MonoTime> abandoned_until_;
  MonoTime hedge_at_ = MonoTime::max();
  std::uint32_t delivered_ = 0;
  std::uint32_t attempts_started_ = 0;
  std::uint32_t fruitless_attempts_ = 0;
  /// Attempts of which it is not proven that nothing ran.
  std::uint32_t maybe_run_ = 0;
  bool fresh_connection_ = false;
  bool finished_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_REQUEST_SUPERVISOR_H_
