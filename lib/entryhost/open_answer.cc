#include "open_answer.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "mangoport/entryhost/config_service.h"
#include "mangoport/metrics/host_metrics.h"
#include "xxhash.h"

namespace mangoport {
namespace {

using std::chrono::steady_clock;

/// Size in bytes of the prompt prefix used to look up an engine's prefix cache.
constexpr std::size_t kPrefixBytes = 256;

}  // namespace

OpenAnswer::OpenAnswer(CallerServices& services,
                       Exchange exchange,
                       CallerCompletion completion,
                       std::shared_ptr<BudgetCharge> charge)
    : services_(services),
      exchange_(std::move(exchange)),
      completion_(std::move(completion)),
      charge_(std::move(charge)),
      stream_(services.completions, MakeRequest()) {}

OpenAnswer::~OpenAnswer() {
  const AccountId& account = exchange_.identity.account;
  services_.metrics->CountTokens(account, tokens());
  services_.metrics->CountRequest(account, exchange_.surface, outcome_);
  // No refund if the engine has generated more tokens than requested.
  const std::uint32_t used = std::min(tokens(), completion_.max_tokens);
  charge_->Settle(may_have_run_ ? completion_.max_tokens - used
                                : WorstCaseTokens(completion_));
}

CompletionStep OpenAnswer::Next(const KeyEvidence& evidence) {
  CompletionStep step = stream_.Next();
  const MonoTime now = steady_clock::now();
  if (step.kind == CompletionStep::Kind::kToken)
    NoteToken(now);
  if (step.kind == CompletionStep::Kind::kError) {
    may_have_run_ = may_have_run_ || !step.error.not_run;
    outcome_ = ErrorCodeName(step.error.code);
    return step;
  }
  if (!StillValid(now, *services_.config->view(), evidence,
                  exchange_.identity)) {
    step.kind = CompletionStep::Kind::kError;
    step.error = {ErrorCode::kUnauthorized, "the key was withdrawn", false};
    outcome_ = ErrorCodeName(step.error.code);
    return step;
  }
  if (step.kind == CompletionStep::Kind::kEnd)
    outcome_ = "ok";
  return step;
}

CompletionRequest OpenAnswer::MakeRequest() const {
  CompletionRequest run;
  run.request = exchange_.request;
  run.account = exchange_.identity.account;
  run.model = completion_.model;
  run.adapter = completion_.adapter;
  run.prompt = completion_.prompt;
  run.max_tokens = completion_.max_tokens;
  run.prefix_hash =
      XXH3_64bits(run.prompt.data(), std::min(run.prompt.size(), kPrefixBytes));
  run.deadline = exchange_.arrived + services_.settings.limits.request_timeout;
  return run;
}

void OpenAnswer::NoteToken(MonoTime now) {
  may_have_run_ = true;
  if (last_token_ == MonoTime()) {
    services_.metrics->ObserveFirstToken(now - exchange_.arrived);
  } else {
    services_.metrics->ObserveTokenGap(now - last_token_);
  }
  last_token_ = now;
}

}  // namespace mangoport
