#ifndef MANGOPORT_LIB_ENTRYHOST_CALLER_RESPONSE_H_
#define MANGOPORT_LIB_ENTRYHOST_CALLER_RESPONSE_H_

#include <httplib.h>

#include <cstdint>
#include <string>

#include "mangoport/core/error.h"
#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/entryhost/caller_request.h"

namespace mangoport {

/// The HTTP status for an error code.
int HttpStatusFor(ErrorCode code);

/// The JSON body of an error; the same for all errors.
std::string ErrorBody(const RequestId& request, const Error& error);

/// Answers with an error. A `retry_after` above zero is sent as a header.
void SetError(httplib::Response& response,
              const RequestId& request,
              const Error& error,
              Duration retry_after);

/// A server-sent event with one piece of an answer.
std::string StreamChunk(CompletionShape shape,
                        const RequestId& request,
                        const ModelId& model,
                        const std::string& text);

/// The events that end a complete stream.
std::string StreamEnd(CompletionShape shape,
                      const RequestId& request,
                      const ModelId& model,
                      std::uint64_t completion_tokens);

/// The event that ends an incomplete stream.
std::string StreamError(const RequestId& request, const Error& error);

/// The body of a complete answer.
std::string AnswerBody(CompletionShape shape,
                       const RequestId& request,
                       const ModelId& model,
                       const std::string& text,
                       std::uint64_t completion_tokens);

}  // namespace mangoport

#endif  // MANGOPORT_LIB_ENTRYHOST_CALLER_RESPONSE_H_
