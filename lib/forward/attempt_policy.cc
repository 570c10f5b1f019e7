#include "mangoport/forward/attempt_policy.h"

namespace mangoport {
namespace {

/// Attempts for one request, however many of them were refused.
constexpr std::uint32_t kMaxSends = 4;

/// With less time left another attempt would only waste a server's work.
constexpr Duration kLeastTimeLeft = std::chrono::milliseconds(20);

}  // namespace

std::string_view AttemptEndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kRefusedFull:
      return "refused_full";
    case AttemptEnd::kMisdirected:
      return "misdirected";
    case AttemptEnd::kNotConnected:
      return "not_connected";
    case AttemptEnd::kNoAnswer:
      return "no_answer";
    case AttemptEnd::kBroken:
      return "broken";
    case AttemptEnd::kOverlong:
      return "overlong";
    case AttemptEnd::kServerError:
      return "server_error";
    case AttemptEnd::kSilent:
      return "silent";
  }
  return "unknown";
}

bool ProvesNotRun(AttemptEnd end) {
  return end == AttemptEnd::kRefusedFull || end == AttemptEnd::kMisdirected ||
         end == AttemptEnd::kNotConnected;
}

bool CountsAsRepeat(AttemptEnd end) {
  return end != AttemptEnd::kNotConnected;
}

bool WantsAnother(const RequestProgress& progress, AttemptEnd end) {
  if (progress.sends >= kMaxSends || progress.time_left < kLeastTimeLeft)
    return false;
  if (ProvesNotRun(end) && progress.runs == 0)
    return true;
  return progress.idempotent && progress.runs < progress.max_attempts;
}

NextStep DecideNextStep(const RequestProgress& progress,
                        AttemptEnd end,
                        bool may_repeat) {
  if (may_repeat && WantsAnother(progress, end))
    return NextStep::kTryAnother;
  if (progress.answer_begun)
    return NextStep::kBreak;
  if (end == AttemptEnd::kServerError)
    return NextStep::kPassOn;
  return progress.runs == 0 ? NextStep::kRefuse : NextStep::kFail;
}

}  // namespace mangoport
