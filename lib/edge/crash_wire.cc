#include "lib/edge/crash_wire.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>

namespace mangoport {
namespace {

std::uint32_t ToMillis(Duration time) {
  constexpr std::int64_t kMost = std::numeric_limits<std::uint32_t>::max();
  const std::int64_t ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  return static_cast<std::uint32_t>(std::clamp(ms, std::int64_t{0}, kMost));
}

/// A time that is known, on the wire; zero stands for an unknown one.
std::uint32_t ToKnownMillis(Duration time) {
  return std::max(ToMillis(time), 1U);
}

void WriteAnswers(const PartState& state, wire::CrashSuspicionNote& note) {
  if (!state.grade_ages.front())
    return;
  for (std::size_t it = 0; it < kAnswerGrades; ++it) {
    const std::optional<Duration>& age = state.grade_ages[it];
    note.add_answer_ages_ms(age ? ToKnownMillis(*age) : 0);
    if (age && RefutesAll(static_cast<AnswerGrade>(it)) &&
        note.answered_age_ms() == 0)
      note.set_answered_age_ms(ToKnownMillis(*age));
  }
}

void ReadAnswers(const wire::CrashSuspicionNote& note, PartState& state) {
  const std::size_t n = std::min(
      kAnswerGrades, static_cast<std::size_t>(note.answer_ages_ms_size()));
  for (std::size_t it = 0; it < n; ++it) {
    const std::uint32_t age = note.answer_ages_ms(static_cast<int>(it));
    if (age != 0)
      state.grade_ages[it] = std::chrono::milliseconds(age);
  }
}

}  // namespace

void WriteRequests(MonoTime now,
                   CrashSuspects& suspects,
                   wire::HostState& message) {
  for (const CrashSuspicion& it : suspects.Recent(now)) {
    wire::CrashSuspicionNote& note = *message.add_suspicions();
    note.set_fingerprint(it.fingerprint);
    note.set_server(it.server.value());
    note.set_server_started_at_ms(it.server_started_at_ms);
    note.set_age_ms(ToMillis(it.age));
  }
  for (const RequestState& it : suspects.States(now)) {
    wire::CrashSuspicionNote& note = *message.add_suspicions();
    note.set_fingerprint(it.fingerprint);
    note.set_crashes(it.crashes);
    note.set_age_ms(ToMillis(it.crash_age));
    note.set_probes(it.probes);
    if (it.answered_age)
      note.set_answered_age_ms(ToKnownMillis(*it.answered_age));
  }
}

void ReadRequest(MonoTime now,
                 const wire::CrashSuspicionNote& note,
                 CrashSuspects& suspects) {
  const std::chrono::milliseconds age(note.age_ms());
  if (!note.server().empty()) {
    suspects.OnPeerServerLost(
        now, {.fingerprint = note.fingerprint(),
              .server = ServerId(note.server()),
              .server_started_at_ms = note.server_started_at_ms(),
              .age = age});
    return;
  }
  RequestState state{.fingerprint = note.fingerprint(),
                     .crashes = note.crashes(),
                     .crash_age = age,
                     .probes = note.probes()};
  if (note.answered_age_ms() != 0)
    state.answered_age = std::chrono::milliseconds(note.answered_age_ms());
  suspects.OnPeerState(now, state);
}

void WriteParts(MonoTime now,
                PartSuspects& suspects,
                wire::HostState& message) {
  for (const PartLoss& it : suspects.RecentLosses(now)) {
    wire::CrashSuspicionNote& note = *message.add_suspicions();
    note.set_fingerprint(it.fingerprint);
    note.set_server(it.server.value());
    note.set_server_started_at_ms(it.server_started_at_ms);
    note.set_part(it.part);
    note.set_age_ms(ToMillis(it.age));
    note.set_answered_for_ms(ToMillis(it.answered_for));
  }
  for (const PartState& it : suspects.States(now)) {
    wire::CrashSuspicionNote& note = *message.add_suspicions();
    note.set_part(it.part);
    note.set_crashes(it.crashes);
    note.set_age_ms(ToMillis(it.crash_age));
    note.set_probes(it.probes);
    WriteAnswers(it, note);
  }
}

void ReadPart(MonoTime now,
              const wire::CrashSuspicionNote& note,
              PartSuspects& suspects) {
  const std::chrono::milliseconds age(note.age_ms());
  if (!note.server().empty()) {
    suspects.OnPeerLoss(
        now,
        {.part = note.part(),
         .fingerprint = note.fingerprint(),
         .server = ServerId(note.server()),
         .server_started_at_ms = note.server_started_at_ms(),
         .age = age,
         .answered_for = std::chrono::milliseconds(note.answered_for_ms())});
    return;
  }
  PartState state{.part = note.part(),
                  .crashes = note.crashes(),
                  .crash_age = age,
                  .probes = note.probes()};
  ReadAnswers(note, state);
  suspects.OnPeerState(now, state);
}

}  // namespace mangoport
