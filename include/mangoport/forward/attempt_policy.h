#ifndef MANGOPORT_FORWARD_ATTEMPT_POLICY_H_
#define MANGOPORT_FORWARD_ATTEMPT_POLICY_H_

#include <cstdint>
#include <string_view>

#include "mangoport/core/time.h"

namespace mangoport {

/// How one attempt at a backend server ended without a whole good answer.
enum class AttemptEnd {
  /// The server said that it is full and did not run the request.
  kRefusedFull,
  /// Another process has the address, or the model is not loaded there.
  kMisdirected,
  /// No byte of the request has left.
  kNotConnected,
  /// The connection was lost before the answer's head.
  kNoAnswer,
  /// The answer broke off, or was not this request's.
  kBroken,
  /// The answer, or a part that has to be held whole, is larger than the host
  /// holds.
  kOverlong,
  /// The server ran the request and answered with a failure.
  kServerError,
  /// Given up on by this host, since the server was silent.
  kSilent,
};

std::string_view AttemptEndName(AttemptEnd end);

/// True if the server can't have begun to run the request.
bool ProvesNotRun(AttemptEnd end);

/// True if another attempt after `end` counts against the retry budget: the
/// budget bounds what arrives at backend servers, and a connection that was not
/// made brings nothing to any.
bool CountsAsRepeat(AttemptEnd end);

/// How far a request has come.
struct RequestProgress {
  /// The request may run again after it may have run.
  bool idempotent = false;
  /// Servers on which it may run.
  std::uint32_t max_attempts = 1;
  /// Attempts that may have run.
  std::uint32_t runs = 0;
  /// All attempts, refused ones among them.
  std::uint32_t sends = 0;
  /// Part of an answer has been passed on to the caller.
  bool answer_begun = false;
  /// Until the caller gives up.
  Duration time_left{};
};

enum class NextStep {
  kTryAnother,
  /// Refuse it: it has not run, and will not.
  kRefuse,
  /// Fail it: whether it has run is not known.
  kFail,
  /// Pass the server's own failure on.
  kPassOn,
  /// Break off the answer that has begun.
  kBreak,
};

/// What to do after an attempt that ended with `end`. `progress` counts it
/// among the sends, and among the runs unless `end` proves the contrary.
/// `may_repeat` says that the retry budget allows another attempt.
NextStep DecideNextStep(const RequestProgress& progress,
                        AttemptEnd end,
                        bool may_repeat);

/// True if another attempt could be of use, so that the budget should be asked.
bool WantsAnother(const RequestProgress& progress, AttemptEnd end);

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_ATTEMPT_POLICY_H_
