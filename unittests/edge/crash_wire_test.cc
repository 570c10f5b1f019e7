#include "lib/edge/crash_wire.h"

#include <chrono>
#include <string>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonoTime kStart{seconds(5000)};
constexpr PartHash kPart = 0xfedcba9876543210;

/// Takes what `from` tells through a datagram to `to`.
void Tell(MonoTime now, PartSuspects& from, PartSuspects& to) {
  wire::HostState sent;
  WriteParts(now, from, sent);
  wire::HostState received;
  cr_assert(received.ParseFromString(sent.SerializeAsString()));
  for (const wire::CrashSuspicionNote& it : received.suspicions())
    ReadPart(now, it, to);
}

void Lose(PartSuspects& suspects, MonoTime at, int server) {
  suspects.OnLost(at,
                  {.fingerprint = static_cast<std::uint64_t>(server) << 40,
                   .server = ServerId("s" + std::to_string(server)),
                   .server_started_at_ms = 1'700'000'000'000},
                  {kPart});
}

Test(crash_wire, losses_of_two_hosts_add_up) {
  PartSuspects a;
  PartSuspects b;
  Lose(a, kStart, 1);
  Lose(a, kStart + milliseconds(200), 2);
  Tell(kStart + milliseconds(300), a, b);
  cr_assert_not(b.IsQuarantined(kStart + seconds(1), kPart));
  Lose(b, kStart + seconds(1), 3);
  cr_assert(b.IsQuarantined(kStart + seconds(2), kPart));
  // The same start of a server is one crash, however often it is told.
  Tell(kStart + seconds(1), b, a);
  Tell(kStart + seconds(1), b, a);
  cr_assert(a.IsQuarantined(kStart + seconds(2), kPart));
}

Test(crash_wire, answers_and_quarantines_are_told) {
  PartSuspects a;
  PartSuspects b;
  for (int i = 0; i < 4; ++i)
    Lose(a, kStart + milliseconds(200) * i, i);
  cr_assert(a.IsQuarantined(kStart + seconds(2), kPart));
  Tell(kStart + seconds(9), a, b);
  cr_assert(b.IsQuarantined(kStart + seconds(9), kPart));
  const auto wait = b.Refusal(kStart + seconds(9), {kPart}, false);
  cr_assert(wait && *wait > seconds(51) && *wait < seconds(52));
  PartSuspects c;
  for (int i = 0; i < 4; ++i)
    Lose(c, kStart + milliseconds(200) * i, i);
  c.OnAnswer(kStart + seconds(1), {kPart}, AnswerGrade::kWhole);
  Tell(kStart + seconds(2), c, b);
  cr_assert_not(b.IsQuarantined(kStart + seconds(9), kPart));
}

Test(crash_wire, losses_and_quarantines_of_requests_are_told) {
  constexpr std::uint64_t kRequest = 0xfedcba9876543210;
  constexpr std::size_t kMostBytes = 16384;
  CrashSuspects a;
  CrashSuspects b;
  for (int i = 0; i < 3; ++i)
    a.OnServerLost(kStart, {.fingerprint = kRequest,
                            .server = ServerId("s" + std::to_string(i)),
                            .server_started_at_ms = 1'700'000'000'000});
  const auto tell = [](MonoTime now, CrashSuspects& from, CrashSuspects& to) {
    wire::HostState sent;
    WriteRequests(now, from, sent);
    cr_assert_lt(sent.ByteSizeLong(), kMostBytes);
    wire::HostState received;
    cr_assert(received.ParseFromString(sent.SerializeAsString()));
    for (const wire::CrashSuspicionNote& it : received.suspicions())
      ReadRequest(now, it, to);
  };
  // Long after the losses are told no more.
  tell(kStart + seconds(40), a, b);
  const auto wait = b.Refusal(kStart + seconds(40), kRequest);
  cr_assert(wait && *wait == seconds(20));
  b.OnAnswered(kStart + seconds(61), kRequest);
  tell(kStart + seconds(62), b, a);
  cr_assert_not(a.IsQuarantined(kRequest));
  // Full of both, a datagram stays small.
  for (std::uint64_t i = 1; i < 1000; ++i)
    for (const char* it : {"i-0123456789", "i-1123456789", "i-2123456789"})
      a.OnServerLost(kStart + seconds(90),
                     {.fingerprint = i << 40,
                      .server = ServerId(it),
                      .server_started_at_ms = 1'700'000'000'000});
  tell(kStart + seconds(91), a, b);
}

}  // namespace
}  // namespace mangoport
