#ifndef MANGOPORT_HTTP_MESSAGE_PARSER_H_
#define MANGOPORT_HTTP_MESSAGE_PARSER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "mangoport/http/message.h"

namespace mangoport {

enum class HttpMessageKind { kRequest, kResponse };

/// Why a message was not accepted.
enum class HttpParseError {
  kNone,
  kMalformed,
  kHeadTooLarge,
};

/// Parses the messages of one HTTP/1.1 connection, in pieces as they arrive.
///
/// Feed it bytes; it stops at the end of each message, so that the bytes after
/// it are the caller's to judge. Framing that could be read in two ways (both
/// lengths, an unknown transfer coding, space in a field's name) is malformed.
class MessageParser {
 public:
  MessageParser(HttpMessageKind kind, std::size_t max_head_bytes);
  ~MessageParser();

  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// Parses from `data` up to the end of the message at most, and returns how
  /// many bytes that took. Body bytes are appended to `body`.
  std::size_t Feed(std::string_view data, std::string& body);

  /// The peer has closed its side in order. Ends a body that lasts until the
  /// connection does; any other open message is malformed.
  void FeedEnd();

  /// True once the start line and all fields are there.
  bool head_complete() const;
  bool message_complete() const;
  /// True if some byte of the present message has arrived.
  bool started() const;
  HttpParseError error() const;
  const HttpHead& head() const;
  /// The memory that the head takes so far, in bytes.
  std::size_t head_memory() const;

  /// A response without a body: the answer to a HEAD request. Set it before
  /// the response arrives.
  void set_bodyless(bool bodyless);

  /// Holds for heads that are not complete yet.
  void set_max_head_bytes(std::size_t bytes);

  /// Makes ready for the connection's next message.
  void Reset();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace mangoport

#endif  // MANGOPORT_HTTP_MESSAGE_PARSER_H_
