#include "mangoport/cli/cli.h"

#include <getopt.h>

#include <charconv>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>

#include "command.h"

namespace mangoport {
namespace {

constexpr std::string_view kVersion = "0.1.0";

std::vector<Command> AllCommands() {
  return {ServeCommand(),   CheckCommand(),   DiffCommand(),
          PublishCommand(), KeyCommand(),     StatusCommand(),
          AuditCommand(),   ExplainCommand(), VersionCommand()};
}

void PrintUsage(std::FILE* out) {
  std::fputs("usage: mangoport COMMAND [options]\n\n", out);
  for (const Command& it : AllCommands())
    std::fprintf(out, "  %-9s %s\n", it.name.c_str(), it.summary.c_str());
  std::fputs("\n'mangoport COMMAND --help' tells more.\n", out);
}

/// Parses options after the command's name; nothing if they are wrong.
std::optional<CommandArguments> ParseArguments(int argc, char** argv) {
  const option options[] = {{"config", required_argument, nullptr, 'c'},
                            {"json", no_argument, nullptr, 'j'},
                            {"wait-ms", required_argument, nullptr, 'w'},
                            {"reason", required_argument, nullptr, 'r'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
  CommandArguments parsed;
  int flag = 0;
  while ((flag = getopt_long(argc, argv, "c:h", options, nullptr)) != -1) {
    if (flag == 'c')
      parsed.config = optarg;
    if (flag == 'j')
      parsed.json = true;
    if (flag == 'r')
      parsed.reason = optarg;
    if (flag == 'h')
      parsed.help = true;
    if (flag == 'w') {
      std::uint32_t ms = 0;
      const char* end = optarg + std::strlen(optarg);
      const auto [rest, ec] = std::from_chars(optarg, end, ms);
      if (ec != std::errc() || rest != end) {
        std::fputs("mangoport: --wait-ms takes a whole number\n", stderr);
        return std::nullopt;
      }
      parsed.wait = std::chrono::milliseconds(ms);
    }
    if (flag == '?')
      return std::nullopt;
  }
  parsed.operands.assign(argv + optind, argv + argc);
  return parsed;
}

}  // namespace

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(in), {});
}

void PrintFindings(const Findings& findings) {
  for (const Finding& it : findings)
    std::fprintf(stderr, "%s\n", FormatFinding(it).c_str());
}

std::optional<OperatorSettings> LoadOperatorSettings(const std::string& path) {
  if (path.empty()) {
    std::fputs("mangoport: --config FILE is needed\n", stderr);
    return std::nullopt;
  }
  const std::optional<std::string> text = ReadFile(path);
  if (!text) {
    std::fprintf(stderr, "%s: error: cannot be read\n", path.c_str());
    return std::nullopt;
  }
  Findings findings;
  OperatorSettings settings = ParseOperatorSettings(*text, path, findings);
  if (findings.empty())
    return settings;
  PrintFindings(findings);
  return std::nullopt;
}

Command VersionCommand() {
  return {"version", "Print the version.",
          "usage: mangoport version\n\nexample: mangoport version\n",
          [](const CommandArguments& /*arguments*/) {
            std::printf("mangoport %s\n", std::string(kVersion).c_str());
            return ExitCode::kOk;
          }};
}

ExitCode RunCommandLine(int argc, char** argv) {
  if (argc < 2) {
    PrintUsage(stderr);
    return ExitCode::kUsage;
  }
  const std::string name = argv[1];
  if (name == "--help" || name == "-h" || name == "help") {
    PrintUsage(stdout);
    return ExitCode::kOk;
  }
  std::vector<std::string> names;
  for (const Command& it : AllCommands()) {
    names.push_back(it.name);
    if (it.name != name)
      continue;
    const std::optional<CommandArguments> parsed =
        ParseArguments(argc - 1, argv + 1);
    if (!parsed) {
      std::fputs(it.help.c_str(), stderr);
      return ExitCode::kUsage;
    }
    if (parsed->help) {
      std::fputs(it.help.c_str(), stdout);
      return ExitCode::kOk;
    }
    return it.run(*parsed);
  }
  const std::string near = NearestName(name, names);
  std::fprintf(stderr, "mangoport: unknown command '%s'%s\n", name.c_str(),
               near.empty() ? "" : ("; did you mean '" + near + "'?").c_str());
  return ExitCode::kUsage;
}

}  // namespace mangoport
