#ifndef MANGOPORT_ROUTING_ANSWER_GRADE_H_
#define MANGOPORT_ROUTING_ANSWER_GRADE_H_

#include <array>
#include <cstddef>
#include <optional>

#include "mangoport/core/time.h"

namespace mangoport {

/// How far an answer came. What crashes each server that begins to answer it
/// may do so some events later, so that an answer which has only begun proves
/// nothing; one that goes on for longer than any lost one did, or is whole,
/// proves that its request is not what crashes servers.
enum class AnswerGrade : std::size_t {
  kOneSecond,
  kTwoSeconds,
  kFourSeconds,
  kEightSeconds,
  kWhole,
};

inline constexpr std::size_t kAnswerGrades = 5;

/// The end of a server says nothing of an answer that had gone on for longer.
inline constexpr Duration kAnswerTrial = std::chrono::seconds(4);

/// The grade of an answer that is not whole and has gone on for `time`, or none
/// if it is too early to tell.
std::optional<AnswerGrade> GradeAfter(Duration time);

/// The least grade of another answer which proves that what they share did not
/// cause the loss of a server `answered_for` after the lost answer had begun;
/// zero if it had not. None if the loss needs no such proof.
std::optional<AnswerGrade> RefutingGrade(Duration answered_for);

/// True if an answer of this grade refutes any loss.
constexpr bool RefutesAll(AnswerGrade grade) {
  return grade >= AnswerGrade::kEightSeconds;
}

/// When answers last reached each grade. One that reaches a grade has reached
/// all below it.
class GradeTimes {
 public:
  void Note(MonoTime at, AnswerGrade grade);
  std::optional<MonoTime> Last(AnswerGrade grade) const {
    return times_[static_cast<std::size_t>(grade)];
  }

 private:
  std::array<std::optional<MonoTime>, kAnswerGrades> times_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_ANSWER_GRADE_H_
