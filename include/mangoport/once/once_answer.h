#ifndef MANGOPORT_ONCE_ONCE_ANSWER_H_
#define MANGOPORT_ONCE_ONCE_ANSWER_H_

#include <cstdint>
#include <memory>
#include <string_view>

#include "mangoport/core/error.h"
#include "mangoport/core/ids.h"
#include "mangoport/once/claim_fold.h"

namespace mangoport {

/// What the caller of a request that may not be repeated is told.
enum class OnceAnswerKind {
  /// It ran once; `response` is the answer of that run.
  kDone,
  /// It ran once; of the response only the status is kept.
  kDoneWithoutBody,
  /// It was dispatched and may have run; nobody will learn more.
  kUnknown,
  /// It is claimed and may be running; a repeat may learn more.
  kInProgress,
  /// The key has never run, and no request that has already arrived anywhere
  /// can make it run.
  kNotRun,
  /// This request was not dispatched and never will be. Whether an earlier one
  /// with the same key ran could not be established.
  kNotDispatched,
  /// The key was used with another body.
  kConflict,
  /// The key's own time is too long past, or lies in the future.
  kKeyOutOfDate,
};

/// The kind's text in logs and metrics, such as "not_run".
std::string_view OnceAnswerName(OnceAnswerKind kind);

/// One caller's answer.
struct OnceAnswer {
  RequestId request;
  OnceAnswerKind kind = OnceAnswerKind::kInProgress;
  /// Set for kDone and kDoneWithoutBody.
  std::uint16_t status = 0;
  /// Set for kDone.
  std::shared_ptr<const RecordedResponse> response;
};

/// The error body for an answer that is not kDone. Its `not_run` speaks for the
/// key and not only for this request, since callers decide by it whether the
/// effect can still be had by other means.
Error ErrorFor(const OnceAnswer& answer);

/// The refusal of a request without a usable idempotency key.
Error MissingKeyError();

}  // namespace mangoport

#endif  // MANGOPORT_ONCE_ONCE_ANSWER_H_
