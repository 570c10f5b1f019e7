#include "mangoport/fleet/log_catch_up.h"

#include <chrono>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BootTime kStart{seconds(500)};

FeedConfirmation SentAt(BootTime time) {
  return {.sent_at = time, .answered_at = time + milliseconds(5)};
}

// NOLINTBEGIN: Criterion's macros
// A read that ended before a key's withdrawal was taken for proof that the keys
// were current.
Test(log_catch_up, a_short_read_confirms_nothing) {
  LogCatchUp it;
  it.OnRead(SentAt(kStart), /*log_end=*/10, /*position=*/10);
  it.OnRead(SentAt(kStart + seconds(9)), /*log_end=*/24, /*position=*/22);
  cr_assert(it.is_behind());
  cr_assert(it.confirmation()->sent_at == kStart);
}

// All that the store had when the first read was sent is known once its end is
// reached, so the wait must not begin anew with each read.
Test(log_catch_up, a_short_read_is_confirmed_once_its_end_is_reached) {
  LogCatchUp it;
  it.OnRead(SentAt(kStart), /*log_end=*/24, /*position=*/12);
  it.OnRead(SentAt(kStart + seconds(1)), /*log_end=*/30, /*position=*/24);
  cr_assert(it.confirmation()->sent_at == kStart);
  cr_assert(it.is_behind());
  it.OnRead(SentAt(kStart + seconds(2)), /*log_end=*/30, /*position=*/30);
  cr_assert(it.confirmation()->sent_at == kStart + seconds(2));
  cr_assert_not(it.is_behind());
}

// A host behind a log that grew faster than it was read would never prove its
// keys again.
Test(log_catch_up, a_log_that_grows_faster_than_it_is_read_is_confirmed) {
  LogCatchUp it;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    const std::uint64_t position = 2 * i;
    it.OnRead(SentAt(kStart + seconds(i)), /*log_end=*/100 + 3 * i, position);
    if (!it.confirmation())
      continue;
    // All up to the end that the confirmed read stated has been read.
    const Duration sent_after = it.confirmation()->sent_at - kStart;
    const auto sent = static_cast<std::uint64_t>(sent_after / seconds(1));
    cr_assert_leq(100 + 3 * sent, position);
  }
  cr_assert(it.confirmation().has_value());
}

// Another host's update may fill the gap before this host's own next read.
Test(log_catch_up, any_source_may_fill_the_gap) {
  LogCatchUp it;
  it.OnRead(SentAt(kStart), /*log_end=*/24, /*position=*/12);
  it.OnPosition(23);
  cr_assert_not(it.confirmation().has_value());
  it.OnPosition(24);
  cr_assert(it.confirmation()->sent_at == kStart);
  cr_assert_not(it.is_behind());
}

// Offsets of a restored store are given out again, so that an end of the
// earlier timeline is reached by other records.
Test(log_catch_up, a_restore_forgets_the_reads_of_before) {
  LogCatchUp it;
  it.OnRead(SentAt(kStart), /*log_end=*/24, /*position=*/12);
  it.Reset();
  it.OnPosition(24);
  cr_assert_not(it.is_behind());
  cr_assert_not(it.confirmation().has_value());
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
