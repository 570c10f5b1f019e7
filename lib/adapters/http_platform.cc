#include "mangoport/adapters/http_platform.h"

#include <openssl/evp.h>

#include <chrono>
#include <string>

#include <nlohmann/json.hpp>

#include "http_client.h"
#include "mangoport/adapters/json.h"

namespace mangoport {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr Duration kConnectTimeout = milliseconds(1000);
/// What a long poll may take beyond its wait.
constexpr Duration kReadSlack = milliseconds(2000);

std::string DecodeBase64(const std::string& text) {
  std::string bytes(text.size() / 4 * 3, '\0');
  const int n =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (n < 0)
    return "";
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() &&
         text[text.size() - 1 - padding] == '=')
    ++padding;
  bytes.resize(static_cast<std::size_t>(n) - padding);
  return bytes;
}

class HttpLogService final : public LogService {
 public:
  explicit HttpLogService(Endpoint endpoint) : endpoint_(std::move(endpoint)) {}

  AppendResult Append(const StreamId& stream,
                      std::string_view payload,
                      Duration timeout) override {
    httplib::Client client =
        MakeHttpClient(endpoint_, std::min(timeout, kConnectTimeout), timeout);
    const httplib::Result result = Post(
        client, Path(stream), std::string(payload), "application/octet-stream");
    if (!result) {
      return {NothingSent(result.error()) ? AppendStatus::kRefused
                                          : AppendStatus::kUnknown,
              0};
    }
    if (result->status == 429 || result->status == 503)
      return {AppendStatus::kRefused, 0};
    const nlohmann::json answer = ParseJson(result->body);
    if (result->status != 200 || !answer.is_object() ||
        !answer["offset"].is_number_unsigned())
      return {AppendStatus::kUnknown, 0};
    return {AppendStatus::kAppended, answer["offset"].get<std::uint64_t>()};
  }

  LogPage Read(const StreamId& stream,
               std::uint64_t from,
               std::size_t max_entries,
               Duration wait) override {
    httplib::Client client =
        MakeHttpClient(endpoint_, kConnectTimeout, wait + kReadSlack);
    const std::string path =
        Path(stream) + "?from=" + std::to_string(from) +
        "&max=" + std::to_string(max_entries) +
        "&wait_ms=" + std::to_string(duration_cast<milliseconds>(wait).count());
    const httplib::Result result = Get(client, path);
    if (!result || result->status != 200)
      return {};
    return ParsePage(ParseJson(result->body));
  }

 private:
  static std::string Path(const StreamId& stream) {
    return "/v1/streams/" + stream.value() + "/entries";
  }

  static LogPage ParsePage(const nlohmann::json& answer) {
    if (!answer.is_object() || !answer.contains("entries") ||
        !answer["entries"].is_array() || !answer.contains("first_retained") ||
        !answer["first_retained"].is_number_unsigned())
      return {};
    LogPage page;
    page.ok = true;
    page.first_retained = answer["first_retained"].get<std::uint64_t>();
    for (const nlohmann::json& it : answer["entries"]) {
      if (!it.is_object() || !it.contains("offset") ||
          !it["offset"].is_number_unsigned() || !it.contains("payload") ||
          !it["payload"].is_string())
        return {};
      page.entries.push_back(
          {it["offset"].get<std::uint64_t>(),
           DecodeBase64(it["payload"].get_ref<const std::string&>())});
    }
    return page;
  }

  Endpoint endpoint_;
};

std::string Text(const nlohmann::json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

class HttpHostList final : public HostList {
 public:
  explicit HttpHostList(Endpoint endpoint) : endpoint_(std::move(endpoint)) {}

  HostListPage Read(Duration timeout) override {
    httplib::Client client =
        MakeHttpClient(endpoint_, std::min(timeout, kConnectTimeout), timeout);
    const nlohmann::json hosts = ReadJson(client, "/v1/hosts");
    const nlohmann::json servers = ReadJson(client, "/v1/servers");
    if (!hosts.is_object() || !servers.is_object())
      return {};
    HostListPage page;
    page.ok = true;
    page.age = milliseconds(hosts.value("age_ms", 0));
    for (const nlohmann::json& it : hosts.value("hosts", nlohmann::json())) {
      if (!it.is_object())
        continue;
      page.hosts.push_back(
          {HostId(Text(it, "id")),
           ZoneId(Text(it, "zone")),
           {Text(it, "address"), it.value("peer_port", std::uint16_t{0})},
           Text(it, "state") == "leaving"});
    }
    for (const nlohmann::json& it :
         servers.value("servers", nlohmann::json())) {
      if (!it.is_object())
        continue;
      page.servers.push_back({ServerId(Text(it, "id")),
                              ZoneId(Text(it, "zone")),
                              Text(it, "state") == "leaving"});
    }
    return page;
  }

 private:
  static nlohmann::json ReadJson(httplib::Client& client,
                                 const std::string& path) {
    const httplib::Result result = Get(client, path);
    return result && result->status == 200 ? ParseJson(result->body)
                                           : nlohmann::json();
  }

  Endpoint endpoint_;
};

}  // namespace

std::unique_ptr<LogService> MakeHttpLogService(const Endpoint& endpoint) {
  return std::make_unique<HttpLogService>(endpoint);
}

std::unique_ptr<HostList> MakeHttpHostList(const Endpoint& endpoint) {
  return std::make_unique<HttpHostList>(endpoint);
}

}  // namespace mangoport
