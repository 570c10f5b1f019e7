// Plain services of `mangoport serve` whose answers break off where cpp-httplib
// does not look: behind a chunk's data, in its size, in lines without a colon.
#include <string>

#include <criterion/criterion.h>

#include "unittests/adapters/one_answer.h"

namespace mangoport {
namespace {

void ExpectNoAnswer(const std::string& bytes) {
  const PlainResult result = CallPlain(bytes);
  cr_expect_eq(result.status, PlainStatus::kUnknown, "%d '%s' of %s",
               result.http_status, result.body.c_str(), bytes.c_str());
}

// NOLINTBEGIN: Criterion's macros
// A body that is cut where a chunk ends looked whole.
Test(service_framing, a_chunk_without_its_end_is_no_answer) {
  for (const char* body :
       {"2\r\nokXX0\r\n\r\n", "2\r\nokay\r\n0\r\n\r\n",
        "2\r\nokXX\r\n3\r\nbad\r\n0\r\n\r\n", "2\r\nok\rX0\r\n\r\n",
        "2 2\r\nok\r\n0\r\n\r\n", "2\r\nok\r\n0\r\nX Bad: 1\r\n\r\n"})
    ExpectNoAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                   std::string(body));
}

Test(service_framing, a_line_without_a_colon_is_no_answer) {
  for (const char* line : {"X-Bad", " joined", "\x01"})
    ExpectNoAnswer("HTTP/1.1 200 OK\r\nX-A: b\r\n" + std::string(line) +
                   "\r\nContent-Length: 2\r\n\r\nok");
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
