#include "mangoport/routing/answer_grade.h"

#include <algorithm>

#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

/// An answer must go on for this many times as long as a lost one to refute
/// the loss, since servers don't crash after the same time to the millisecond.
constexpr int kRefutingFactor = 2;

constexpr Duration TimeOf(std::size_t grade) {
  return std::chrono::seconds(1) * (1 << grade);
}

}  // namespace

std::optional<AnswerGrade> GradeAfter(Duration time) {
  std::optional<AnswerGrade> out;
  if (MutantEnabled("begun_acquits"))
    return AnswerGrade::kWhole;
  for (std::size_t it = 0; it + 1 < kAnswerGrades && TimeOf(it) <= time; ++it)
    out = static_cast<AnswerGrade>(it);
  return out;
}

std::optional<AnswerGrade> RefutingGrade(Duration answered_for) {
  if (answered_for > kAnswerTrial)
    return std::nullopt;
  if (answered_for > Duration::zero() &&
      MutantEnabled("loss_behind_event_ignored"))
    return std::nullopt;
  std::size_t out = 0;
  while (TimeOf(out) < kRefutingFactor * answered_for)
    ++out;
  return static_cast<AnswerGrade>(out);
}

void GradeTimes::Note(MonoTime at, AnswerGrade grade) {
  for (std::size_t it = 0; it <= static_cast<std::size_t>(grade); ++it)
    times_[it] = std::max(times_[it].value_or(at), at);
}

}  // namespace mangoport
