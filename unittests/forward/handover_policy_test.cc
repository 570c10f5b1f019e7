#include <chrono>

#include <criterion/criterion.h>

#include "mangoport/forward/handover_policy.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A stream whose server is silent on all its requests.
HandoverState SilentServer() {
  return {.server_silence = seconds(2),
          .server_silence_to_all = seconds(2),
          .answer_begun = true};
}

constexpr MonoTime kEventAt{seconds(100)};

/// A stream whose server answers others and whose caller waits for 2 s.
AttemptSilence SilentStream() {
  return {.last_byte_at = kEventAt,
          .server_silence = milliseconds(10),
          .server_silence_to_all = milliseconds(10),
          .answer_begun = true,
          .caller_leaves_at = kEventAt + seconds(2)};
}

/// Milliseconds from `kEventAt` to when the request is offered.
int OfferAfterMs(const AttemptSilence& attempt) {
  const MonoTime due = OfferDueAt(kEventAt + seconds(1), attempt);
  return static_cast<int>((due - kEventAt) / milliseconds(1));
}

// NOLINTBEGIN: Criterion's macros
// 1,400 ms, a check each 300 ms and 350 ms of handover were more than the 2 s
// after which the caller leaves.
Test(handover_policy,
     a_stream_has_time_for_two_offers_before_its_caller_leaves) {
  const AttemptSilence attempt = SilentStream();
  const MonoTime due = OfferDueAt(kEventAt, attempt);
  cr_assert_lt((due + 2 * kHandoverTime).time_since_epoch().count(),
               attempt.caller_leaves_at->time_since_epoch().count());
}

// "A sound server may fall silent for a second or so and go on."
Test(handover_policy, a_stream_silent_for_a_second_is_left_at_its_server) {
  AttemptSilence attempt = SilentStream();
  attempt.caller_leaves_at = kEventAt + milliseconds(1200);
  cr_assert_eq(OfferAfterMs(attempt), 1000);
}

Test(handover_policy, a_patient_callers_stream_is_not_left_silent_for_long) {
  AttemptSilence attempt = SilentStream();
  attempt.caller_leaves_at = kEventAt + seconds(12);
  cr_assert_eq(OfferAfterMs(attempt), 1400);
  attempt.caller_leaves_at.reset();
  cr_assert_eq(OfferAfterMs(attempt), 1400);
}

// The caller's time counts from its request, the silence from the send.
Test(handover_policy, a_stream_without_an_event_is_offered_in_time) {
  AttemptSilence attempt = SilentStream();
  attempt.answer_begun = false;
  attempt.server_silence = seconds(1);
  attempt.caller_leaves_at = kEventAt + milliseconds(1900);
  cr_assert_eq(OfferAfterMs(attempt), 1100);
}

Test(handover_policy, a_queue_at_a_server_that_answers_others_is_no_silence) {
  AttemptSilence attempt = SilentStream();
  attempt.answer_begun = false;
  cr_assert_geq(OfferAfterMs(attempt), 1600);
}

// All streams of a server that is silent for 0.7 s were offered elsewhere.
Test(handover_policy, a_servers_second_of_silence_moves_no_stream) {
  AttemptSilence attempt = SilentStream();
  attempt.server_silence = milliseconds(800);
  attempt.server_silence_to_all = milliseconds(800);
  const MonoTime due = OfferDueAt(kEventAt + milliseconds(800), attempt);
  cr_assert_geq((due - kEventAt) / milliseconds(1), 1000);
}

// Deadlines of whole answers are shorter, and nothing of them has been passed
// on that could be cut.
Test(handover_policy, a_whole_answer_leaves_a_silent_server_sooner) {
  const AttemptSilence attempt = {.last_byte_at = kEventAt,
                                  .server_silence = seconds(1),
                                  .server_silence_to_all = seconds(1),
                                  .caller_leaves_at = std::nullopt};
  cr_assert_eq(OfferAfterMs(attempt), 700);
}

Test(handover_policy, a_server_silent_to_all_is_left_sooner) {
  AttemptSilence attempt = SilentStream();
  attempt.answer_begun = false;
  attempt.server_silence = seconds(1);
  attempt.server_silence_to_all = seconds(1);
  cr_assert_leq(OfferAfterMs(attempt), 1000);
}

Test(handover_policy, a_server_that_began_to_answer_is_preferred) {
  HandoverState state = SilentServer();
  state.accepted = true;
  cr_assert(PrefersSuccessor(state));
  state.server_silence_to_all = milliseconds(10);
  state.server_silence = milliseconds(10);
  cr_assert(PrefersSuccessor(state));
}

// The other server's queue was longer than its caller stayed, and the silence
// ended by itself.
Test(handover_policy, a_stream_that_has_begun_is_not_given_up_for_a_queue) {
  cr_assert_not(PrefersSuccessor(SilentServer()));
}

Test(handover_policy, a_stream_in_a_queue_waits_there) {
  HandoverState state = SilentServer();
  state.answer_begun = false;
  state.server_silence = milliseconds(10);
  state.server_silence_to_all = milliseconds(10);
  cr_assert_not(PrefersSuccessor(state));
}

// Its answer comes in one piece, and can't be expected within the handover.
Test(handover_policy, a_whole_answer_is_left_to_the_server_that_may_live) {
  HandoverState state = SilentServer();
  state.answer_begun = false;
  cr_assert(PrefersSuccessor(state));
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
