#ifndef MANGOPORT_UNITTESTS_ADAPTERS_ONE_ANSWER_H_
#define MANGOPORT_UNITTESTS_ADAPTERS_ONE_ANSWER_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "mangoport/adapters/http_backends.h"
#include "unittests/support/scripted_backend.h"

namespace mangoport {

/// A server that answers everything with the same bytes and closes.
class OneAnswer {
 public:
  explicit OneAnswer(const std::string& bytes)
      : server_("s", [bytes](const SeenRequest&, int) {
          return ScriptedAnswer{.pieces = {bytes},
                                .end = ScriptedAnswer::End::kClose};
        }) {}

  Endpoint endpoint() const {
    const std::string address = server_.address();
    const std::size_t colon = address.find(':');
    return {address.substr(0, colon),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
  }

 private:
  ScriptedBackend server_;
};

/// What the client of plain services makes of an answer of these bytes.
inline PlainResult CallPlain(const std::string& bytes) {
  const OneAnswer server(bytes);
  return MakeHttpPlainServiceClient()->Call(
      server.endpoint(), {.request = RequestId("r1"),
                          .method = "POST",
                          .path = "/x",
                          .content_type = "text/plain",
                          .body = "body",
                          .connect_timeout = std::chrono::seconds(1),
                          .timeout = std::chrono::seconds(5)});
}

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_ADAPTERS_ONE_ANSWER_H_
