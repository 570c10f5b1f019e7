#include "mangoport/entryhost/completion_stream.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "mangoport/metrics/host_metrics.h"

namespace mangoport {
namespace {

using std::chrono::steady_clock;

/// Interval at which a pending isolation claim is checked.
constexpr Duration kClaimPoll = std::chrono::milliseconds(20);
/// A server whose stream broke and that does not answer a health check within
/// this time is considered dead.
constexpr Duration kAliveProbe = std::chrono::milliseconds(300);

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

/// Reads one engine's stream into the inbox on a separate thread. The thread
/// ends at the latest when the connection has been idle for the longer of the
/// call's timeouts.
void StartReader(std::shared_ptr<EngineClient> engines,
                 Endpoint endpoint,
                 CompletionCall call,
                 std::shared_ptr<AttemptInbox> inbox,
                 std::uint32_t attempt) {
  std::thread([engines = std::move(engines), endpoint = std::move(endpoint),
               call = std::move(call), inbox = std::move(inbox), attempt] {
    inbox->End(attempt,
               engines->Complete(endpoint, call, [&](const TokenEvent& event) {
                 return inbox->Push(attempt, event);
               }));
  }).detach();
}

SupervisorSettings SettingsFrom(const BackendTimeouts& timeouts) {
  SupervisorSettings settings;
  settings.first_token_timeout = timeouts.first_token;
  settings.between_tokens_timeout = timeouts.between_tokens;
  return settings;
}

SupervisedRequest SupervisedFrom(const CompletionContext& context,
                                 const CompletionRequest& request) {
  SupervisedRequest supervised;
  supervised.route.request = request.request;
  supervised.route.account = request.account;
  supervised.route.model = request.model;
  supervised.route.adapter = request.adapter;
  supervised.route.prefix_hash = request.prefix_hash;
  supervised.route.own_zone = context.backends->own_zone();
  supervised.route.deadline = request.deadline;
  supervised.fingerprint = FingerprintOf(
      {request.account, request.model, request.adapter, request.prompt});
  supervised.sketch = SketchOf(request.prompt);
  supervised.deadline = request.deadline;
  return supervised;
}

}  // namespace

CompletionStream::CompletionStream(CompletionContext context,
                                   CompletionRequest request)
    : context_(std::move(context)),
      request_(std::move(request)),
      fingerprint_(FingerprintOf({request_.account, request_.model,
                                  request_.adapter, request_.prompt})),
      supervisor_(SettingsFrom(context_.timeouts),
                  SupervisedFrom(context_, request_)) {}

CompletionStream::~CompletionStream() {
  if (!started_)
    return;
  Decide([this](SupervisorStep step) {
    return supervisor_.OnCallerDisconnected(step);
  });
  while (!supervisor_.finished())
    Advance();
}

CompletionStep CompletionStream::Next() {
  if (!started_) {
    started_ = true;
    Decide([this](SupervisorStep step) { return supervisor_.Start(step); });
  }
  while (steps_.empty())
    Advance();
  CompletionStep step = std::move(steps_.front());
  steps_.pop_front();
  return step;
}

void CompletionStream::Decide(const Decision& decision) {
  SupervisorActions actions;
  context_.backends->WithRouting(
      [&](SupervisorStep step) { actions = decision(step); });
  for (const SupervisorAction& it : actions)
    std::visit([this](const auto& action) { Do(action); }, it);
}

void CompletionStream::Advance() {
  const bool awaits_claim = claim_ != 0 && !claim_answered_;
  if (awaits_claim && AnswerClaim())
    return;
  MonoTime wake = supervisor_.NextTimer();
  if (awaits_claim)
    wake = std::min(wake, steady_clock::now() + kClaimPoll);
  const AttemptInbox::Item item = inbox_->WaitUntil(wake);
  if (item.kind == AttemptInbox::Kind::kEvent)
    return OnEvent(item.attempt, item.event);
  if (item.kind == AttemptInbox::Kind::kEnded)
    return OnEnded(item.attempt, item.result);
  if (steady_clock::now() >= supervisor_.NextTimer())
    Decide([this](SupervisorStep step) { return supervisor_.OnTimer(step); });
}

bool CompletionStream::AnswerClaim() {
  const std::optional<bool> holds = context_.quarantine->ClaimAnswer(claim_);
  if (!holds)
    return false;
  claim_answered_ = true;
  Decide([this, granted = *holds](SupervisorStep step) {
    return supervisor_.OnIsolation(step, granted);
  });
  return true;
}

void CompletionStream::OnEvent(std::uint32_t attempt, const TokenEvent& event) {
  Decide([&](SupervisorStep step) {
    return event.finished
               ? supervisor_.OnFinal(step, attempt, event.request, event.tokens)
               : supervisor_.OnToken(step, attempt, event.request, event.index,
                                     event.text);
  });
  if (event.finished && supervisor_.finished()) {
    inbox_->Close(attempt);
    context_.metrics->CountAttempt(OutcomeName(AttemptOutcome::kCompleted));
  }
}

void CompletionStream::OnEnded(std::uint32_t attempt,
                               const CompletionResult& result) {
  const AttemptOutcome outcome = OutcomeOf(attempt, result);
  inbox_->Close(attempt);
  context_.metrics->CountAttempt(OutcomeName(outcome));
  Decide([&](SupervisorStep step) {
    return supervisor_.OnAttemptFailed(step, attempt, outcome);
  });
}

AttemptOutcome CompletionStream::OutcomeOf(
    std::uint32_t attempt,
    const CompletionResult& result) const {
  switch (result.status) {
    case CompletionStatus::kNotSent:
      return AttemptOutcome::kConnectFailed;
    case CompletionStatus::kRefused:
      return AttemptOutcome::kRefusedBusy;
    case CompletionStatus::kCancelled:
      return AttemptOutcome::kCancelled;
    case CompletionStatus::kComplete:
    case CompletionStatus::kBroken:
      break;
  }
  const bool alive =
      context_.engines->Report(endpoints_.at(attempt), kAliveProbe).has_value();
  return alive ? AttemptOutcome::kConnectionLost : AttemptOutcome::kServerDied;
}

void CompletionStream::Do(const StartAttempt& action) {
  inbox_->Open(action.attempt);
  const std::optional<Endpoint> endpoint =
      context_.backends->EndpointOf(action.server);
  if (!endpoint) {
    inbox_->End(action.attempt,
                {CompletionStatus::kNotSent, "the backend server is gone"});
    return;
  }
  endpoints_[action.attempt] = *endpoint;
  CompletionCall call;
  call.request = request_.request;
  call.model = request_.model;
  call.adapter = request_.adapter;
  call.prompt = request_.prompt;
  call.max_tokens = request_.max_tokens;
  call.priority = request_.priority;
  call.resume_from = action.resume_from;
  call.connect_timeout = context_.timeouts.connect;
  call.first_token_timeout = context_.timeouts.first_token;
  call.between_tokens_timeout = context_.timeouts.between_tokens;
  StartReader(context_.engines, *endpoint, std::move(call), inbox_,
              action.attempt);
}

void CompletionStream::Do(const CancelAttempt& action) {
  inbox_->Close(action.attempt);
  context_.metrics->CountAttempt(OutcomeName(action.drop_connection
                                                 ? AttemptOutcome::kTimedOut
                                                 : AttemptOutcome::kCancelled));
  const auto endpoint = endpoints_.find(action.attempt);
  if (endpoint == endpoints_.end())
    return;
  // Cancel by request id, because the connection of the stream may be
  // unresponsive.
  std::thread([engines = context_.engines, endpoint = endpoint->second,
               request = request_.request] {
    engines->Cancel(endpoint, request);
  }).detach();
}

void CompletionStream::Do(const DeliverToken& action) {
  steps_.push_back({CompletionStep::Kind::kToken, action.text, {}, {}});
}

void CompletionStream::Do(const ClaimIsolation& action) {
  claim_ =
      context_.quarantine->Claim(fingerprint_, action.server, action.lease);
  claim_answered_ = false;
}

void CompletionStream::Do(const EndIsolation& action) {
  context_.quarantine->End(fingerprint_, claim_, action.survived);
  claim_ = 0;
}

void CompletionStream::Do(const ClearSuspicion& /*action*/) {
  context_.quarantine->End(fingerprint_, /*number=*/0, /*survived=*/true);
}

void CompletionStream::Do(const SendCrashReport& action) {
  context_.quarantine->Report(action.report);
}

void CompletionStream::Do(const FinishRequest& action) {
  CompletionStep step;
  step.kind = action.complete ? CompletionStep::Kind::kEnd
                              : CompletionStep::Kind::kError;
  step.error = action.error;
  step.retry_after = action.retry_after;
  steps_.push_back(std::move(step));
}

}  // namespace mangoport
