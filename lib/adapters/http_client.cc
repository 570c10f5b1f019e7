#include "http_client.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "mangoport/http/message.h"

namespace mangoport {
namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;

bool IsNumber(std::string_view text) {
  return !text.empty() &&
         text.find_first_not_of("0123456789") == std::string_view::npos;
}

/// True if the body's end can be read in one way only. cpp-httplib takes a
/// coding that it does not know for none, and reads "5, 5" as 5.
bool HasSoundFraming(const httplib::Response& response) {
  const std::size_t codings =
      response.get_header_value_count("Transfer-Encoding");
  const std::size_t lengths = response.get_header_value_count("Content-Length");
  if (codings + lengths > 1)
    return false;
  if (codings == 1)
    return EqualsIgnoringCase(response.get_header_value("Transfer-Encoding"),
                              "chunked");
  return lengths == 0 || IsNumber(response.get_header_value("Content-Length"));
}

}  // namespace

bool HasSoundHead(const httplib::Response& response) {
  if (response.status < kFirstFinalStatus || response.status > kLastStatus)
    return false;
  const bool sound_fields = std::all_of(
      response.headers.begin(), response.headers.end(), [](const auto& it) {
        return IsToken(it.first) && !HasControl(it.second);
      });
  return sound_fields && HasSoundFraming(response);
}

httplib::Result Send(httplib::Client& client, httplib::Request request) {
  request.response_handler = [next = std::move(request.response_handler)](
                                 const httplib::Response& response) {
    return HasSoundHead(response) && (!next || next(response));
  };
  httplib::Result result = client.send(request);
  // The handler is not called for an answer without a body.
  if (result && !HasSoundHead(*result))
    return {nullptr, httplib::Error::Read};
  return result;
}

httplib::Result Get(httplib::Client& client, const std::string& path) {
  httplib::Request request;
  request.method = "GET";
  request.path = path;
  return Send(client, std::move(request));
}

httplib::Result Post(httplib::Client& client,
                     const std::string& path,
                     std::string body,
                     const std::string& content_type) {
  httplib::Request request;
  request.method = "POST";
  request.path = path;
  request.body = std::move(body);
  request.set_header("Content-Type", content_type);
  return Send(client, std::move(request));
}

}  // namespace mangoport
