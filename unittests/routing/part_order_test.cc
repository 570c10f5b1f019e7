// Reports of lost servers and of answers may reach a host in any order. Each
// order of each five of them must end in the same judgement.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <string>

#include <criterion/criterion.h>

#include "mangoport/routing/part_suspects.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonoTime kStart{seconds(5000)};
/// All reports have arrived by then, and have settled.
constexpr MonoTime kHeard = kStart + seconds(2);
constexpr MonoTime kJudged = kStart + seconds(4);
constexpr std::size_t kReports = 5;
constexpr std::array<PartHash, 2> kParts = {1, 2};

/// Two crashes convict, so that five reports can convict and acquit.
constexpr PartSuspects::Settings kSettings = {.min_crashes = 2,
                                              .min_crashes_once_sound = 2,
                                              .min_requests = 2};

/// Of each part: the loss of a server before its answer began, and of another
/// 600 ms later; an answer of two seconds, which refutes both, and a whole one.
constexpr std::size_t kKinds = 8;

/// Report `kind` of what happened at step `step`, to a host that is told of it
/// at `kHeard`.
void Report(PartSuspects& suspects, std::size_t kind, std::size_t step) {
  const Duration age = milliseconds(2000) - milliseconds(400) * step;
  const PartHash part = kParts[kind % 2];
  const std::size_t what = kind / 2;
  if (what < 2) {
    suspects.OnPeerLoss(kHeard, {.part = part,
                                 .fingerprint = what + 1,
                                 .server = ServerId(what == 0 ? "a" : "b"),
                                 .server_started_at_ms = step,
                                 .age = age,
                                 .answered_for = milliseconds(600) * what});
    return;
  }
  const std::size_t grades = what == 2 ? 2 : kAnswerGrades;
  PartState state{.part = part};
  for (std::size_t it = 0; it < grades; ++it)
    state.grade_ages[it] = age;
  suspects.OnPeerState(kHeard, state);
}

using Kinds = std::array<std::size_t, kReports>;

/// Which parts are held once the reports were heard in `order`.
std::array<bool, 2> Judgement(const Kinds& kinds, const Kinds& order) {
  PartSuspects suspects(kSettings);
  for (const std::size_t step : order)
    Report(suspects, kinds[step], step);
  return {suspects.IsQuarantined(kJudged, kParts[0]),
          suspects.IsQuarantined(kJudged, kParts[1])};
}

std::string ToText(const Kinds& kinds) {
  std::string out;
  for (const std::size_t it : kinds)
    out += " " + std::to_string(it);
  return out;
}

// NOLINTBEGIN: Criterion's macros
// A late report of an answer, or an early one of a crash, decided otherwise.
Test(part_order, reports_in_any_order_lead_to_one_judgement, .timeout = 300) {
  std::size_t held = 0;
  std::size_t sets = 1;
  for (std::size_t i = 0; i < kReports; ++i)
    sets *= kKinds;
  for (std::size_t set = 0; set < sets; ++set) {
    Kinds kinds{};
    std::size_t rest = set;
    for (std::size_t& it : kinds) {
      it = rest % kKinds;
      rest /= kKinds;
    }
    Kinds order{};
    std::iota(order.begin(), order.end(), 0);
    const auto expected = Judgement(kinds, order);
    held += expected[0] || expected[1] ? 1 : 0;
    while (std::next_permutation(order.begin(), order.end()))
      cr_assert(Judgement(kinds, order) == expected, "reports%s in the order%s",
                ToText(kinds).c_str(), ToText(order).c_str());
  }
  // Not all of it may be trivial.
  cr_assert_gt(held * 20, sets, "%d of %d", static_cast<int>(held),
               static_cast<int>(sets));
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
