#ifndef MANGOPORT_FORWARD_ANSWER_POLICY_H_
#define MANGOPORT_FORWARD_ANSWER_POLICY_H_

#include <cstddef>
#include <string_view>

#include "mangoport/fleet/fleet_config.h"
#include "mangoport/forward/attempt_policy.h"
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
///
/// A whole answer is gathered so that another server can be asked if it breaks
/// off. One that grows beyond `kMaxGatheredBytes` is judged by
/// `PassesOnInPieces`.
AnswerForm FormOf(const HttpHead& head, RouteKind kind, bool stream_begun);

/// Most bytes of an answer that are held until it is complete.
inline constexpr std::size_t kMaxGatheredBytes = std::size_t{256} * 1024;

/// Decides what becomes of an answer that is larger than the host gathers: true
/// if the caller gets it in pieces from now on, false if the attempt is given
/// up. An answer that would not be passed on when complete is none of which the
/// rest is worth reading. `end` is what a complete answer would say of the
/// request; `progress` counts the attempt as in `DecideNextStep`.
bool PassesOnInPieces(int status,
                      AttemptEnd end,
                      const RequestProgress& progress);

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_ANSWER_POLICY_H_
