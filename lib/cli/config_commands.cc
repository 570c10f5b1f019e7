#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "command.h"
#include "mangoport/adapters/http_operator.h"
#include "mangoport/adapters/http_platform.h"
#include "mangoport/adapters/json.h"
#include "mangoport/cli/config_client.h"
#include "mangoport/ledger/config_rules.h"
#include "mangoport/ledger/key_digest.h"
#include "mangoport/settings/fleet_file.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;

constexpr Duration kStatusTimeout = milliseconds(1000);
constexpr Duration kPollPause = milliseconds(50);

constexpr const char* kCheckHelp =
    "usage: mangoport check FILE...\n\n"
    "Checks host settings, operator settings and fleet files; every finding\n"
    "is reported with its place. Which kind a file is shows in its names:\n"
    "'host' makes host settings, 'operator' operator settings.\n\n"
    "exit codes: 0 clean, 3 findings\n\n"
    "example: mangoport check host.toml fleet.toml\n";

constexpr const char* kDiffHelp =
    "usage: mangoport diff --config OPERATOR.toml FLEET.toml\n\n"
    "Shows what publishing the fleet file would change.\n\n"
    "exit codes: 0 shown, 3 findings, 6 the log can't be reached\n\n"
    "example: mangoport diff --config operator.toml fleet.toml\n";

constexpr const char* kPublishHelp =
    "usage: mangoport publish --config OPERATOR.toml [--wait-ms N] [--json]\n"
    "       FLEET.toml\n\n"
    "Publishes models, adapters, backend servers, routes, templates and "
    "client\n"
    "accounts, says whether the change won, and waits until it is in force on\n"
    "every host that the settings name.\n\n"
    "exit codes: 0 in force everywhere, 3 findings, 4 refused (lost a race or\n"
    "breaks a rule), 5 accepted but not yet in force everywhere, 6 the log\n"
    "can't be reached\n\n"
    "example: mangoport publish --config operator.toml fleet.toml\n";

constexpr const char* kKeyHelp =
    "usage: mangoport key issue --config OPERATOR.toml ACCOUNT\n"
    "       mangoport key withdraw --config OPERATOR.toml [--reason TEXT] "
    "ID\n\n"
    "Issues a key, which is printed once and kept nowhere, or withdraws one "
    "by\n"
    "its id (the part between the underscores). If the log can't be reached, "
    "a\n"
    "withdrawal is handed to the hosts directly and must be repeated later.\n\n"
    "exit codes: as for publish\n\n"
    "example: mangoport key issue --config operator.toml gallery-one\n";

/// Names the hosts on which offsets before `next_offset` are not yet in force.
std::set<std::string> HostsBehind(const OperatorSettings& settings,
                                  std::uint64_t next_offset) {
  std::set<std::string> behind;
  for (const Endpoint& it : settings.hosts) {
    const OperatorClient client(it, settings.token);
    const std::optional<std::string> body =
        client.Get("/operator/v1/status", kStatusTimeout);
    const nlohmann::json status =
        body ? ParseJson(*body) : nlohmann::json::object();
    if (!status.is_object() ||
        status.value("config_next_offset", std::uint64_t{0}) < next_offset)
      behind.insert(ToString(it));
  }
  return behind;
}

/// Waits until a change is in force on every host; prints how it went.
ExitCode AwaitInForce(const OperatorSettings& settings,
                      const CommandArguments& arguments,
                      std::uint64_t next_offset) {
  const MonoTime start = steady_clock::now();
  std::set<std::string> behind;
  do {
    behind = HostsBehind(settings, next_offset);
    if (behind.empty())
      break;
    std::this_thread::sleep_for(kPollPause);
  } while (steady_clock::now() - start < arguments.wait);
  const auto ms =
      duration_cast<milliseconds>(steady_clock::now() - start).count();
  if (arguments.json) {
    std::printf("%s\n", nlohmann::json({{"accepted", true},
                                        {"next_offset", next_offset},
                                        {"hosts", settings.hosts.size()},
                                        {"not_in_force_on", behind},
                                        {"waited_ms", ms}})
                            .dump()
                            .c_str());
  } else {
    std::printf("in force on %zu of %zu hosts after %lld ms\n",
                settings.hosts.size() - behind.size(), settings.hosts.size(),
                static_cast<long long>(ms));
    for (const std::string& it : behind)
      std::printf("no answer or not yet in force: %s\n", it.c_str());
  }
  return behind.empty() ? ExitCode::kOk : ExitCode::kNotInForce;
}

ExitCode FinishPublish(const OperatorSettings& settings,
                       const CommandArguments& arguments,
                       const PublishResult& result) {
  if (result.status == PublishStatus::kAccepted) {
    if (!arguments.json)
      std::printf("accepted at offset %llu\n",
                  static_cast<unsigned long long>(result.in_force_from - 1));
    return AwaitInForce(settings, arguments, result.in_force_from);
  }
  std::fprintf(
      stderr, "mangoport: %s: %s\n",
      result.status == PublishStatus::kRefused ? "refused" : "not published",
      result.reason.c_str());
  return result.status == PublishStatus::kRefused ? ExitCode::kRefused
                                                  : ExitCode::kUnreachable;
}

/// Parses the fleet file in the command's operand; prints what is wrong.
std::optional<wire::ConfigChange> LoadFleetFile(
    const CommandArguments& arguments) {
  if (arguments.operands.size() != 1) {
    std::fputs("mangoport: one fleet file is needed\n", stderr);
    return std::nullopt;
  }
  const std::string& path = arguments.operands.front();
  const std::optional<std::string> text = ReadFile(path);
  if (!text) {
    std::fprintf(stderr, "%s: error: cannot be read\n", path.c_str());
    return std::nullopt;
  }
  Findings findings;
  wire::ConfigChange change = ParseFleetFile(*text, path, findings);
  if (findings.empty())
    return change;
  PrintFindings(findings);
  return std::nullopt;
}

/// Leaves out the puts that would change nothing.
void DropUnchanged(const ItemMap& items, wire::ConfigChange& change) {
  wire::ConfigChange kept = change;
  kept.clear_puts();
  for (const wire::ConfigItem& it : change.puts()) {
    const auto stored = items.find(KeyOf(it));
    if (stored == items.end() ||
        stored->second->item.SerializeAsString() != it.SerializeAsString())
      *kept.add_puts() = it;
  }
  change = std::move(kept);
}

bool IsOperatorFile(const std::string& text) {
  return text.starts_with("operator =") ||
         text.find("\noperator =") != std::string::npos;
}

bool IsHostFile(const std::string& text) {
  return text.starts_with("host =") ||
         text.find("\nhost =") != std::string::npos;
}

ExitCode Check(const CommandArguments& arguments) {
  Findings findings;
  for (const std::string& it : arguments.operands) {
    const std::optional<std::string> text = ReadFile(it);
    Findings own;
    if (!text) {
      own.push_back({{it, 0, 0}, "cannot be read", ""});
    } else if (IsHostFile(*text)) {
      ParseHostSettings(*text, it, own);
    } else if (IsOperatorFile(*text)) {
      ParseOperatorSettings(*text, it, own);
    } else {
      ParseFleetFile(*text, it, own);
    }
    findings.insert(findings.end(), own.begin(), own.end());
  }
  PrintFindings(findings);
  if (!findings.empty())
    return ExitCode::kFindings;
  std::printf("%zu files are clean\n", arguments.operands.size());
  return ExitCode::kOk;
}

/// What a command does with the change of a fleet file, once the configuration
/// has been read and what would change nothing has been left out.
using UseChange = std::function<ExitCode(const OperatorSettings& settings,
                                         const wire::ConfigChange& change,
                                         ConfigClient& client)>;

ExitCode WithFleetFile(const CommandArguments& arguments,
                       const UseChange& use) {
  const std::optional<OperatorSettings> settings =
      LoadOperatorSettings(arguments.config);
  std::optional<wire::ConfigChange> change = LoadFleetFile(arguments);
  if (!settings || !change)
    return ExitCode::kFindings;
  const std::unique_ptr<LogService> log = MakeHttpLogService(settings->log);
  ConfigClient client(*log, settings->name);
  if (!client.Refresh()) {
    std::fputs("mangoport: the log can't be read\n", stderr);
    return ExitCode::kUnreachable;
  }
  DropUnchanged(client.items(), *change);
  return use(*settings, *change, client);
}

ExitCode ShowChange(const wire::ConfigChange& change, ConfigClient& client) {
  for (const wire::ConfigItem& it : change.puts()) {
    const bool is_new = !client.items().contains(KeyOf(it));
    std::printf("%s %s\n", is_new ? "+" : "~", ToString(KeyOf(it)).c_str());
  }
  for (const wire::ItemName& it : change.removals())
    std::printf("- %s\n", ToString(ItemKey{it.kind(), it.name()}).c_str());
  for (const std::string& it : FindProblems(client.items(), change))
    std::printf("would be refused: %s\n", it.c_str());
  return ExitCode::kOk;
}

ExitCode Diff(const CommandArguments& arguments) {
  return WithFleetFile(
      arguments,
      [](const OperatorSettings& /*settings*/, const wire::ConfigChange& change,
         ConfigClient& client) { return ShowChange(change, client); });
}

ExitCode Publish(const CommandArguments& arguments) {
  return WithFleetFile(arguments, [&arguments](const OperatorSettings& settings,
                                               const wire::ConfigChange& change,
                                               ConfigClient& client) {
    if (change.puts_size() == 0 && change.removals_size() == 0) {
      std::puts("nothing to change");
      return ExitCode::kOk;
    }
    return FinishPublish(settings, arguments,
                         client.Publish(change, system_clock::now()));
  });
}

ExitCode IssueKeyFor(const OperatorSettings& settings,
                     const CommandArguments& arguments,
                     ConfigClient& client,
                     const std::string& account) {
  const IssuedKey issued = IssueKey(AccountId(account));
  wire::ConfigChange change;
  *change.add_puts()->mutable_key() = issued.record;
  const PublishResult result = client.Publish(change, system_clock::now());
  if (result.status == PublishStatus::kAccepted)
    std::printf("key %s\n", issued.text.c_str());
  return FinishPublish(settings, arguments, result);
}

/// While the log is out, hands a withdrawal to the hosts themselves.
ExitCode WithdrawAtHosts(const OperatorSettings& settings,
                         const std::string& id,
                         const std::string& reason) {
  std::size_t n = 0;
  const std::string body =
      nlohmann::json({{"key", id}, {"reason", reason}}).dump();
  for (const Endpoint& it : settings.hosts) {
    const OperatorClient client(it, settings.token);
    if (client.Post("/operator/v1/withdraw", body, kStatusTimeout))
      ++n;
  }
  std::fprintf(stderr,
               "mangoport: the log can't be reached; %zu of %zu hosts took the "
               "withdrawal directly; repeat it once the log is back\n",
               n, settings.hosts.size());
  return ExitCode::kUnreachable;
}

ExitCode WithdrawKey(const OperatorSettings& settings,
                     const CommandArguments& arguments,
                     ConfigClient& client,
                     const std::string& id) {
  if (!client.Refresh())
    return WithdrawAtHosts(settings, id, arguments.reason);
  const wire::KeyConfig* stored = client.view().FindKey(KeyId(id));
  if (!stored) {
    std::fprintf(stderr, "mangoport: there is no key with id '%s'\n",
                 id.c_str());
    return ExitCode::kFailed;
  }
  wire::ConfigChange change;
  wire::KeyConfig* key = change.add_puts()->mutable_key();
  *key = *stored;
  key->set_withdrawn(true);
  key->set_withdrawal_reason(arguments.reason);
  const PublishResult result = client.Publish(change, system_clock::now());
  if (result.status == PublishStatus::kNotAppended ||
      result.status == PublishStatus::kUnknown)
    return WithdrawAtHosts(settings, id, arguments.reason);
  return FinishPublish(settings, arguments, result);
}

ExitCode Key(const CommandArguments& arguments) {
  if (arguments.operands.size() != 2) {
    std::fputs(kKeyHelp, stderr);
    return ExitCode::kUsage;
  }
  const std::string& action = arguments.operands[0];
  if (action != "issue" && action != "withdraw") {
    std::fputs(kKeyHelp, stderr);
    return ExitCode::kUsage;
  }
  const std::optional<OperatorSettings> settings =
      LoadOperatorSettings(arguments.config);
  if (!settings)
    return ExitCode::kFindings;
  const std::unique_ptr<LogService> log = MakeHttpLogService(settings->log);
  ConfigClient client(*log, settings->name);
  if (action == "withdraw")
    return WithdrawKey(*settings, arguments, client, arguments.operands[1]);
  if (!client.Refresh()) {
    std::fputs("mangoport: the log can't be read\n", stderr);
    return ExitCode::kUnreachable;
  }
  return IssueKeyFor(*settings, arguments, client, arguments.operands[1]);
}

}  // namespace

Command CheckCommand() {
  return {"check", "Check settings and fleet files.", kCheckHelp, Check};
}

Command DiffCommand() {
  return {"diff", "Show what a fleet file would change.", kDiffHelp, Diff};
}

Command PublishCommand() {
  return {"publish", "Publish a fleet file.", kPublishHelp, Publish};
}

Command KeyCommand() {
  return {"key", "Issue or withdraw a key.", kKeyHelp, Key};
}

}  // namespace mangoport
