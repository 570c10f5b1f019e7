#ifndef MANGOPORT_HTTP_MESSAGE_H_
#define MANGOPORT_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangoport {

/// One header field of an HTTP/1.1 message, as it was received.
struct HttpField {
  std::string name;
  std::string value;
};

/// Header fields in the order of the message.
using HttpFields = std::vector<HttpField>;

/// True if `c` is a control byte, which no line holds. A tab is none.
bool IsControl(char c);

/// True if the text could not be passed on as a part of one line.
bool HasControl(std::string_view text);

/// True if no other characters are in the text than those of a token.
bool HasOnlyTokenChars(std::string_view text);

/// True if the text can be the name of a field.
bool IsToken(std::string_view text);

/// True if an answer with this status ends with its head, whatever length the
/// head states.
bool HasNoBody(int status);

/// True if both texts are equal apart from the case of ASCII letters.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

/// The value of the first field with that name, or null.
const std::string* FindField(const HttpFields& fields, std::string_view name);

/// The same, or an empty text if there is none.
std::string_view FieldText(const HttpFields& fields, std::string_view name);

/// True if the comma-separated list `value` has `token` as an element.
bool ListHasToken(std::string_view value, std::string_view token);

/// True if the field describes one connection rather than the message, so that
/// it must not be passed on. `connection_value` is the message's `Connection`
/// field, which may name more of them.
bool IsHopByHop(std::string_view name, std::string_view connection_value);

/// The start line and header fields of one message.
struct HttpHead {
  /// Requests only.
  std::string method;
  /// Requests only: path and query as received.
  std::string target;
  /// Responses only.
  int status = 0;
  std::string reason;

  HttpFields fields;
  /// True if the connection stays usable after this message.
  bool keep_alive = false;
  /// Length of the body, if the message states it.
  std::optional<std::uint64_t> content_length;
  bool chunked = false;
};

/// The standard reason phrase of a status code.
std::string_view ReasonPhrase(int status);

/// Appends "name: value\r\n".
void AppendField(std::string& out,
                 std::string_view name,
                 std::string_view value);

/// Appends `data` as one chunk of a chunked body.
void AppendChunk(std::string& out, std::string_view data);

/// Ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace mangoport

#endif  // MANGOPORT_HTTP_MESSAGE_H_
