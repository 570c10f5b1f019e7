// How a supervised request that is suspected of crashing backend servers gets
// one of them for itself.
#include "mangoport/routing/request_supervisor.h"

namespace mangoport {
namespace {

/// Suggested delay before the caller sends a refused request again.
constexpr Duration kRetryAfterIsolationFailure = std::chrono::seconds(1);
/// Validity of the claim of a request that stays isolated until it ends.
constexpr Duration kFullRunIsolationLease = std::chrono::seconds(60);

}  // namespace

void RequestSupervisor::StartIsolationClaim(SupervisorStep& step,
                                            bool isolated_until_end,
                                            SupervisorActions& actions) {
  Error refusal;
  Duration retry_after{};
  const std::optional<ServerId> server =
      PickServer(step, /*isolated=*/true, refusal, retry_after);
  if (!isolation_requested_at_)
    isolation_requested_at_ = step.now;
  if (!server) {
    WaitForIsolation(step, actions);
    return;
  }
  // Other suspects of this host choose other servers while the claim is
  // pending.
  step.state.router.Reserve(
      *server, step.now + settings_.claim_timeout + settings_.isolation_lead);
  isolation_ =
      Isolation{.server = *server, .isolated_until_end = isolated_until_end};
  next_step_at_ = step.now + settings_.claim_timeout;
  actions.emplace_back(
      ClaimIsolation{.server = *server,
                     .lease = isolated_until_end ? kFullRunIsolationLease
                                                 : settings_.isolation_lease});
}

void RequestSupervisor::WaitForIsolation(SupervisorStep& step,
                                         SupervisorActions& actions) {
  if (step.now - *isolation_requested_at_ < settings_.isolation_timeout) {
    next_step_at_ = step.now + settings_.isolation_lead;
    return;
  }
  Refuse(step, ErrorCode::kUnavailable,
         "this request ran on a backend server that crashed, and cannot be "
         "isolated now",
         kRetryAfterIsolationFailure, actions);
}

SupervisorActions RequestSupervisor::OnIsolation(SupervisorStep step,
                                                 bool granted) {
  SupervisorActions actions;
  if (finished_ || !isolation_ || isolation_->granted)
    return actions;
  if (!granted) {
    step.state.router.Unreserve(isolation_->server);
    isolation_.reset();
    WaitForIsolation(step, actions);
    return actions;
  }
  isolation_->granted = true;
  next_step_at_ = step.now + settings_.isolation_lead;
  return actions;
}

void RequestSupervisor::RunIsolated(SupervisorStep& step,
                                    SupervisorActions& actions) {
  next_step_at_.reset();
  const Assessment assessment = AssessRequest(step);
  const bool usable = assessment.level <= SuspicionLevel::kSuspect &&
                      !step.state.router.IsLeaving(isolation_->server);
  if (usable) {
    StartOn(step, isolation_->server, /*isolated=*/true, actions);
    return;
  }
  CloseIsolation(step, /*survived=*/false, actions);
  TryDispatch(step, actions);
}

void RequestSupervisor::CloseIsolation(SupervisorStep& step,
                                       bool survived,
                                       SupervisorActions& actions) {
  if (!isolation_)
    return;
  step.state.router.Unreserve(isolation_->server);
  isolation_.reset();
  actions.emplace_back(EndIsolation{.survived = survived});
}

}  // namespace mangoport
