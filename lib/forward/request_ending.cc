// How a request of a caller ends: its answer, its failure, and its log line.
#include <array>
#include <charconv>
#include <random>
#include <string>
#include <string_view>
#include <utility>

#include "lib/forward/request_exchange.h"
#include "mangoport/forward/wait_policy.h"

namespace mangoport {
namespace {

/// Least time to which a refused caller is told to come back.
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(500);
/// A caller that is late to take its answer takes some of it in this time.
constexpr Duration kSlowCallerTime = std::chrono::seconds(5);
/// How a request ends whose caller has left.
constexpr std::string_view kCallerGone = "caller_gone";
/// Spread of the times at which refused callers come back.
constexpr double kRetrySpread = 0.5;

MonoTime Now() {
  return std::chrono::steady_clock::now();
}

std::string FormatSeconds(Duration time) {
  const double seconds = std::chrono::duration<double>(time).count();
  std::array<char, 32> digits;
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), seconds,
                    std::chars_format::fixed, /*precision=*/2);
  return std::string(digits.data(), end.ptr);
}

std::string_view KindName(RouteKind kind) {
  switch (kind) {
    case RouteKind::kIdempotent:
      return "idempotent";
    case RouteKind::kRunOnce:
      return "run_once";
    case RouteKind::kStream:
      return "stream";
  }
  return "unknown";
}

}  // namespace

void RequestExchange::Refuse(MonoTime now, const Verdict& verdict) {
  // "Not run" is promised only if it is true.
  const bool may_have_run = runs_ > 0;
  Verdict out = verdict;
  if (may_have_run && (out.status == 503 || out.status == 429))
    out.status = 502;
  if (answer_begun_) {
    Break(now, verdict.reason);
    return;
  }
  OwnAnswer answer;
  answer.status = out.status;
  if (out.status == 503 || out.status == 429) {
    const Duration least = out.retry_after.value_or(kDefaultRetryAfter);
    const double spread =
        std::uniform_real_distribution<>(0, kRetrySpread)(host_.random_);
    answer.fields.push_back(
        {"Retry-After",
         FormatSeconds(least +
                       std::chrono::duration_cast<Duration>(least * spread))});
  }
  if (!request_id_.empty())
    answer.fields.push_back({host_.dialect_.request_id, request_id_});
  answer.body = "{\"error\":{\"code\":\"" + std::string(out.reason) +
                "\",\"not_run\":" + (may_have_run ? "false" : "true") + "}}";
  host_.parts_.metrics.OnRefusal(out.reason);
  last_end_ = out.reason;
  session_->Answer(answer);
  Finish(now, out.status >= 500 && may_have_run ? "failed" : "refused",
         out.status);
}

void RequestExchange::Break(MonoTime now, std::string_view reason) {
  last_end_ = reason;
  session_->Break();
  Finish(now, "broken_off", answer_.status);
}

void RequestExchange::ArmDeadline(MonoTime due) {
  deadline_timer_ =
      host_.parts_.timers.Add(due, [self = shared_from_this()](MonoTime now) {
        self->deadline_timer_ = TimerQueue::kNoTicket;
        self->OnDeadline(now);
      });
}

void RequestExchange::OnDeadline(MonoTime now) {
  // An answer that waits only for its caller is delivered, also late.
  if (answer_.in_pieces && IsTakingAnswer()) {
    ArmDeadline(now + kSlowCallerTime);
    return;
  }
  GiveUp(now, "deadline");
}

bool RequestExchange::IsTakingAnswer() {
  const auto unsent = static_cast<std::int64_t>(session_->unsent());
  const std::int64_t taken = static_cast<std::int64_t>(bytes_passed_) - unsent;
  return std::exchange(bytes_taken_, taken) != taken && unsent > 0;
}

void RequestExchange::OnHostStopping(MonoTime now) {
  if (!done_ && (waiting_ || held_))
    GiveUp(now, "stopping");
}

void RequestExchange::OnHostEnding(MonoTime now) {
  GiveUp(now, "stopping");
}

void RequestExchange::GiveUp(MonoTime now, std::string_view reason) {
  if (done_)
    return;
  CancelAttempt(now, reason);
  if (answer_begun_) {
    Break(now, reason);
    return;
  }
  Refuse(now, {.status = runs_ > 0 ? 504 : 503, .reason = reason});
}

void RequestExchange::CancelAttempt(MonoTime now, std::string_view reason) {
  if (!connection_)
    return;
  // A request that is still connecting has provably not run.
  if (connection_->request_sent())
    ++runs_;
  std::exchange(connection_, nullptr)->Cancel();
  LogAttempt(now, reason);
  FinishAttempt(now, AttemptOutcome::kCancelled);
}

void RequestExchange::OnCallerDisconnected() {
  if (done_)
    return;
  const MonoTime now = Now();
  CancelAttempt(now, kCallerGone);
  Finish(now, kCallerGone, 0);
}

void RequestExchange::Finish(MonoTime now,
                             std::string_view outcome,
                             int status) {
  if (done_)
    return;
  done_ = true;
  DropSuccessor(now, "not_needed", AttemptOutcome::kCancelled);
  TimerQueue& timers = host_.parts_.timers;
  timers.Cancel(deadline_timer_);
  timers.Cancel(silence_timer_);
  timers.Cancel(wait_timer_);
  EndHold();
  if (std::exchange(waiting_, false))
    --use_->waiting;
  if (charged_ && runs_ == 0 &&
      (outcome == "refused" || outcome == kCallerGone))
    host_.parts_.quota.Refund(now, account_->id, charge_);
  const std::string_view kind = route_ ? KindName(route_->kind) : "none";
  const AccountId account = account_ ? account_->id : AccountId();
  host_.parts_.metrics.OnRequest(kind, account, outcome,
                                 now - request_.arrived);
  std::string_view route_name;
  if (route_)
    route_name = route_->name;
  LogLine line("request");
  line.Add("id", request_id_)
      .Add("outcome", outcome)
      .Add("status", status)
      .Add("reason", last_end_)
      .Add("route", route_name)
      .Add("kind", kind)
      .Add("account", account.value())
      .Add("model", routing_.model.value())
      .Add("server", server_.value())
      .Add("sends", sends_)
      .Add("runs", runs_)
      .Add("events", events_passed_)
      .Add("config_version", config_ ? config_->version() : 0)
      .Add("total_ms", now - request_.arrived);
  if (answer_.in_pieces)
    line.Add("bytes", bytes_passed_);
  if (first_event_at_)
    line.Add("first_event_ms", *first_event_at_ - request_.arrived);
  if (route_)
    line.Add("left_ms", deadline_ - now);
  if (outcome != "served")
    AddCircumstances(now, line);
  host_.parts_.log.Write(line);
}

void RequestExchange::AddCircumstances(MonoTime now, LogLine& line) const {
  line.Add("stopping", host_.refuses_new_)
      .Add("config_age_ms", now - host_.config_since_);
  if (sends_ == 0)
    return;
  line.Add("server_silent_ms", host_.parts_.backends.SilentFor(now, server_));
  AddAges(now, line);
}

MonoTime RequestExchange::CallerLeaves() const {
  return CallerLeavesAt(deadline_, last_event_at_, route_->stall_limit);
}

void RequestExchange::AddAges(MonoTime now, LogLine& line) const {
  line.Add("silent_ms", now - last_byte_at_)
      .Add("event_age_ms", now - last_event_at_)
      .Add("caller_left_ms", CallerLeaves() - now);
}

void RequestExchange::LogAttempt(MonoTime now, std::string_view end) const {
  LogLine line("attempt_ended");
  line.Add("id", request_id_)
      .Add("end", end)
      .Add("server", server_.value())
      .Add("status", answer_.status)
      .Add("events", events_passed_)
      .Add("after_ms", now - sent_at_)
      .Add("server_silent_ms", host_.parts_.backends.SilentFor(now, server_))
      .Add("left_ms", deadline_ - now);
  AddAges(now, line);
  host_.parts_.log.Write(line);
}

void RequestExchange::LogStaleAnswer(const HttpHead& head,
                                     const ServerId& server) const {
  host_.parts_.log.Write(
      LogLine("stale_answer")
          .Add("id", request_id_)
          .Add("answer_to", FieldText(head.fields, host_.dialect_.request_id))
          .Add("status", head.status)
          .Add("server", server.value()));
}

}  // namespace mangoport
