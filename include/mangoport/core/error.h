#ifndef MANGOPORT_CORE_ERROR_H_
#define MANGOPORT_CORE_ERROR_H_

#include <string>
#include <string_view>

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>

namespace mangoport {

/// Stable error codes, as callers and operators see them.
enum class ErrorCode {
  kInvalidRequest,
  kUnauthorized,
  kForbidden,
  kNotFound,
  kConflict,
  kPayloadTooLarge,
  kRateLimited,
  kOverloaded,
  kQuarantined,
  kDeadlineExceeded,
  kOutcomeUnknown,
  kUnavailable,
  kInternal,
};

/// The code's text in error bodies, such as "rate_limited".
std::string_view ErrorCodeName(ErrorCode code);

/// Why one call failed.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;

  /// True only if no byte of the request has reached, or can still reach, a
  /// backend server.
  bool not_run = false;
};

template <typename T>
using Result = boost::leaf::result<T>;

}  // namespace mangoport

#endif  // MANGOPORT_CORE_ERROR_H_
