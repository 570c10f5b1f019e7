#include "mangoport/http/message.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace mangoport {
namespace {

constexpr std::array<std::string_view, 9> kHopByHopNames = {
    "connection",        "keep-alive", "proxy-authenticate",
    "proxy-connection",  "te",         "trailer",
    "transfer-encoding", "upgrade",    "proxy-authorization"};

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

bool IsTokenChar(char c) {
  if ((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
      (c >= '0' && c <= '9'))
    return true;
  return std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

}  // namespace

bool IsControl(char c) {
  const auto code = static_cast<unsigned char>(c);
  return (code < 0x20 && c != '\t') || code == 0x7f;
}

bool HasControl(std::string_view text) {
  return std::any_of(text.begin(), text.end(), IsControl);
}

bool HasOnlyTokenChars(std::string_view text) {
  return std::all_of(text.begin(), text.end(), IsTokenChar);
}

bool IsToken(std::string_view text) {
  return !text.empty() && HasOnlyTokenChars(text);
}

bool HasNoBody(int status) {
  return status / 100 == 1 || status == 204 || status == 304;
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

const std::string* FindField(const HttpFields& fields, std::string_view name) {
  for (const HttpField& it : fields) {
    if (EqualsIgnoringCase(it.name, name))
      return &it.value;
  }
  return nullptr;
}

std::string_view FieldText(const HttpFields& fields, std::string_view name) {
  const std::string* value = FindField(fields, name);
  if (!value)
    return {};
  return *value;
}

bool ListHasToken(std::string_view value, std::string_view token) {
  while (!value.empty()) {
    const std::size_t comma = value.find(',');
    if (EqualsIgnoringCase(Trim(value.substr(0, comma)), token))
      return true;
    if (comma == std::string_view::npos)
      return false;
    value.remove_prefix(comma + 1);
  }
  return false;
}

bool IsHopByHop(std::string_view name, std::string_view connection_value) {
  for (const std::string_view it : kHopByHopNames) {
    if (EqualsIgnoringCase(name, it))
      return true;
  }
  return !connection_value.empty() && ListHasToken(connection_value, name);
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

void AppendField(std::string& out,
                 std::string_view name,
                 std::string_view value) {
  out.append(name);
  out.append(": ");
  out.append(value);
  out.append("\r\n");
}

void AppendChunk(std::string& out, std::string_view data) {
  std::array<char, 16> digits;
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), data.size(),
                    /*base=*/16);
  out.append(digits.data(), end.ptr);
  out.append("\r\n");
  out.append(data);
  out.append("\r\n");
}

}  // namespace mangoport
