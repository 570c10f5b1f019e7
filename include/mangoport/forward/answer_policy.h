#ifndef MANGOPORT_FORWARD_ANSWER_POLICY_H_
#define MANGOPORT_FORWARD_ANSWER_POLICY_H_

#include <string_view>

#include "mangoport/forward/dialect.h"
#include "mangoport/http/message.h"

namespace mangoport {

/// Whose answer has arrived on a connection, by the request id in its head.
enum class AnswerOwner {
  /// The request that was sent last.
  kThisRequest,
  /// An earlier request on the same connection.
  kOtherRequest,
  /// It can't be told: the id is missing, or there are several.
  kUnknown,
};

/// Finds out whose answer `head` begins. A request without an id of its own is
/// answered without one.
AnswerOwner OwnerOf(const HttpHead& head,
                    const ForwardDialect& dialect,
                    std::string_view request_id);

/// True if callers take the status as a promise that the request has not run.
bool PromisesNotRun(int status);

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_ANSWER_POLICY_H_
