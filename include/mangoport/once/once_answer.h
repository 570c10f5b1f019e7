#ifndef MANGOPORT_ONCE_ONCE_ANSWER_H_
#define MANGOPORT_ONCE_ONCE_ANSWER_H_

#include <cstdint>
#include <memory>
#include <string_view>

#include "mangoport/core/error.h"
#include "mangoport/core/ids.h"
#include "mangoport/once/claim_fold.h"

namespace mangoport {

/// The result of a non-idempotent request, as reported to its caller.
enum class OnceAnswerKind {
  /// The request ran once; `response` is the response of that run.
  kDone,
  /// The request ran once; only the status of its response is kept.
  kDoneWithoutBody,
  /// The request was dispatched and may have run; its outcome can't be
  /// determined.
  kUnknown,
  /// The request is claimed and may be running. The caller can repeat it later
  /// to get its outcome.
  kInProgress,
  /// No request with the key has run, and none that has already arrived at any
  /// host can run.
  kNotRun,
  /// This request was not dispatched and never will be. Whether an earlier
  /// request with the same key ran could not be determined.
  kNotDispatched,
  /// The key was used for a request with another fingerprint.
  kConflict,
  /// The time in the key is too old, or lies in the future.
  kKeyOutOfDate,
};

/// Returns the name of `kind` in logs and metrics, such as "not_run".
std::string_view OnceAnswerName(OnceAnswerKind kind);

/// The answer to one request.
struct OnceAnswer {
  RequestId request;
  OnceAnswerKind kind = OnceAnswerKind::kInProgress;
  /// HTTP status; set for kDone and kDoneWithoutBody.
  std::uint16_t status = 0;
  /// Set for kDone.
  std::shared_ptr<const RecordedResponse> response;
};

/// Returns the error for an answer that is not kDone. Its `not_run` field
/// applies to the key and not only to this request, because callers use it to
/// decide whether it is safe to perform the operation in another way.
Error ErrorFor(const OnceAnswer& answer);

/// Returns the error for a request without a valid idempotency key.
Error MissingKeyError();

}  // namespace mangoport

#endif  // MANGOPORT_ONCE_ONCE_ANSWER_H_
