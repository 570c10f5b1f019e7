// Answers that are no HTTP/1.1: none may be taken for an answer, however its
// bytes arrive.
#include <string>
#include <string_view>

#include <criterion/criterion.h>

#include "mangoport/http/message_parser.h"

namespace mangoport {
namespace {

constexpr std::size_t kHeadBytes = 1024;
constexpr char kLength[] = "Content-Length: 2\r\n\r\nok";
constexpr char kChunked[] = "Transfer-Encoding: chunked\r\n\r\n";

/// What a parser makes of one message.
struct Parsed {
  bool whole = false;
  HttpParseError error = HttpParseError::kNone;
  HttpHead head;
  std::string body;
};

/// Parses `text` in pieces of up to `piece` bytes, after which the connection
/// ends.
Parsed Parse(HttpMessageKind kind, std::string_view text, std::size_t piece) {
  MessageParser parser(kind, kHeadBytes);
  Parsed out;
  while (!text.empty() && !parser.message_complete() &&
         parser.error() == HttpParseError::kNone) {
    const std::string_view next = text.substr(0, piece);
    text.remove_prefix(next.size());
    parser.Feed(next, out.body);
  }
  parser.FeedEnd();
  out.whole = parser.message_complete();
  out.error = parser.error();
  out.head = parser.head();
  return out;
}

/// Expects that a message is malformed, in one piece and in single bytes.
void ExpectMalformed(HttpMessageKind kind, const std::string& text) {
  for (const std::size_t piece : {std::size_t{1}, text.size()}) {
    const Parsed parsed = Parse(kind, text, piece);
    cr_expect_not(parsed.whole, "pieces of %zu: %s", piece, text.c_str());
    cr_expect_eq(parsed.error, HttpParseError::kMalformed, "pieces of %zu: %s",
                 piece, text.c_str());
  }
}

void ExpectBroken(const std::string& answer) {
  ExpectMalformed(HttpMessageKind::kResponse, answer);
}

void ExpectRefused(const std::string& request) {
  ExpectMalformed(HttpMessageKind::kRequest, request);
}

/// Expects that an answer is whole, in one piece and in single bytes.
void ExpectWhole(const std::string& answer,
                 int status,
                 const std::string& body) {
  for (const std::size_t piece : {std::size_t{1}, answer.size()}) {
    const Parsed parsed = Parse(HttpMessageKind::kResponse, answer, piece);
    cr_expect(parsed.whole, "pieces of %zu: %s", piece, answer.c_str());
    cr_expect_eq(parsed.head.status, status, "%s", answer.c_str());
    cr_expect_eq(parsed.body, body, "%s", answer.c_str());
  }
}

// NOLINTBEGIN: Criterion's macros
// They were taken for interim heads, and the answer was waited for until the
// caller's deadline.
Test(broken_answers, a_status_below_100_is_none) {
  for (const char* status : {"000", "001", "010", "020", "099", "20", "2", "0"})
    ExpectBroken("HTTP/1.1 " + std::string(status) + " Odd\r\n" + kLength);
}

// "0200" was served as 200.
Test(broken_answers, a_status_of_other_than_three_digits_is_none) {
  for (const char* status : {"0200", "00200", "2000", "2e2", "+20", " 200",
                             "200x", "20O", "", "0x200", "\t200"})
    ExpectBroken("HTTP/1.1 " + std::string(status) + " Odd\r\n" + kLength);
  ExpectBroken(std::string("HTTP/1.1 20\r\n") + kLength);
}

Test(broken_answers, a_status_above_599_is_none) {
  for (const char* status : {"600", "700", "999"})
    ExpectBroken("HTTP/1.1 " + std::string(status) + " Odd\r\n" + kLength);
}

// No request asks for another protocol. A 101 was waited on like an interim
// head.
Test(broken_answers, a_switch_of_protocols_is_none) {
  ExpectBroken("HTTP/1.1 101 Switching Protocols\r\n\r\n");
  ExpectBroken(
      "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n"
      "Upgrade: x\r\n\r\n");
}

Test(broken_answers, another_version_is_none) {
  for (const char* version : {"HTTP/9.9", "HTTP/2.0", "HTTP/0.9", "HTTP/11.1",
                              "HTTP/1.10", "HTTP/1", "http/1.1", "ICY"})
    ExpectBroken(std::string(version) + " 200 OK\r\n" + kLength);
  for (const char* version : {"HTTP/9.9", "HTTP/2.0", "HTTP/0.9"})
    ExpectRefused("GET / " + std::string(version) + "\r\nHost: x\r\n\r\n");
}

// A control byte was passed on, or ended the line, and the rest of the reason
// was passed on as a field.
Test(broken_answers, a_reason_with_a_control_byte_is_none) {
  for (const char* reason : {"O\nX-Bad: 1", "O\rX-Bad: 1", "O\r", "O\x01K",
                             "O\x1bK", "O\x7fK", "\x0bOK", "O\r\r"})
    ExpectBroken("HTTP/1.1 200 " + std::string(reason) + "\r\n" + kLength);
  using std::string_literals::operator""s;
  ExpectBroken("HTTP/1.1 200 O\0K\r\n"s + kLength);
}

Test(broken_answers, a_line_that_ends_otherwise_is_none) {
  for (const char* line :
       {"HTTP/1.1 200 OK\n", "HTTP/1.1 200 OK\r\nX-A: b\n",
        "HTTP/1.1 200 OK\r\nX-A: b\rX-B: c\r\n",
        "HTTP/1.1 200 OK\r\nX-A: b\r\r\n", "\r\nHTTP/1.1 200 OK\r\n"})
    ExpectBroken(std::string(line) + kLength);
}

// The line was appended to the field before it: a signature was passed on
// changed.
Test(broken_answers, a_line_that_begins_with_a_blank_is_none) {
  for (const char* line :
       {" X-Bad: 1\r\n", "\tX-Bad: 1\r\n", " \r\n", "\t\r\n", "  joined\r\n"}) {
    ExpectBroken("HTTP/1.1 200 OK\r\nX-Seal: i-0\r\n" + std::string(line) +
                 kLength);
    ExpectBroken("HTTP/1.1 200 OK\r\n" + std::string(line) + "X-Seal: i-0\r\n" +
                 kLength);
    ExpectRefused("GET / HTTP/1.1\r\nHost: x\r\n" + std::string(line) + "\r\n");
  }
}

Test(broken_answers, a_name_that_is_no_token_is_none) {
  for (const char* line :
       {"X Bad: 1", "X-Bad : 1", "X\tBad: 1", "X-\x01: 1", "X-\x7f: 1", ": 1",
        "X-Bad", "X(: 1", "X-\xe9: 1", "X-A: b\x01", "X-A: b\x7f"})
    ExpectBroken("HTTP/1.1 200 OK\r\n" + std::string(line) + "\r\n" + kLength);
  using std::string_literals::operator""s;
  ExpectBroken("HTTP/1.1 200 OK\r\nX-\0: 1\r\n"s + kLength);
  ExpectBroken("HTTP/1.1 200 OK\r\nX-A: \0\r\n"s + kLength);
}

// The bytes behind a chunk's data were skipped unread.
Test(broken_answers, a_chunk_must_end_with_its_line) {
  for (const char* body :
       {"2\r\nokXX0\r\n\r\n", "2\r\nok\rX0\r\n\r\n", "2\r\nokX\n0\r\n\r\n",
        "2\r\nok\n\n0\r\n\r\n", "2\r\nok0\r\n\r\n", "2\r\nokay\r\n0\r\n\r\n",
        "2\r\nok\n0\r\n\r\n"}) {
    ExpectBroken("HTTP/1.1 200 OK\r\n" + (kChunked + std::string(body)));
    ExpectRefused("POST / HTTP/1.1\r\nHost: x\r\n" +
                  (kChunked + std::string(body)));
  }
}

Test(broken_answers, a_chunk_size_must_be_its_line) {
  for (const char* body :
       {"2\nok\r\n0\r\n\r\n", "2\rXok\r\n0\r\n\r\n", "2 2\r\nok\r\n0\r\n\r\n",
        "2 x\r\nok\r\n0\r\n\r\n", "2;a=\x01\r\nok\r\n0\r\n\r\n",
        "2;a\rb\r\nok\r\n0\r\n\r\n", " 2\r\nok\r\n0\r\n\r\n",
        "+2\r\nok\r\n0\r\n\r\n", "-2\r\nok\r\n0\r\n\r\n",
        "0x2\r\nok\r\n0\r\n\r\n", "\r\nok\r\n0\r\n\r\n",
        "10000000000000002\r\nok\r\n0\r\n\r\n", ";a\r\nok\r\n0\r\n\r\n"}) {
    ExpectBroken("HTTP/1.1 200 OK\r\n" + (kChunked + std::string(body)));
    ExpectRefused("POST / HTTP/1.1\r\nHost: x\r\n" +
                  (kChunked + std::string(body)));
  }
}

// Trailers are dropped, but a server that writes such ones is broken.
Test(broken_answers, a_trailer_is_read_like_a_field) {
  for (const char* line :
       {"X Bad: 1\r\n", "X-Bad : 1\r\n", " X-Bad: 1\r\n", "X-A: b\r\n c\r\n",
        "X-\x01: 1\r\n", "X-A: \x01\r\n", "X-A: b\n", "X-A: b\rc\r\n",
        "X-Bad\r\n", ": 1\r\n"}) {
    const std::string body = "2\r\nok\r\n0\r\n" + std::string(line) + "\r\n";
    ExpectBroken("HTTP/1.1 200 OK\r\n" + (kChunked + body));
    ExpectRefused("POST / HTTP/1.1\r\nHost: x\r\n" + (kChunked + body));
  }
}

Test(sound_answers, are_taken) {
  ExpectWhole(std::string("HTTP/1.1 200 OK\r\n") + kLength, 200, "ok");
  ExpectWhole(std::string("HTTP/1.0 200 OK\r\n") + kLength, 200, "ok");
  ExpectWhole(std::string("HTTP/1.1 200 \r\n") + kLength, 200, "ok");
  ExpectWhole(std::string("HTTP/1.1 200\r\n") + kLength, 200, "ok");
  ExpectWhole(std::string("HTTP/1.1 200 \tO K \xe9\r\n") + kLength, 200, "ok");
  ExpectWhole(std::string("HTTP/1.1 599 Odd\r\n") + kLength, 599, "ok");
  ExpectWhole(std::string("HTTP/1.1 200 OK\r\nX-A:\r\nX-B: \t\r\n"
                          "!#$%&'*+-.^_`|~: \xe9\t\x80\r\n") +
                  kLength,
              200, "ok");
  ExpectWhole("HTTP/1.1 200 OK\r\n" +
                  (kChunked + std::string("02\r\nok\r\nA;a=\"\xe9\\\"\";b\r\n"
                                          "0123\r\n6789\r\n00\r\nX-A: b\r\n"
                                          "X-B:\r\n\r\n")),
              200, "ok0123\r\n6789");
  ExpectWhole("HTTP/1.1 200 OK\r\n\r\nto the end\n \r", 200, "to the end\n \r");
}

// The length of a 304 is that of a body that isn't there, which was waited for.
Test(sound_answers, without_a_body_end_with_their_head) {
  for (const char* status : {"304", "204", "100", "103"}) {
    const Parsed parsed =
        Parse(HttpMessageKind::kResponse,
              "HTTP/1.1 " + std::string(status) + " None\r\n" + kLength, 1);
    cr_expect(parsed.whole, "%s", status);
    cr_expect_eq(parsed.body, "", "%s", status);
    // The length of a 304 promises no bytes; other ones may come late.
    cr_expect_eq(parsed.head.keep_alive, std::string(status) == "304", "%s",
                 status);
  }
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
