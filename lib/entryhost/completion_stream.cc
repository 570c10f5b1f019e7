#include "mangoport/entryhost/completion_stream.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "mangoport/metrics/host_metrics.h"

namespace mangoport {
namespace {

using std::chrono::steady_clock;

/// Attempts of one request, over all backend servers.
constexpr std::uint32_t kMaxAttempts = 3;

AttemptOutcome OutcomeOf(const CompletionResult& result) {
  switch (result.status) {
    case CompletionStatus::kComplete:
      return AttemptOutcome::kCompleted;
    case CompletionStatus::kNotSent:
      return AttemptOutcome::kConnectFailed;
    case CompletionStatus::kRefused:
      return AttemptOutcome::kRefusedBusy;
    case CompletionStatus::kBroken:
      return AttemptOutcome::kConnectionLost;
    case CompletionStatus::kCancelled:
      return AttemptOutcome::kCancelled;
  }
  return AttemptOutcome::kConnectionLost;
}

std::string_view OutcomeName(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kCompleted:
      return "completed";
    case AttemptOutcome::kCancelled:
      return "cancelled";
    case AttemptOutcome::kRefusedLeaving:
      return "refused_leaving";
    case AttemptOutcome::kRefusedBusy:
      return "refused";
    case AttemptOutcome::kConnectFailed:
      return "connect_failed";
    case AttemptOutcome::kTimedOut:
      return "timed_out";
    case AttemptOutcome::kConnectionLost:
      return "connection_lost";
    case AttemptOutcome::kServerDied:
      return "server_died";
    case AttemptOutcome::kInvalidAnswer:
      return "invalid_answer";
  }
  return "unknown";
}

/// Reads one engine's stream into the channel on a thread of its own. The
/// thread ends by itself at the latest when the connection has been silent for
/// the longer of the call's timeouts.
void StartReader(std::shared_ptr<EngineClient> engines,
                 Endpoint endpoint,
                 CompletionCall call,
                 std::shared_ptr<EventChannel> channel) {
  std::thread([engines = std::move(engines), endpoint = std::move(endpoint),
               call = std::move(call), channel = std::move(channel)] {
    channel->End(engines->Complete(
        endpoint, call,
        [&channel](const TokenEvent& event) { return channel->Push(event); }));
  }).detach();
}

}  // namespace

CompletionStream::CompletionStream(CompletionContext context,
                                   CompletionRequest request)
    : context_(std::move(context)), request_(std::move(request)) {}

CompletionStream::~CompletionStream() {
  if (attempt_)
    EndAttempt(steady_clock::now(), AttemptOutcome::kCancelled);
}

CompletionStep CompletionStream::Next() {
  while (true) {
    MonoTime now = steady_clock::now();
    if (now >= request_.deadline) {
      if (attempt_)
        EndAttempt(now, AttemptOutcome::kTimedOut);
      return Fail(ErrorCode::kDeadlineExceeded, "the request's time is over");
    }
    if (!attempt_) {
      if (std::optional<CompletionStep> step = StartAttempt(now))
        return *step;
    }
    const EventChannel::Item item = attempt_->WaitUntil(ProgressDeadline(now));
    now = steady_clock::now();
    if (item.status == EventChannel::WaitStatus::kTimeout) {
      EndAttempt(now, AttemptOutcome::kTimedOut);
      continue;
    }
    if (item.status == EventChannel::WaitStatus::kEnded) {
      EndAttempt(now, OutcomeOf(item.result));
      continue;
    }
    if (std::optional<CompletionStep> step = TakeEvent(now, item.event))
      return *step;
  }
}

std::optional<CompletionStep> CompletionStream::StartAttempt(MonoTime now) {
  if (attempts_ >= kMaxAttempts)
    return Fail(ErrorCode::kUnavailable,
                "no backend server gave a whole answer");
  RouteRequest route;
  route.request = request_.request;
  route.account = request_.account;
  route.model = request_.model;
  route.adapter = request_.adapter;
  route.prefix_hash = request_.prefix_hash;
  route.excluded = excluded_;
  route.deadline = request_.deadline;
  RouteChoice choice = context_.backends->Choose(now, route);
  if (!choice.server && !excluded_.empty()) {
    // A connection may have gone silent while new ones to the same server
    // work, so a server that failed is better than none.
    route.excluded.clear();
    choice = context_.backends->Choose(now, route);
  }
  if (!choice.server) {
    CompletionStep step = Fail(choice.refusal.code, choice.refusal.message);
    step.retry_after = choice.retry_after;
    return step;
  }
  const std::optional<Endpoint> endpoint =
      context_.backends->EndpointOf(*choice.server);
  if (!endpoint)
    return Fail(ErrorCode::kUnavailable, "the chosen backend server is gone");
  CompletionCall call;
  call.request = request_.request;
  call.model = request_.model;
  call.adapter = request_.adapter;
  call.prompt = request_.prompt;
  call.max_tokens = request_.max_tokens;
  call.priority = request_.priority;
  call.resume_from = next_index_;
  call.connect_timeout = context_.timeouts.connect;
  call.first_token_timeout = context_.timeouts.first_token;
  call.between_tokens_timeout = context_.timeouts.between_tokens;
  server_ = *choice.server;
  ++attempts_;
  attempt_started_ = now;
  attempt_ = std::make_shared<EventChannel>();
  context_.backends->OnDispatched(now, server_);
  StartReader(context_.engines, *endpoint, std::move(call), attempt_);
  return std::nullopt;
}

std::optional<CompletionStep> CompletionStream::TakeEvent(
    MonoTime now,
    const TokenEvent& event) {
  const bool matches = event.request == request_.request &&
                       (event.finished ? event.tokens == next_index_
                                       : event.index == next_index_);
  if (!matches) {
    EndAttempt(now, AttemptOutcome::kInvalidAnswer);
    return std::nullopt;
  }
  if (event.finished) {
    EndAttempt(now, AttemptOutcome::kCompleted);
    return CompletionStep{CompletionStep::Kind::kEnd, "", {}, {}};
  }
  if (next_index_ == 0)
    context_.backends->OnFirstToken(now, server_);
  ++next_index_;
  return CompletionStep{CompletionStep::Kind::kToken, event.text, {}, {}};
}

void CompletionStream::EndAttempt(MonoTime now, AttemptOutcome outcome) {
  attempt_->Abandon();
  attempt_.reset();
  context_.metrics->CountAttempt(OutcomeName(outcome));
  context_.backends->OnFinished(now, server_, outcome, now - attempt_started_);
  if (outcome == AttemptOutcome::kCompleted)
    return;
  may_have_run_ = may_have_run_ || !ProvesNotRun(outcome);
  excluded_.push_back(server_);
}

CompletionStep CompletionStream::Fail(ErrorCode code, std::string message) {
  CompletionStep step;
  step.kind = CompletionStep::Kind::kError;
  step.error = {code, std::move(message), !may_have_run_};
  return step;
}

MonoTime CompletionStream::ProgressDeadline(MonoTime now) const {
  const Duration silence = next_index_ == 0 ? context_.timeouts.first_token
                                            : context_.timeouts.between_tokens;
  return std::min(now + silence, request_.deadline);
}

}  // namespace mangoport
