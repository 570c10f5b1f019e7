#include "mangoport/settings/host_settings.h"

#include <arpa/inet.h>

#include <charconv>

#include "toml_table.h"

namespace mangoport {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

bool IsIpNumber(const std::string& text) {
  // The functions below read up to the first zero byte.
  if (text.find('\0') != std::string::npos)
    return false;
  in6_addr buf{};
  return inet_pton(AF_INET, text.c_str(), &buf) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &buf) == 1;
}

Endpoint ReadEndpoint(TomlTable& table, std::string_view key, bool required) {
  const std::string text =
      required ? table.RequiredString(key) : table.String(key);
  Endpoint endpoint;
  if (!text.empty() && !ParseEndpoint(text, endpoint)) {
    table.Report(key, "'" + std::string(key) +
                          "' must be an IP number and a port, such as "
                          "127.0.0.1:8080");
  }
  return endpoint;
}

void ReadListen(TomlTable table, HostSettings& settings) {
  settings.callers = ReadEndpoint(table, "callers", true);
  settings.operators = ReadEndpoint(table, "operators", true);
  settings.peers = ReadEndpoint(table, "peers", true);
  settings.ports_file = table.String("ports_file");
  table.Finish();
}

void ReadPlatform(TomlTable table, PlatformSettings& platform) {
  platform.log = ReadEndpoint(table, "log", true);
  platform.hosts = ReadEndpoint(table, "hosts", false);
  platform.store = ReadEndpoint(table, "store", false);
  table.Finish();
}

void ReadPeers(TomlTable table, HostSettings& settings) {
  for (const std::string& it : table.Strings("seeds")) {
    Endpoint endpoint;
    if (ParseEndpoint(it, endpoint)) {
      settings.seed_peers.push_back(endpoint);
      continue;
    }
    table.Report("seeds", "'" + it + "' is not an IP number and a port");
  }
  table.Finish();
}

void ReadLimits(TomlTable table, CallerLimits& limits) {
  constexpr std::size_t kKibibyte = 1024;
  limits.max_body_bytes =
      kKibibyte * table.Unsigned("max_body_kib",
                                 limits.max_body_bytes / kKibibyte, 1, 65536);
  limits.max_connections = static_cast<std::uint32_t>(
      table.Unsigned("max_connections", limits.max_connections, 8, 8192));
  limits.read_timeout = table.Milliseconds(
      "read_timeout_ms", limits.read_timeout, milliseconds(10), minutes(10));
  limits.write_timeout = table.Milliseconds(
      "write_timeout_ms", limits.write_timeout, milliseconds(10), minutes(10));
  limits.keep_alive_timeout =
      table.Milliseconds("keep_alive_timeout_ms", limits.keep_alive_timeout,
                         milliseconds(100), minutes(10));
  limits.request_timeout =
      table.Milliseconds("request_timeout_ms", limits.request_timeout,
                         milliseconds(100), hours(1));
  table.Finish();
}

void ReadBackends(TomlTable table, BackendTimeouts& backends) {
  backends.connect = table.Milliseconds("connect_timeout_ms", backends.connect,
                                        milliseconds(10), seconds(30));
  backends.first_token =
      table.Milliseconds("first_token_timeout_ms", backends.first_token,
                         milliseconds(50), minutes(10));
  backends.between_tokens =
      table.Milliseconds("between_tokens_timeout_ms", backends.between_tokens,
                         milliseconds(50), minutes(10));
  backends.report_interval =
      table.Milliseconds("report_interval_ms", backends.report_interval,
                         milliseconds(50), minutes(1));
  table.Finish();
}

void ReadShutdown(TomlTable table, ShutdownSettings& shutdown) {
  shutdown.balancer_delay =
      table.Milliseconds("balancer_delay_ms", shutdown.balancer_delay,
                         milliseconds(0), minutes(5));
  shutdown.drain_timeout = table.Milliseconds(
      "drain_timeout_ms", shutdown.drain_timeout, milliseconds(0), hours(1));
  table.Finish();
}

void ReadClaims(TomlTable table, ClaimSettings& claims) {
  claims.append_interval =
      table.Milliseconds("append_interval_ms", claims.append_interval,
                         milliseconds(1), seconds(10));
  claims.claim_wait = table.Milliseconds("claim_wait_ms", claims.claim_wait,
                                         milliseconds(100), minutes(5));
  claims.outcome_wait = table.Milliseconds(
      "outcome_wait_ms", claims.outcome_wait, milliseconds(100), minutes(10));
  claims.carry_interval =
      table.Milliseconds("carry_interval_ms", claims.carry_interval,
                         milliseconds(500), hours(24 * 7));
  table.Finish();
}

void ReadLog(TomlTable table, LogSettings& log) {
  log.level = table.String("level", log.level);
  const std::vector<std::string> levels = {"debug", "info", "warn", "error"};
  bool known = false;
  for (const std::string& it : levels)
    known = known || it == log.level;
  if (!known) {
    table.Report("level", "'level' must be debug, info, warn or error",
                 NearestName(log.level, levels));
  }
  log.json = table.Bool("json", log.json);
  table.Finish();
}

}  // namespace

std::string ToString(const Endpoint& endpoint) {
  return endpoint.ip + ":" + std::to_string(endpoint.port);
}

bool ParseEndpoint(std::string_view text, Endpoint& endpoint) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return false;
  std::string ip(text.substr(0, colon));
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
    ip = ip.substr(1, ip.size() - 2);
  const std::string_view port = text.substr(colon + 1);
  std::uint16_t number = 0;
  const auto [end, ec] =
      std::from_chars(port.data(), port.data() + port.size(), number);
  if (ec != std::errc() || end != port.data() + port.size() || !IsIpNumber(ip))
    return false;
  endpoint = {std::move(ip), number};
  return true;
}

HostSettings ParseHostSettings(std::string_view text,
                               const std::string& file,
                               Findings& findings) {
  TomlTable table = TomlTable::Parse(text, file, findings);
  HostSettings settings;
  if (!findings.empty())
    return settings;
  settings.id = HostId(table.RequiredString("host"));
  settings.zone = ZoneId(table.RequiredString("availability_zone"));
  settings.operator_token = table.RequiredString("operator_token");
  settings.zone_count =
      static_cast<int>(table.Unsigned("availability_zones", 3, 1, 64));
  settings.max_staleness = table.Milliseconds(
      "max_staleness_ms", settings.max_staleness, seconds(1), hours(24 * 7));
  ReadListen(table.Table("listen"), settings);
  ReadPlatform(table.Table("platform"), settings.platform);
  ReadPeers(table.Table("peers"), settings);
  ReadLimits(table.Table("limits"), settings.limits);
  ReadBackends(table.Table("backends"), settings.backends);
  ReadShutdown(table.Table("shutdown"), settings.shutdown);
  ReadClaims(table.Table("claims"), settings.claims);
  ReadLog(table.Table("log"), settings.log);
  table.Finish();
  SortFindings(findings);
  return settings;
}

}  // namespace mangoport
