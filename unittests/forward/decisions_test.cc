#include <chrono>

#include <criterion/criterion.h>

#include "mangoport/forward/attempt_policy.h"
#include "mangoport/forward/wait_policy.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RequestProgress OneSend(bool idempotent) {
  return {.idempotent = idempotent,
          .max_attempts = 2,
          .runs = 0,
          .sends = 1,
          .answer_begun = false,
          .time_left = seconds(1)};
}

Test(attempt_policy, a_request_that_may_have_run_once_is_never_sent_again) {
  RequestProgress progress = OneSend(/*idempotent=*/false);
  progress.runs = 1;
  for (const AttemptEnd end :
       {AttemptEnd::kNoAnswer, AttemptEnd::kBroken, AttemptEnd::kSilent}) {
    cr_assert_not(WantsAnother(progress, end));
    cr_assert_eq(DecideNextStep(progress, end, true), NextStep::kFail);
  }
  cr_assert_eq(DecideNextStep(progress, AttemptEnd::kServerError, true),
               NextStep::kPassOn);
}

Test(attempt_policy, a_refusal_after_a_possible_run_promises_nothing) {
  RequestProgress progress = OneSend(/*idempotent=*/true);
  progress.sends = 2;
  progress.runs = 1;
  progress.max_attempts = 1;
  cr_assert_eq(DecideNextStep(progress, AttemptEnd::kRefusedFull, false),
               NextStep::kFail);
}

Test(attempt_policy, a_run_once_request_that_was_refused_may_go_elsewhere) {
  const RequestProgress progress = OneSend(/*idempotent=*/false);
  cr_assert_eq(DecideNextStep(progress, AttemptEnd::kRefusedFull, true),
               NextStep::kTryAnother);
  cr_assert_eq(DecideNextStep(progress, AttemptEnd::kRefusedFull, false),
               NextStep::kRefuse);
  cr_assert_eq(DecideNextStep(progress, AttemptEnd::kNotConnected, true),
               NextStep::kTryAnother);
}

// A tenth of the engines crash at once under load: connections to them are
// refused until all hosts have noticed, many more than the retry budget covers.
Test(attempt_policy, a_connection_that_was_not_made_costs_no_budget) {
  cr_assert_not(CountsAsRepeat(AttemptEnd::kNotConnected));
  for (const AttemptEnd end :
       {AttemptEnd::kRefusedFull, AttemptEnd::kMisdirected,
        AttemptEnd::kNoAnswer, AttemptEnd::kBroken, AttemptEnd::kServerError,
        AttemptEnd::kSilent})
    cr_assert(CountsAsRepeat(end));
}

Test(attempt_policy, runs_stay_within_the_routes_attempts) {
  RequestProgress progress = OneSend(/*idempotent=*/true);
  progress.runs = 1;
  cr_assert(WantsAnother(progress, AttemptEnd::kBroken));
  progress.runs = 2;
  cr_assert_not(WantsAnother(progress, AttemptEnd::kBroken));
}

Test(attempt_policy, an_answer_that_has_begun_can_only_go_on_or_break) {
  RequestProgress progress = OneSend(/*idempotent=*/true);
  progress.runs = 2;
  progress.answer_begun = true;
  cr_assert_eq(DecideNextStep(progress, AttemptEnd::kServerError, true),
               NextStep::kBreak);
  progress.runs = 1;
  cr_assert_eq(DecideNextStep(progress, AttemptEnd::kBroken, true),
               NextStep::kTryAnother);
}

// Callers of streams leave after two seconds without an event, whatever their
// deadline: 525 of 1,397 requests once waited for a copy until then.
Test(wait_policy, a_copy_that_comes_too_late_is_not_waited_for) {
  MissingCopy missing;
  missing.time_left = seconds(2);
  missing.load_time = milliseconds(4200);
  const WaitDecision decision = DecideWait(missing);
  cr_assert_not(decision.wait);
  cr_assert_geq(decision.retry_after.count(),
                Duration(milliseconds(4200)).count());
}

// A stream whose server is lost goes on elsewhere. Its caller has just had an
// event, however long ago the request came.
Test(wait_policy, a_caller_leaves_when_its_stream_is_silent_for_too_long) {
  const MonoTime arrived{seconds(100)};
  const MonoTime deadline = arrived + seconds(12);
  cr_assert_eq(CallerLeavesAt(deadline, arrived, seconds(2)),
               arrived + seconds(2));
  cr_assert_eq(CallerLeavesAt(deadline, arrived + seconds(5), seconds(2)),
               arrived + seconds(7));
  cr_assert_eq(CallerLeavesAt(deadline, arrived + seconds(11), seconds(2)),
               deadline);
  cr_assert_eq(CallerLeavesAt(deadline, arrived, Duration::zero()), deadline);
}

Test(wait_policy, an_adapter_is_waited_for) {
  MissingCopy missing;
  missing.time_left = seconds(2);
  missing.is_adapter = true;
  const WaitDecision decision = DecideWait(missing);
  cr_assert(decision.wait);
  cr_assert_leq(decision.limit.count(), Duration(milliseconds(1600)).count());
}

Test(wait_policy, a_wait_ends_when_the_load_has_failed_to_come) {
  MissingCopy missing;
  missing.time_left = seconds(12);
  missing.load_time = seconds(2);
  missing.waited = seconds(7);
  cr_assert_not(DecideWait(missing).wait);
}

}  // namespace
}  // namespace mangoport
