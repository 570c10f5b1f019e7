#include "mangoport/routing/crash_suspects.h"

#include <chrono>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::seconds;

constexpr MonoTime kStart{seconds(500)};
constexpr std::uint64_t kCulprit = 7;
constexpr std::uint64_t kHarmless = 8;

Test(crash_suspects, request_lost_at_three_servers_is_quarantined) {
  CrashSuspects suspects;
  suspects.OnServerLost(kStart, {kCulprit, ServerId("a")});
  suspects.OnServerLost(kStart, {kHarmless, ServerId("a")});
  suspects.OnPeerServerLost(kStart, {kCulprit, ServerId("b")});
  cr_assert_not(suspects.IsQuarantined(kStart, kCulprit));
  suspects.OnPeerServerLost(kStart + seconds(5), {kCulprit, ServerId("c")});
  cr_assert(suspects.IsQuarantined(kStart + seconds(5), kCulprit));
  cr_assert_not(suspects.IsQuarantined(kStart + seconds(5), kHarmless));
}

Test(crash_suspects, repeated_crashes_of_one_server_do_not_quarantine) {
  CrashSuspects suspects;
  for (int i = 0; i < 5; ++i)
    suspects.OnServerLost(kStart + seconds(i), {kCulprit, ServerId("a")});
  cr_assert_not(suspects.IsQuarantined(kStart + seconds(5), kCulprit));
}

Test(crash_suspects, suspicions_expire_and_are_reported_for_limited_time) {
  CrashSuspects suspects;
  for (const char* it : {"a", "b", "c"})
    suspects.OnServerLost(kStart, {kCulprit, ServerId(it)});
  cr_assert_eq(suspects.Recent(kStart + seconds(1)).size(), 3);
  cr_assert(suspects.Recent(kStart + seconds(4)).empty());
  cr_assert_not(suspects.IsQuarantined(kStart + seconds(61), kCulprit));
}

}  // namespace
}  // namespace mangoport
