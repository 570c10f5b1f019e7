#include "mangoport/fleet/key_evidence.h"

#include <chrono>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BootTime kRestored{seconds(100)};
constexpr Duration kMaxAge = seconds(5);

/// Evidence of a host that has known timeline 1 for long.
KeyEvidence MakeEvidence() {
  KeyEvidence out(kMaxAge);
  out.OnTimeline(1, kRestored - seconds(50));
  out.OnConfigVersion(10);
  return out;
}

Test(key_evidence, read_just_after_a_restore_is_no_evidence) {
  KeyEvidence evidence = MakeEvidence();
  evidence.OnCurrentRead(kRestored - seconds(1));
  evidence.OnTimeline(2, kRestored);
  evidence.OnCurrentRead(kRestored + milliseconds(1900));
  cr_assert(evidence.MayAcceptKeys(kRestored + milliseconds(3600)));
  cr_assert_not(evidence.MayAcceptKeys(kRestored + milliseconds(3800)));
}

Test(key_evidence, read_after_records_were_written_again_is_evidence) {
  KeyEvidence evidence = MakeEvidence();
  evidence.OnTimeline(2, kRestored);
  evidence.OnCurrentRead(kRestored + seconds(2));
  cr_assert(evidence.MayAcceptKeys(kRestored + seconds(6)));
}

Test(key_evidence, second_restore_begins_the_wait_anew) {
  KeyEvidence evidence = MakeEvidence();
  evidence.OnTimeline(2, kRestored);
  evidence.OnTimeline(3, kRestored + seconds(1));
  evidence.OnCurrentRead(kRestored + milliseconds(2900));
  cr_assert_not(evidence.MayAcceptKeys(kRestored + milliseconds(2900)));
}

// A host that starts sees the timeline for the first time, and its read may be
// older than what a peer says about that.
Test(key_evidence, starting_host_need_not_wait_if_a_peer_knew_the_timeline) {
  KeyEvidence evidence(kMaxAge);
  evidence.OnTimeline(2, kRestored + seconds(9));
  evidence.OnConfigVersion(10);
  evidence.OnCurrentRead(kRestored + seconds(9));
  cr_assert_not(evidence.MayAcceptKeys(kRestored + seconds(9)));
  evidence.OnTimeline(2, kRestored);
  cr_assert(evidence.MayAcceptKeys(kRestored + seconds(9)));
}

Test(key_evidence, peer_of_the_earlier_timeline_does_not_end_the_wait) {
  KeyEvidence evidence(kMaxAge);
  evidence.OnTimeline(2, kRestored);
  evidence.OnTimeline(1, kRestored - seconds(50));
  evidence.OnCurrentRead(kRestored + seconds(1));
  cr_assert_not(evidence.MayAcceptKeys(kRestored + seconds(1)));
}

Test(key_evidence, read_below_the_version_of_a_peer_is_no_evidence) {
  KeyEvidence evidence = MakeEvidence();
  evidence.OnPeerConfigVersion(11);
  evidence.OnCurrentRead(kRestored);
  cr_assert_not(evidence.MayAcceptKeys(kRestored));
  evidence.OnConfigVersion(11);
  evidence.OnCurrentRead(kRestored + seconds(1));
  cr_assert(evidence.MayAcceptKeys(kRestored + seconds(1)));
}

// Otherwise all hosts would say at the same time that they are not ready.
Test(key_evidence, reads_that_confirm_nothing_still_show_contact) {
  KeyEvidence evidence = MakeEvidence();
  evidence.OnTimeline(2, kRestored);
  evidence.OnCurrentRead(kRestored + seconds(1));
  cr_assert_eq(evidence.ContactAge(kRestored + seconds(3)).value().count(),
               Duration(seconds(2)).count());
}

}  // namespace
}  // namespace mangoport
