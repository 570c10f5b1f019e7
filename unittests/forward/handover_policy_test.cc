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

// NOLINTBEGIN: Criterion's macros
Test(handover_policy, a_server_that_began_to_answer_is_preferred) {
  HandoverState state = SilentServer();
  state.accepted = true;
  cr_assert(PrefersSuccessor(state));
  state.server_silence_to_all = milliseconds(10);
  state.server_silence = milliseconds(10);
  cr_assert(PrefersSuccessor(state));
}

// Two silent servers: the one that has begun the answer may go on.
Test(handover_policy, a_stream_is_not_given_up_for_a_server_that_is_silent) {
  cr_assert_not(PrefersSuccessor(SilentServer()));
}

Test(handover_policy, a_dead_servers_stream_goes_to_a_queue_elsewhere) {
  HandoverState state = SilentServer();
  state.successor_heard = true;
  cr_assert(PrefersSuccessor(state));
}

Test(handover_policy, a_stream_whose_server_answers_others_waits_for_it) {
  HandoverState state = SilentServer();
  state.successor_heard = true;
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
