#include "mangoport/routing/crash_suspects.h"

#include <chrono>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::seconds;

constexpr MonoTime kStart{seconds(500)};
constexpr std::uint64_t kGuilty = 7;
constexpr std::uint64_t kInnocent = 8;

Test(crash_suspects, a_request_lost_at_three_servers_is_stopped) {
  CrashSuspects suspects;
  suspects.OnLost(kStart, {kGuilty, ServerId("a")});
  suspects.OnLost(kStart, {kInnocent, ServerId("a")});
  suspects.OnPeerLost(kStart, {kGuilty, ServerId("b")});
  cr_assert_not(suspects.IsQuarantined(kStart, kGuilty));
  suspects.OnPeerLost(kStart + seconds(5), {kGuilty, ServerId("c")});
  cr_assert(suspects.IsQuarantined(kStart + seconds(5), kGuilty));
  cr_assert_not(suspects.IsQuarantined(kStart + seconds(5), kInnocent));
}

Test(crash_suspects, one_servers_crashes_prove_nothing) {
  CrashSuspects suspects;
  for (int i = 0; i < 5; ++i)
    suspects.OnLost(kStart + seconds(i), {kGuilty, ServerId("a")});
  cr_assert_not(suspects.IsQuarantined(kStart + seconds(5), kGuilty));
}

Test(crash_suspects, are_forgotten_and_told_only_for_a_while) {
  CrashSuspects suspects;
  for (const char* it : {"a", "b", "c"})
    suspects.OnLost(kStart, {kGuilty, ServerId(it)});
  cr_assert_eq(suspects.Recent(kStart + seconds(1)).size(), 3);
  cr_assert(suspects.Recent(kStart + seconds(4)).empty());
  cr_assert_not(suspects.IsQuarantined(kStart + seconds(61), kGuilty));
}

}  // namespace
}  // namespace mangoport
