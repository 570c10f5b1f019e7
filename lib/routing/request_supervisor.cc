#include "mangoport/routing/request_supervisor.h"

#include <algorithm>
#include <utility>

#include "mangoport/core/invariant.h"
#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

/// Suggested delay before the caller sends a refused request again.
constexpr Duration kRetryAfterFailure = std::chrono::seconds(1);

std::int64_t ToMillis(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

}  // namespace

RequestSupervisor::RequestSupervisor(SupervisorSettings settings,
                                     SupervisedRequest request)
    : settings_(settings), request_(std::move(request)) {}

SupervisorActions RequestSupervisor::Start(SupervisorStep step) {
  SupervisorActions actions;
  step.state.retries.OnRequest(step.now, request_.route.account);
  step.state.hedges.OnRequest(step.now, request_.route.account);
  TryDispatch(step, actions);
  return actions;
}

Assessment RequestSupervisor::AssessRequest(const SupervisorStep& step) const {
  const QuarantineFold& fold = step.state.quarantine;
  if (!fold.NeedsAssessment(request_.fingerprint.account))
    return Assessment{};
  return fold.Assess(step.wall, request_.fingerprint, request_.sketch);
}

void RequestSupervisor::TryDispatch(SupervisorStep& step,
                                    SupervisorActions& actions) {
  next_step_at_.reset();
  const Assessment assessment = AssessRequest(step);
  if (assessment.level == SuspicionLevel::kQuarantined &&
      !MutantEnabled("quarantine_ignored")) {
    Refuse(step, ErrorCode::kQuarantined,
           "this request crashed backend servers", assessment.until - step.wall,
           actions);
    return;
  }
  if (assessment.level == SuspicionLevel::kHeld) {
    Refuse(step, ErrorCode::kUnavailable,
           "this request ran on backend servers that crashed",
           assessment.until - step.wall, actions);
    return;
  }
  if (assessment.level == SuspicionLevel::kSuspect &&
      !MutantEnabled("suspects_share")) {
    StartIsolationClaim(step, assessment.isolated_until_end, actions);
    return;
  }
  if (JoinUnprovenCopy(step, actions))
    return;
  Error refusal;
  Duration retry_after{};
  const std::optional<ServerId> server =
      PickServer(step, /*isolated=*/false, refusal, retry_after);
  if (!server) {
    Refuse(step, refusal.code, refusal.message, retry_after, actions);
    return;
  }
  StartOn(step, *server, /*isolated=*/false, actions);
}

bool RequestSupervisor::JoinUnprovenCopy(SupervisorStep& step,
                                         SupervisorActions& actions) {
  const std::optional<ServerId> server =
      step.state.watch.FindUnprovenCopy(request_.fingerprint);
  const std::vector<ServerId>& failed = request_.route.excluded;
  if (!server || MutantEnabled("copies_spread") ||
      std::find(failed.begin(), failed.end(), *server) != failed.end())
    return false;
  if (step.state.router.Accepts(step.now, request_.route, *server)) {
    StartOn(step, *server, /*isolated=*/false, actions);
    return true;
  }
  if (!copy_wait_ends_at_)
    copy_wait_ends_at_ = step.now + settings_.copy_wait_timeout;
  if (step.now >= *copy_wait_ends_at_)
    return false;
  next_step_at_ = step.now + settings_.retry_backoff;
  return true;
}

std::optional<ServerId> RequestSupervisor::PickServer(SupervisorStep& step,
                                                      bool isolated,
                                                      Error& refusal,
                                                      Duration& retry_after) {
  Router& router = step.state.router;
  RouteRequest route = request_.route;
  route.isolated = isolated;
  if (attempts_started_ > 0)
    route.deadline = request_.deadline;
  RouteChoice choice = router.Choose(step.now, route);
  if (!choice.server && !route.excluded.empty()) {
    // All servers have failed this request; a second attempt at one of them is
    // better than none.
    route.excluded.clear();
    choice = router.Choose(step.now, route);
  }
  refusal = choice.refusal;
  retry_after = choice.retry_after;
  return choice.server;
}

void RequestSupervisor::StartOn(SupervisorStep& step,
                                const ServerId& server,
                                bool isolated,
                                SupervisorActions& actions) {
  CheckInvariant(!step.state.router.IsLeaving(server),
                 "a leaving backend server gets no new work",
                 [&server] { return "server " + server.value(); });
  CheckInvariant(request_.repeatable || possibly_run_ == 0,
                 "a request that may not be repeated is sent once",
                 [this] { return request_.route.request.value(); });
  Attempt attempt;
  attempt.id = ++attempts_started_;
  attempt.server = server;
  attempt.started_at = step.now;
  attempt.progress_due = step.now + settings_.first_token_timeout;
  attempt.isolated = isolated;
  attempt.ticket = step.state.watch.Begin(
      step.now, {server, request_.fingerprint, request_.sketch, isolated});
  ++possibly_run_;
  ++attempts_without_token_;
  step.state.router.OnDispatched(step.now, server);
  actions.emplace_back(StartAttempt{.attempt = attempt.id,
                                    .server = server,
                                    .resume_from = delivered_,
                                    .fresh_connection = fresh_connection_});
  const bool may_hedge = request_.repeatable && !isolated && delivered_ == 0 &&
                         live_attempts_.empty() &&
                         settings_.hedge_after > Duration::zero();
  hedge_at_ = may_hedge ? step.now + settings_.hedge_after : MonoTime::max();
  live_attempts_.push_back(std::move(attempt));
}

void RequestSupervisor::MaybeHedge(SupervisorStep& step,
                                   SupervisorActions& actions) {
  hedge_at_ = MonoTime::max();
  if (live_attempts_.size() != 1 || delivered_ > 0 || !request_.repeatable)
    return;
  if (AssessRequest(step).level != SuspicionLevel::kClear)
    return;
  RouteRequest route = request_.route;
  route.deadline = request_.deadline;
  route.excluded.push_back(live_attempts_.front().server);
  const RouteChoice choice = step.state.router.Choose(step.now, route);
  if (!choice.server ||
      !step.state.hedges.TryTake(step.now, request_.route.account))
    return;
  StartOn(step, *choice.server, /*isolated=*/false, actions);
}

RequestSupervisor::Attempt* RequestSupervisor::FindLive(std::uint32_t attempt) {
  const auto it = std::find_if(
      live_attempts_.begin(), live_attempts_.end(),
      [attempt](const Attempt& live) { return live.id == attempt; });
  return it == live_attempts_.end() ? nullptr : &*it;
}

SupervisorActions RequestSupervisor::OnToken(SupervisorStep step,
                                             std::uint32_t attempt,
                                             const RequestId& request,
                                             std::uint32_t index,
                                             std::string text) {
  SupervisorActions actions;
  Attempt* live = FindLive(attempt);
  if (finished_ || live == nullptr)
    return actions;
  const bool id_matches = request == request_.route.request ||
                          MutantEnabled("request_id_unchecked");
  const bool index_matches =
      index == delivered_ || MutantEnabled("index_unchecked");
  if (!id_matches || !index_matches) {
    FailAttempt(step, attempt, AttemptOutcome::kInvalidAnswer, actions);
    return actions;
  }
  CancelOthers(step, attempt, actions);
  live = FindLive(attempt);
  if (live->tokens == 0)
    step.state.router.OnFirstToken(step.now, live->server);
  ++live->tokens;
  attempts_without_token_ = 0;
  live->progress_due = step.now + settings_.between_tokens_timeout;
  if (live->tokens == settings_.proven_tokens)
    MarkProven(step, *live, actions);
  ++delivered_;
  hedge_at_ = MonoTime::max();
  if (!disconnect_grace_until_) {
    actions.emplace_back(DeliverToken{.index = index, .text = std::move(text)});
    return actions;
  }
  if (live->tokens >= settings_.proven_tokens)
    Stop(step, actions);
  return actions;
}

void RequestSupervisor::MarkProven(SupervisorStep& step,
                                   Attempt& attempt,
                                   SupervisorActions& actions) {
  const bool stays_isolated =
      attempt.isolated && isolation_ && isolation_->isolated_until_end;
  step.state.watch.MarkProven(step.now, attempt.ticket, stays_isolated);
  if (stays_isolated)
    return;
  // The request remains a suspect until it completes.
  if (attempt.isolated)
    CloseIsolation(step, /*survived=*/false, actions);
  attempt.isolated = false;
}

SupervisorActions RequestSupervisor::OnFinal(SupervisorStep step,
                                             std::uint32_t attempt,
                                             const RequestId& request,
                                             std::uint32_t tokens) {
  SupervisorActions actions;
  Attempt* live = FindLive(attempt);
  if (finished_ || live == nullptr)
    return actions;
  const bool complete_count =
      tokens == delivered_ || MutantEnabled("count_unchecked");
  if (request != request_.route.request || !complete_count) {
    FailAttempt(step, attempt, AttemptOutcome::kInvalidAnswer, actions);
    return actions;
  }
  CancelOthers(step, attempt, actions);
  CloseAttempt(step, live_attempts_.front(), AttemptOutcome::kCompleted);
  live_attempts_.clear();
  CloseIsolation(step, /*survived=*/true, actions);
  if (step.state.quarantine.HasEvidence(step.wall, request_.fingerprint)) {
    step.state.quarantine.Clear(request_.fingerprint, step.wall);
    actions.emplace_back(ClearSuspicion{});
  }
  finished_ = true;
  if (!disconnect_grace_until_)
    actions.emplace_back(
        FinishRequest{.complete = true, .error = {}, .tokens = delivered_});
  return actions;
}

void RequestSupervisor::CloseAttempt(SupervisorStep& step,
                                     const Attempt& attempt,
                                     AttemptOutcome outcome) {
  step.state.router.OnFinished(step.now, attempt.server, outcome,
                               step.now - attempt.started_at);
  if (outcome == AttemptOutcome::kCompleted || ProvesNotRun(outcome))
    step.state.watch.Discard(attempt.ticket);
  else
    step.state.watch.End(step.now, attempt.ticket);
  if (ProvesNotRun(outcome))
    --possibly_run_;
}

void RequestSupervisor::CancelOthers(SupervisorStep& step,
                                     std::uint32_t winner,
                                     SupervisorActions& actions) {
  for (const Attempt& it : live_attempts_) {
    if (it.id == winner)
      continue;
    CloseAttempt(step, it, AttemptOutcome::kCancelled);
    actions.emplace_back(CancelAttempt{.attempt = it.id, .server = it.server});
  }
  std::erase_if(live_attempts_,
                [winner](const Attempt& it) { return it.id != winner; });
}

SupervisorActions RequestSupervisor::OnAttemptFailed(SupervisorStep step,
                                                     std::uint32_t attempt,
                                                     AttemptOutcome outcome) {
  SupervisorActions actions;
  if (finished_ || FindLive(attempt) == nullptr)
    return actions;
  FailAttempt(step, attempt, outcome, actions);
  return actions;
}

void RequestSupervisor::ReportServerCrash(SupervisorStep& step,
                                          const ServerId& server,
                                          SupervisorActions& actions) {
  wire::CrashReport report;
  report.set_server(server.value());
  report.set_crashed_at_ms(ToMillis(step.wall));
  for (wire::Suspect& it : step.state.watch.OnServerDied(step.now, server))
    *report.add_suspects() = std::move(it);
  if (report.suspects().empty())
    return;
  step.state.quarantine.MergeReport(report);
  actions.emplace_back(SendCrashReport{std::move(report)});
}

void RequestSupervisor::FailAttempt(SupervisorStep& step,
                                    std::uint32_t id,
                                    AttemptOutcome outcome,
                                    SupervisorActions& actions) {
  const Attempt attempt = *FindLive(id);
  std::erase_if(live_attempts_,
                [id](const Attempt& it) { return it.id == id; });
  if (outcome == AttemptOutcome::kServerDied)
    ReportServerCrash(step, attempt.server, actions);
  CloseAttempt(step, attempt, outcome);
  // A copy whose connection is refused may detect the crash before the original
  // attempt does.
  const bool copy_crashed_server =
      outcome == AttemptOutcome::kConnectFailed &&
      step.state.watch.FindUnprovenCopy(request_.fingerprint) == attempt.server;
  if (copy_crashed_server)
    ReportServerCrash(step, attempt.server, actions);
  if (outcome == AttemptOutcome::kTimedOut ||
      outcome == AttemptOutcome::kInvalidAnswer)
    actions.emplace_back(CancelAttempt{
        .attempt = id, .server = attempt.server, .drop_connection = true});
  if (attempt.isolated)
    CloseIsolation(step, /*survived=*/false, actions);
  request_.route.excluded.push_back(attempt.server);
  if (live_attempts_.empty())
    Retry(step, outcome, actions);
}

void RequestSupervisor::Retry(SupervisorStep& step,
                              AttemptOutcome outcome,
                              SupervisorActions& actions) {
  if (disconnect_grace_until_) {
    Stop(step, actions);
    return;
  }
  fresh_connection_ = true;
  hedge_at_ = MonoTime::max();
  const bool not_run = possibly_run_ == 0;
  if (!request_.repeatable && !not_run && !MutantEnabled("repeats_anything")) {
    Refuse(step, ErrorCode::kOutcomeUnknown,
           "the backend server's answer was lost", Duration::zero(), actions);
    return;
  }
  // A graceful leave does not indicate overload, so the retry is not charged to
  // the budget.
  const bool exempt = outcome == AttemptOutcome::kRefusedLeaving;
  if (attempts_without_token_ >= settings_.max_attempts ||
      (!exempt &&
       !step.state.retries.TryTake(step.now, request_.route.account))) {
    const bool busy = outcome == AttemptOutcome::kRefusedBusy;
    Refuse(step, busy ? ErrorCode::kOverloaded : ErrorCode::kUnavailable,
           busy ? "backend servers are full" : "backend servers failed",
           kRetryAfterFailure, actions);
    return;
  }
  next_step_at_ = step.now + settings_.retry_backoff *
                                 (1 << std::min(attempts_without_token_, 4U));
}

void RequestSupervisor::Refuse(SupervisorStep& step,
                               ErrorCode code,
                               std::string message,
                               Duration retry_after,
                               SupervisorActions& actions) {
  CancelOthers(step, /*winner=*/0, actions);
  CloseIsolation(step, /*survived=*/false, actions);
  finished_ = true;
  next_step_at_.reset();
  if (disconnect_grace_until_)
    return;
  const bool not_run = possibly_run_ == 0 || MutantEnabled("not_run_untrue");
  actions.emplace_back(FinishRequest{.complete = false,
                                     .error = {.code = code,
                                               .message = std::move(message),
                                               .not_run = not_run},
                                     .retry_after = retry_after,
                                     .tokens = delivered_});
}

SupervisorActions RequestSupervisor::OnTimer(SupervisorStep step) {
  SupervisorActions actions;
  if (finished_)
    return actions;
  if (disconnect_grace_until_ && step.now >= *disconnect_grace_until_) {
    Stop(step, actions);
    return actions;
  }
  if (step.now >= request_.deadline) {
    Refuse(step, ErrorCode::kDeadlineExceeded, "the deadline has passed",
           Duration::zero(), actions);
    return actions;
  }
  // A copy, because `FailAttempt` changes `live_attempts_`.
  const std::vector<Attempt> checked = live_attempts_;
  for (const Attempt& it : checked) {
    if (!finished_ && step.now >= it.progress_due)
      FailAttempt(step, it.id, AttemptOutcome::kTimedOut, actions);
  }
  if (finished_)
    return actions;
  if (step.now >= hedge_at_)
    MaybeHedge(step, actions);
  if (!next_step_at_ || step.now < *next_step_at_)
    return actions;
  if (isolation_ && isolation_->granted) {
    RunIsolated(step, actions);
    return actions;
  }
  if (isolation_) {
    CloseIsolation(step, /*survived=*/false, actions);
    WaitForIsolation(step, actions);
    return actions;
  }
  TryDispatch(step, actions);
  return actions;
}

SupervisorActions RequestSupervisor::OnCallerDisconnected(SupervisorStep step) {
  SupervisorActions actions;
  if (finished_ || disconnect_grace_until_)
    return actions;
  const auto unproven = std::find_if(
      live_attempts_.begin(), live_attempts_.end(), [this](const Attempt& it) {
        return it.tokens < settings_.proven_tokens;
      });
  if (unproven == live_attempts_.end() || MutantEnabled("hang_up_forgotten")) {
    Stop(step, actions);
    return actions;
  }
  CancelOthers(step, unproven->id, actions);
  next_step_at_.reset();
  hedge_at_ = MonoTime::max();
  disconnect_grace_until_ = step.now + settings_.disconnect_grace;
  return actions;
}

void RequestSupervisor::Stop(SupervisorStep& step, SupervisorActions& actions) {
  CancelOthers(step, /*winner=*/0, actions);
  CloseIsolation(step, /*survived=*/false, actions);
  next_step_at_.reset();
  finished_ = true;
}

MonoTime RequestSupervisor::NextTimer() const {
  MonoTime next = std::min(request_.deadline, hedge_at_);
  if (disconnect_grace_until_)
    next = std::min(next, *disconnect_grace_until_);
  if (next_step_at_)
    next = std::min(next, *next_step_at_);
  for (const Attempt& it : live_attempts_)
    next = std::min(next, it.progress_due);
  return next;
}

}  // namespace mangoport
