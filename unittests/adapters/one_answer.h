#ifndef MANGOPORT_UNITTESTS_ADAPTERS_ONE_ANSWER_H_
#define MANGOPORT_UNITTESTS_ADAPTERS_ONE_ANSWER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "mangoport/adapters/http_backends.h"
#include "unittests/support/scripted_backend.h"

namespace mangoport {

/// A server that gives the same answer to everything.
class OneAnswer {
 public:
  /// The server reads `max_body_bytes` of a request's body at most.
  explicit OneAnswer(const ScriptedAnswer& answer,
                     std::size_t max_body_bytes = ScriptedBackend::kWholeBody)
      : server_(
            "s",
            [answer](const SeenRequest&, int) { return answer; },
            max_body_bytes) {}

  /// An answer of these bytes, after which the server closes.
  explicit OneAnswer(const std::string& bytes)
      : OneAnswer(ScriptedAnswer{.pieces = {bytes},
                                 .end = ScriptedAnswer::End::kClose}) {}

  Endpoint endpoint() const {
    const std::string address = server_.address();
    const std::size_t colon = address.find(':');
    return {address.substr(0, colon),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
  }

 private:
  ScriptedBackend server_;
};

/// What the client of plain services makes of the server's answer, if it waits
/// no longer than `timeout` for more of it.
inline PlainResult CallPlain(const OneAnswer& server,
                             const std::string& body = "body",
                             Duration timeout = std::chrono::seconds(5)) {
  return MakeHttpPlainServiceClient()->Call(
      server.endpoint(), {.request = RequestId("r1"),
                          .method = "POST",
                          .path = "/x",
                          .content_type = "text/plain",
                          .body = body,
                          .connect_timeout = std::chrono::seconds(1),
                          .timeout = timeout});
}

/// The same for an answer of these bytes.
inline PlainResult CallPlain(const std::string& bytes) {
  return CallPlain(OneAnswer(bytes));
}

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_ADAPTERS_ONE_ANSWER_H_
