// Backend servers of `mangoport serve` whose answers are no HTTP/1.1.
#include "mangoport/adapters/http_backends.h"

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "unittests/adapters/one_answer.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Broken answers that end with their connection.
std::vector<std::string> BrokenAnswers(const std::string& body) {
  const std::string length =
      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  char size[16];
  std::snprintf(size, sizeof(size), "%zx", body.size());
  return {
      "HTTP/1.1 000 Odd\r\n" + length,
      "HTTP/1.1 099 Odd\r\n" + length,
      "HTTP/1.1 0200 OK\r\n" + length,
      "HTTP/1.1 600 Odd\r\n" + length,
      "HTTP/1.1 103 Early Hints\r\n\r\n",
      "HTTP/9.9 200 OK\r\n" + length,
      "HTTP/1.1 101 Switching Protocols\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX Bad: 1\r\n" + length,
      "HTTP/1.1 200 OK\r\nX-Bad : 1\r\n" + length,
      "HTTP/1.1 200 OK\r\nX-\x01: 1\r\n" + length,
      "HTTP/1.1 200 OK\r\nX-Bad: \x01\r\n" + length,
      "HTTP/1.1 200 OK\r\nX-A: b\r\n X-Bad: 1\r\n" + length,
      "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\n" + body,
      "HTTP/1.1 200 OK\r\nContent-Length: 1, 1\r\n\r\n" + body,
      "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + length,
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n" + body,
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + length,
      "HTTP/1.1 204 None\r\nX Bad: 1\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n" +
          (size + ("\r\n" + body) + "\r\n0\r\n\r\n"),
  };
}

// NOLINTBEGIN: Criterion's macros
// The status 0 and bodies with their framing were given to callers as answers.
Test(http_backends, a_broken_answer_of_a_plain_service_is_none) {
  for (const std::string& bytes : BrokenAnswers("ok")) {
    const PlainResult result = CallPlain(bytes);
    cr_expect_eq(result.status, PlainStatus::kUnknown, "%d '%s' of %s",
                 result.http_status, result.body.c_str(), bytes.c_str());
  }
}

// A part of an answer without a length, which ends with its connection, must
// not look whole if the connection is reset or falls silent.
Test(http_backends, an_answer_without_a_length_that_is_lost_is_none) {
  const std::string part = "HTTP/1.1 200 OK\r\n\r\nfirst part";
  const PlainResult whole = CallPlain(part);
  cr_expect_eq(whole.status, PlainStatus::kAnswered);
  cr_expect_eq(whole.body, "first part");
  const ScriptedAnswer reset{.pieces = {part, ""},
                             .pause = milliseconds(100),
                             .end = ScriptedAnswer::End::kReset};
  const PlainResult lost = CallPlain(OneAnswer(reset));
  cr_expect_eq(lost.status, PlainStatus::kUnknown, "'%s'", lost.body.c_str());
  const ScriptedAnswer unfinished{.pieces = {part, ""}, .pause = seconds(3)};
  const PlainResult silent =
      CallPlain(OneAnswer(unfinished), "body", seconds(1));
  cr_expect_eq(silent.status, PlainStatus::kUnknown, "'%s'",
               silent.body.c_str());
}

// The same while the request is still being written.
Test(http_backends, an_early_answer_that_is_reset_is_none) {
  constexpr std::size_t kUploadBytes = 4'000'000;
  for (const auto pause :
       {milliseconds(0), milliseconds(20), milliseconds(200)}) {
    const ScriptedAnswer reset{
        .pieces = {"HTTP/1.1 200 OK\r\n\r\nfirst part", ""},
        .pause = pause,
        .end = ScriptedAnswer::End::kReset};
    const PlainResult lost = CallPlain(OneAnswer(reset, /*max_body_bytes=*/0),
                                       std::string(kUploadBytes, 'a'));
    cr_expect_eq(lost.status, PlainStatus::kUnknown, "'%s'", lost.body.c_str());
  }
}

Test(http_backends, a_sound_answer_of_a_plain_service_is_passed_on) {
  const PlainResult result = CallPlain(
      "HTTP/1.1 404 None\r\nContent-Type: text/plain\r\nX-A:\r\n"
      "Content-Length: 2\r\n\r\nok");
  cr_assert_eq(result.status, PlainStatus::kAnswered);
  cr_expect_eq(result.http_status, 404);
  cr_expect_eq(result.content_type, "text/plain");
  cr_expect_eq(result.body, "ok");
}

Test(http_backends, events_of_a_broken_answer_are_none) {
  const std::string event =
      "data: {\"request_id\":\"r1\",\"index\":0,\"text\":\"a\"}\n\n";
  for (const std::string& bytes : BrokenAnswers(event)) {
    const OneAnswer server(bytes);
    int events = 0;
    CompletionCall call;
    call.request = RequestId("r1");
    call.model = ModelId("m");
    call.connect_timeout = seconds(1);
    call.first_token_timeout = seconds(5);
    call.between_tokens_timeout = seconds(5);
    const CompletionResult result = MakeHttpEngineClient()->Complete(
        server.endpoint(), call, [&events](const TokenEvent&) {
          ++events;
          return true;
        });
    cr_expect_eq(events, 0, "%s", bytes.c_str());
    cr_expect_eq(result.status, CompletionStatus::kBroken, "%d of %s",
                 static_cast<int>(result.status), bytes.c_str());
  }
}

// An order was taken for refused that the engine may have carried out.
Test(http_backends, a_broken_answer_to_an_order_proves_nothing) {
  for (const std::string& bytes : BrokenAnswers("{}")) {
    const OneAnswer server(bytes);
    const OrderStatus status = MakeHttpEngineClient()->Order(
        server.endpoint(), EngineOrder{}, seconds(5));
    cr_expect_eq(status, OrderStatus::kUnknown, "%d of %s",
                 static_cast<int>(status), bytes.c_str());
  }
}

Test(http_backends, a_broken_report_is_none) {
  for (const std::string& bytes : BrokenAnswers("{}")) {
    const OneAnswer server(bytes);
    cr_expect_not(MakeHttpEngineClient()
                      ->Report(server.endpoint(), seconds(5))
                      .has_value(),
                  "%s", bytes.c_str());
  }
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
