#ifndef MANGOPORT_FORWARD_ANSWER_POLICY_H_
#define MANGOPORT_FORWARD_ANSWER_POLICY_H_

#include <string_view>

#include "mangoport/fleet/fleet_config.h"
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

/// How an answer's body reaches the caller.
enum class AnswerForm {
  /// In one piece, once it is complete.
  kWhole,
  /// Event by event, as they arrive.
  kEvents,
  /// Not at all: it is a success, but not the rest of the caller's stream.
  kUnusable,
};

/// Decides how the body that follows `head` may be passed on. `stream_begun`
/// says that the caller has had events of an earlier attempt.
AnswerForm FormOf(const HttpHead& head, RouteKind kind, bool stream_begun);

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_ANSWER_POLICY_H_
