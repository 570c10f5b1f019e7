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

/// Timeouts and limits of request supervision.
struct SupervisorSettings {
  /// An attempt fails if it sends no first token for this long.
  Duration first_token_timeout = std::chrono::seconds(3);
  /// An attempt fails if it sends no further token for this long.
  Duration between_tokens_timeout = std::chrono::seconds(1);
  /// A second attempt starts in parallel after this time without a token; zero
  /// disables hedging.
  Duration hedge_after = std::chrono::milliseconds(1200);
  /// How long to wait for an isolation claim to be read back from the log.
  Duration claim_timeout = std::chrono::seconds(2);
  /// Delay between a claim and its use, in which other hosts stop sending
  /// requests to the server.
  Duration isolation_lead = std::chrono::milliseconds(800);
  /// How long a suspect waits for exclusive use of a server.
  Duration isolation_timeout = std::chrono::seconds(8);
  /// How long a request waits until its unproven copy is proven or no longer
  /// tracked, while the server of the copy accepts no other request.
  Duration copy_wait_timeout = std::chrono::seconds(3);
  /// Validity of an isolation claim.
  Duration isolation_lease = std::chrono::seconds(6);
  /// How long an unproven request is still monitored after its caller has
  /// disconnected.
  Duration disconnect_grace = std::chrono::seconds(1);
  /// Base of the exponential delay between attempts.
  Duration retry_backoff = std::chrono::milliseconds(20);
  /// Tokens after which a request counts as proven: an unlikely cause of a
  /// crash.
  std::uint32_t proven_tokens = 5;
  /// Limit on consecutive attempts without a token. Other attempts are limited
  /// by the retry budget.
  std::uint32_t max_attempts = 5;
};

/// A request and the data that its supervisor needs.
struct SupervisedRequest {
  RouteRequest route;
  Fingerprint fingerprint;
  std::uint64_t sketch = 0;
  /// False if the request must not run twice. It is then sent again only after
  /// an attempt that cannot have run.
  bool repeatable = true;
  /// Deadline for the complete answer.
  MonoTime deadline = MonoTime::max();
};

/// Starts an attempt at `server`, on a new connection if `fresh_connection` is
/// set.
struct StartAttempt {
  std::uint32_t attempt = 0;
  ServerId server;
  /// Index of the first token to generate.
  std::uint32_t resume_from = 0;
  bool fresh_connection = false;
};

/// Cancels an attempt.
struct CancelAttempt {
  std::uint32_t attempt = 0;
  ServerId server;
  /// The connection may be unresponsive and must be closed.
  bool drop_connection = false;
};

/// Forwards the token to the caller.
struct DeliverToken {
  std::uint32_t index = 0;
  std::string text;
};

/// Claims `server` for this request; the result is passed to `OnIsolation`.
struct ClaimIsolation {
  ServerId server;
  Duration lease{};
};

/// Ends the isolation claim of this request.
struct EndIsolation {
  /// The request completed without a crash.
  bool survived = false;
};

/// The request completed: appends an `IsolationEnd` that refers to no claim.
struct ClearSuspicion {};

/// Appends the report to the log and sends it to the peers.
struct SendCrashReport {
  wire::CrashReport report;
};

/// Ends the request.
struct FinishRequest {
  bool complete = false;
  /// Set if not complete. Its `not_run` is true only if no attempt can have
  /// run.
  Error error;
  Duration retry_after{};
  std::uint32_t tokens = 0;
};

using SupervisorAction = std::variant<StartAttempt,
                                      CancelAttempt,
                                      DeliverToken,
                                      ClaimIsolation,
                                      EndIsolation,
                                      ClearSuspicion,
                                      SendCrashReport,
                                      FinishRequest>;
using SupervisorActions = std::vector<SupervisorAction>;

/// The state shared by the supervisors of one host.
struct RoutingState {
  Router router;
  /// Budget of attempts after a failed one.
  RetryBudget retries;
  /// Budget of attempts in parallel with a slow one.
  RetryBudget hedges{{.per_request = 0.05,
                      .account_reserve = 5,
                      .host_reserve = 20,
                      .account_refill = 0.1,
                      .host_refill = 0.5}};
  CrashWatch watch;
  QuarantineFold quarantine;
};

/// The current time on both clocks and the shared state, for one step.
struct SupervisorStep {
  MonoTime now;
  WallTime wall;
  RoutingState& state;
};

/// Supervises one request from its first attempt to its complete answer.
///
/// The request id and index of every token are checked before it is forwarded.
/// The caller receives each token once and in order, across all attempts, or an
/// error that states correctly whether any attempt can have run. Events of
/// ended attempts are ignored. Not synchronised.
class RequestSupervisor {
 public:
  RequestSupervisor(SupervisorSettings settings, SupervisedRequest request);

  /// Starts the first attempt, or refuses the request.
  SupervisorActions Start(SupervisorStep step);
  /// The attempt sent a token.
  SupervisorActions OnToken(SupervisorStep step,
                            std::uint32_t attempt,
                            const RequestId& request,
                            std::uint32_t index,
                            std::string text);
  /// The attempt sent its final event; `tokens` is the token count of the
  /// complete answer.
  SupervisorActions OnFinal(SupervisorStep step,
                            std::uint32_t attempt,
                            const RequestId& request,
                            std::uint32_t tokens);
  /// The attempt ended without its final event.
  SupervisorActions OnAttemptFailed(SupervisorStep step,
                                    std::uint32_t attempt,
                                    AttemptOutcome outcome);
  /// The requested claim was read back as valid, or was not granted.
  SupervisorActions OnIsolation(SupervisorStep step, bool granted);
  /// Handles all timers that are due.
  SupervisorActions OnTimer(SupervisorStep step);
  /// The caller disconnected: cancels its attempts. An unproven attempt is
  /// monitored for a short time, without forwarding its tokens, so that a crash
  /// that it causes is detected.
  SupervisorActions OnCallerDisconnected(SupervisorStep step);

  /// Time at which `OnTimer` must be called next.
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
    bool isolated_until_end = false;
  };

  Attempt* FindLive(std::uint32_t attempt);
  Assessment AssessRequest(const SupervisorStep& step) const;
  void TryDispatch(SupervisorStep& step, SupervisorActions& actions);
  void StartOn(SupervisorStep& step,
               const ServerId& server,
               bool isolated,
               SupervisorActions& actions);
  /// Runs beside an unproven copy of this request on its server, or waits for
  /// it; false if there is none or the wait has timed out.
  bool JoinUnprovenCopy(SupervisorStep& step, SupervisorActions& actions);
  /// Chooses a server, or sets the refusal and the suggested delay.
  std::optional<ServerId> PickServer(SupervisorStep& step,
                                     bool isolated,
                                     Error& refusal,
                                     Duration& retry_after);
  void StartIsolationClaim(SupervisorStep& step,
                           bool isolated_until_end,
                           SupervisorActions& actions);
  void RunIsolated(SupervisorStep& step, SupervisorActions& actions);
  void MaybeHedge(SupervisorStep& step, SupervisorActions& actions);
  void FailAttempt(SupervisorStep& step,
                   std::uint32_t id,
                   AttemptOutcome outcome,
                   SupervisorActions& actions);
  void ReportServerCrash(SupervisorStep& step,
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
  /// Cancels all attempts and ends the request without a result, because the
  /// caller has disconnected.
  void Stop(SupervisorStep& step, SupervisorActions& actions);
  void CloseIsolation(SupervisorStep& step,
                      bool survived,
                      SupervisorActions& actions);
  /// Schedules another try for an isolation claim, or refuses the request if it
  /// has waited for `isolation_timeout`.
  void WaitForIsolation(SupervisorStep& step, SupervisorActions& actions);
  /// Cancels all attempts and ends the request with an error.
  void Refuse(SupervisorStep& step,
              ErrorCode code,
              std::string message,
              Duration retry_after,
              SupervisorActions& actions);

  SupervisorSettings settings_;
  SupervisedRequest request_;
  std::vector<Attempt> live_attempts_;
  std::optional<Isolation> isolation_;
  std::optional<MonoTime> isolation_requested_at_;
  std::optional<MonoTime> copy_wait_ends_at_;
  /// Time of the next attempt, or end of the wait for an isolation claim.
  std::optional<MonoTime> next_step_at_;
  std::optional<MonoTime> disconnect_grace_until_;
  MonoTime hedge_at_ = MonoTime::max();
  std::uint32_t delivered_ = 0;
  std::uint32_t attempts_started_ = 0;
  std::uint32_t attempts_without_token_ = 0;
  /// Attempts that may have run, at least in part.
  std::uint32_t possibly_run_ = 0;
  bool fresh_connection_ = false;
  bool finished_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_REQUEST_SUPERVISOR_H_
