#include "mangoport/core/error.h"

namespace mangoport {

std::string_view ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidRequest:
      return "invalid_request";
    case ErrorCode::kUnauthorized:
      return "unauthorized";
    case ErrorCode::kForbidden:
      return "forbidden";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kPayloadTooLarge:
      return "payload_too_large";
    case ErrorCode::kRateLimited:
      return "rate_limited";
    case ErrorCode::kOverloaded:
      return "overloaded";
    case ErrorCode::kQuarantined:
      return "quarantined";
    case ErrorCode::kDeadlineExceeded:
      return "deadline_exceeded";
    case ErrorCode::kOutcomeUnknown:
      return "outcome_unknown";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

}  // namespace mangoport
