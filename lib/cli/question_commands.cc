#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>

#include "command.h"
#include "mangoport/adapters/http_operator.h"
#include "mangoport/adapters/http_platform.h"
#include "mangoport/adapters/json.h"
#include "mangoport/audit.pb.h"
#include "mangoport/ledger/envelope.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStatusTimeout = milliseconds(2000);
constexpr std::size_t kMaxEntries = 512;

constexpr const char* kStatusHelp =
    "usage: mangoport status --config OPERATOR.toml [--json]\n\n"
    "Shows every host's availability zone, readiness, configuration offset "
    "and\n"
    "its age, requests under way, and the backend servers as it sees them.\n\n"
    "exit codes: 0 every host answered, 6 some did not\n\n"
    "example: mangoport status --config operator.toml\n";

constexpr const char* kAuditHelp =
    "usage: mangoport audit --config OPERATOR.toml [--json]\n\n"
    "Prints the audit trail that the log keeps, oldest first.\n\n"
    "exit codes: 0 printed, 6 the log can't be read\n\n"
    "example: mangoport audit --config operator.toml\n";

constexpr const char* kExplainHelp =
    "usage: mangoport explain --config OPERATOR.toml REQUEST|ACCOUNT|SERVER\n\n"
    "Tells in plain sentences what was decided about a request, a client\n"
    "account, a model or a backend server, and why, from the audit trail.\n\n"
    "exit codes: 0 found, 1 nothing is known, 6 the log can't be read\n\n"
    "example: mangoport explain --config operator.toml gallery-one\n";

/// Reads the whole audit trail; nothing if the log does not answer.
std::optional<std::vector<wire::AuditRecord>> ReadAudit(LogService& log) {
  std::vector<wire::AuditRecord> records;
  RecordReader reader(
      [&records](const LogPosition&, const wire::Envelope& envelope) {
        wire::AuditRecord record;
        if (envelope.kind() == wire::RECORD_KIND_AUDIT &&
            record.ParseFromString(envelope.body()))
          records.push_back(std::move(record));
      });
  while (true) {
    const LogPage page = log.Read(StreamId("audit"), reader.next_offset(),
                                  kMaxEntries, Duration::zero());
    if (!page.ok)
      return std::nullopt;
    for (const LogEntry& it : page.entries)
      reader.ReadEntry(it.offset, it.payload);
    if (page.entries.size() < kMaxEntries)
      break;
  }
  std::stable_sort(records.begin(), records.end(),
                   [](const auto& a, const auto& b) {
                     return a.wall_time_ms() < b.wall_time_ms();
                   });
  return records;
}

std::string FormatTime(std::int64_t wall_time_ms) {
  const auto seconds = static_cast<std::time_t>(wall_time_ms / 1000);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char buf[32];
  std::strftime(buf, sizeof(buf), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return buf;
}

std::string Sentence(const wire::AuditRecord& it) {
  std::string text = FormatTime(it.wall_time_ms()) + " host " + it.host();
  if (!it.account().empty())
    text += ", client account " + it.account();
  if (!it.request().empty())
    text += ", request " + it.request();
  if (!it.server().empty())
    text += ", backend server " + it.server();
  if (!it.model().empty())
    text += ", model " + it.model();
  text += ": " + it.text();
  if (it.count() > 1)
    text += " (" + std::to_string(it.count()) + " times)";
  return text;
}

bool IsAbout(const wire::AuditRecord& it, const std::string& subject) {
  return it.request() == subject || it.account() == subject ||
         it.server() == subject || it.model() == subject ||
         it.host() == subject;
}

ExitCode PrintRecords(const CommandArguments& arguments,
                      const std::string& subject) {
  const std::optional<OperatorSettings> settings =
      LoadOperatorSettings(arguments.config);
  if (!settings)
    return ExitCode::kFindings;
  const std::unique_ptr<LogService> log = MakeHttpLogService(settings->log);
  const auto records = ReadAudit(*log);
  if (!records) {
    std::fputs("mangoport: the log can't be read\n", stderr);
    return ExitCode::kUnreachable;
  }
  std::size_t n = 0;
  for (const wire::AuditRecord& it : *records) {
    if (!subject.empty() && !IsAbout(it, subject))
      continue;
    ++n;
    if (arguments.json) {
      std::printf("%s\n", nlohmann::json({{"time_ms", it.wall_time_ms()},
                                          {"host", it.host()},
                                          {"request", it.request()},
                                          {"account", it.account()},
                                          {"server", it.server()},
                                          {"model", it.model()},
                                          {"count", it.count()},
                                          {"text", it.text()}})
                              .dump()
                              .c_str());
      continue;
    }
    std::printf("%s\n", Sentence(it).c_str());
  }
  if (n == 0 && !subject.empty()) {
    std::printf("nothing is known about '%s'\n", subject.c_str());
    return ExitCode::kFailed;
  }
  return ExitCode::kOk;
}

void PrintHost(const nlohmann::json& it) {
  std::printf(
      "host %s, availability zone %s: %s, configuration offset %llu "
      "seen %lld ms ago, %llu requests under way\n",
      it.value("host", "").c_str(), it.value("availability_zone", "").c_str(),
      it.value("ready", false) ? "ready" : "not ready",
      it.value("config_next_offset", 0ULL),
      it.value("config_evidence_age_ms", 0LL),
      it.value("active_requests", 0ULL));
}

ExitCode Status(const CommandArguments& arguments) {
  const std::optional<OperatorSettings> settings =
      LoadOperatorSettings(arguments.config);
  if (!settings)
    return ExitCode::kFindings;
  ExitCode code = ExitCode::kOk;
  nlohmann::json servers;
  for (const Endpoint& it : settings->hosts) {
    const OperatorClient client(it, settings->token);
    const std::optional<std::string> body =
        client.Get("/operator/v1/status", kStatusTimeout);
    const nlohmann::json status =
        body ? ParseJson(*body) : nlohmann::json::object();
    if (!body || !status.is_object()) {
      std::printf("host at %s: no answer\n", ToString(it).c_str());
      code = ExitCode::kUnreachable;
      continue;
    }
    if (arguments.json) {
      std::printf("%s\n", status.dump().c_str());
      continue;
    }
    PrintHost(status);
    servers = status.value("servers", nlohmann::json::array());
  }
  for (const nlohmann::json& it : servers) {
    std::printf(
        "backend server %s, availability zone %s: %s%s, models %s, %u running, "
        "%u queued, %llu of %llu MB\n",
        it.value("id", "").c_str(), it.value("availability_zone", "").c_str(),
        it.value("reachable", false) ? "reachable" : "not reachable",
        it.value("leaving", false) ? ", leaving" : "",
        it.value("models", nlohmann::json::array()).dump().c_str(),
        it.value("running", 0U), it.value("queued", 0U),
        it.value("memory_used_mb", 0ULL), it.value("memory_total_mb", 0ULL));
  }
  return code;
}

ExitCode Explain(const CommandArguments& arguments) {
  if (arguments.operands.size() != 1) {
    std::fputs(kExplainHelp, stderr);
    return ExitCode::kUsage;
  }
  return PrintRecords(arguments, arguments.operands.front());
}

}  // namespace

Command StatusCommand() {
  return {"status", "Show hosts and backend servers.", kStatusHelp, Status};
}

Command AuditCommand() {
  return {"audit", "Print the audit trail.", kAuditHelp,
          [](const CommandArguments& arguments) {
            return PrintRecords(arguments, "");
          }};
}

Command ExplainCommand() {
  return {"explain", "Tell why something was refused or changed.", kExplainHelp,
          Explain};
}

}  // namespace mangoport
