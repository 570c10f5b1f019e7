#include "mangoport/once/once_answer.h"

#include <string>

namespace mangoport {

std::string_view OnceAnswerName(OnceAnswerKind kind) {
  switch (kind) {
    case OnceAnswerKind::kDone:
      return "done";
    case OnceAnswerKind::kDoneWithoutBody:
      return "done_without_body";
    case OnceAnswerKind::kUnknown:
      return "unknown";
    case OnceAnswerKind::kInProgress:
      return "in_progress";
    case OnceAnswerKind::kNotRun:
      return "not_run";
    case OnceAnswerKind::kNotDispatched:
      return "not_dispatched";
    case OnceAnswerKind::kConflict:
      return "conflict";
    case OnceAnswerKind::kKeyOutOfDate:
      return "key_out_of_date";
  }
  return "in_progress";
}

Error ErrorFor(const OnceAnswer& answer) {
  switch (answer.kind) {
    case OnceAnswerKind::kDone:
    case OnceAnswerKind::kDoneWithoutBody:
      return {ErrorCode::kConflict,
              "the request ran once, with status " +
                  std::to_string(answer.status) +
                  ", but the body of its response is not kept",
              false};
    case OnceAnswerKind::kUnknown:
      return {ErrorCode::kOutcomeUnknown,
              "the request was sent and its answer was lost; it may have run, "
              "and it will not be sent again",
              false};
    case OnceAnswerKind::kInProgress:
      return {ErrorCode::kOutcomeUnknown,
              "a request with this idempotency key may be running; repeat it "
              "with the same key to learn its outcome",
              false};
    case OnceAnswerKind::kNotRun:
      return {ErrorCode::kUnavailable,
              "no backend server could be reached; the request has not run",
              true};
    case OnceAnswerKind::kNotDispatched:
      return {ErrorCode::kUnavailable,
              "this request was not sent; whether an earlier one with the same "
              "idempotency key ran cannot be told now; repeat it with the same "
              "key",
              false};
    case OnceAnswerKind::kConflict:
      return {ErrorCode::kConflict,
              "the idempotency key was used with a different request", false};
    case OnceAnswerKind::kKeyOutOfDate:
      return {ErrorCode::kInvalidRequest,
              "the time in the idempotency key is too old, or lies in the "
              "future",
              false};
  }
  return {ErrorCode::kInternal, "no such answer", false};
}

Error MissingKeyError() {
  return {ErrorCode::kInvalidRequest,
          "this route needs an Idempotency-Key header of 1 to 200 printable "
          "ASCII characters",
          true};
}

}  // namespace mangoport
