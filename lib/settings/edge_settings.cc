#include "mangoport/settings/edge_settings.h"

#include <charconv>

#include "toml_table.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr double kLeastStopGraceSeconds = 0.5;
constexpr double kMostStopGraceSeconds = 3600;

Endpoint ReadEndpoint(TomlTable& table, std::string_view key) {
  const std::string text = table.RequiredString(key);
  Endpoint endpoint;
  if (!text.empty() && !ParseEndpoint(text, endpoint)) {
    table.Report(key, "'" + std::string(key) +
                          "' must be an IP number and a port, such as "
                          "127.0.0.1:8080");
  }
  return endpoint;
}

void ReadListen(TomlTable table, EdgeSettings& settings) {
  settings.callers = ReadEndpoint(table, "callers");
  settings.readiness = ReadEndpoint(table, "readiness");
  settings.peers = ReadEndpoint(table, "peers");
  const std::string metrics = table.String("metrics");
  if (!metrics.empty()) {
    Endpoint endpoint;
    if (ParseEndpoint(metrics, endpoint))
      settings.metrics = endpoint;
    else
      table.Report("metrics", "'metrics' must be an IP number and a port");
  }
  table.Finish();
}

double ReadNumber(TomlTable& table,
                  std::string_view key,
                  double fallback,
                  double low,
                  double high) {
  const double value = table.Number(key).value_or(fallback);
  if (value >= low && value <= high)
    return value;
  table.Report(key, "'" + std::string(key) + "' is out of range");
  return fallback;
}

void ReadBounds(TomlTable table, EdgeBounds& bounds) {
  bounds.key_withdrawal =
      table.Milliseconds("key_withdrawal_ms", bounds.key_withdrawal,
                         milliseconds(1000), minutes(60));
  bounds.server_drain = table.Milliseconds(
      "server_drain_ms", bounds.server_drain, milliseconds(100), minutes(10));
  bounds.config_apply = table.Milliseconds(
      "config_apply_ms", bounds.config_apply, milliseconds(100), minutes(10));
  const std::chrono::duration<double> grace(
      ReadNumber(table, "stop_grace_s",
                 std::chrono::duration<double>(bounds.stop_grace).count(),
                 kLeastStopGraceSeconds, kMostStopGraceSeconds));
  bounds.stop_grace = std::chrono::duration_cast<Duration>(grace);
  bounds.order_lease = table.Milliseconds("order_lease_ms", bounds.order_lease,
                                          milliseconds(100), minutes(10));
  bounds.repeat_ratio =
      ReadNumber(table, "repeat_ratio", bounds.repeat_ratio, 0, 10);
  bounds.repeat_extra =
      ReadNumber(table, "repeat_extra", bounds.repeat_extra, 0, 1e6);
  bounds.fail_closed = table.Bool("fail_closed", bounds.fail_closed);
  table.Finish();
}

/// The greatest memory of a machine, in MB.
constexpr double kMostMb = 16.0 * 1024 * 1024;

void ReadMemory(TomlTable table, EdgeSettings& settings) {
  if (table.Number("machine_mb"))
    settings.machine_memory_mb = static_cast<std::uint64_t>(
        ReadNumber(table, "machine_mb", 0, 1, kMostMb));
  table.Finish();
}

}  // namespace

void ApplyMachineMemory(std::string_view text,
                        EdgeSettings& settings,
                        Findings& findings) {
  if (text.empty() || settings.machine_memory_mb)
    return;
  std::uint64_t mb = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), mb);
  if (parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() &&
      mb >= 1 && static_cast<double>(mb) <= kMostMb) {
    settings.machine_memory_mb = mb;
    return;
  }
  findings.push_back(
      {.place = {.file = kMachineMemoryVariable, .line = 0, .column = 0},
       .message = "is no number of MB: " + std::string(text),
       .suggestion = {}});
}

EdgeSettings ParseEdgeSettings(std::string_view text,
                               const std::string& file,
                               Findings& findings) {
  TomlTable table = TomlTable::Parse(text, file, findings);
  EdgeSettings settings;
  if (!findings.empty())
    return settings;
  settings.host = HostId(table.RequiredString("host"));
  settings.zone = ZoneId(table.RequiredString("availability_zone"));
  ReadListen(table.Table("listen"), settings);
  TomlTable platform = table.Table("platform");
  settings.store = ReadEndpoint(platform, "store");
  platform.Finish();
  ReadBounds(table.Table("bounds"), settings.bounds);
  ReadMemory(table.Table("memory"), settings);
  TomlTable routing = table.Table("routing");
  settings.zone_crossing_cost =
      routing.Milliseconds("zone_crossing_ms", settings.zone_crossing_cost,
                           milliseconds(0), minutes(1));
  routing.Finish();
  table.Finish();
  SortFindings(findings);
  return settings;
}

}  // namespace mangoport
