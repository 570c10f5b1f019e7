#ifndef MANGOPORT_LIB_CLI_COMMAND_H_
#define MANGOPORT_LIB_CLI_COMMAND_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mangoport/cli/cli.h"
#include "mangoport/core/finding.h"
#include "mangoport/core/time.h"
#include "mangoport/settings/operator_settings.h"

namespace mangoport {

/// A command's options and arguments, as getopt_long found them.
struct CommandArguments {
  std::string config;
  bool json = false;
  bool help = false;
  Duration wait = std::chrono::seconds(30);
  std::string reason;
  std::vector<std::string> operands;
};

/// One command of the command line.
struct Command {
  std::string name;
  std::string summary;
  std::string help;
  std::function<ExitCode(const CommandArguments&)> run;
};

/// Reads a whole file, or nothing if it can't be read.
std::optional<std::string> ReadFile(const std::string& path);

/// Prints findings on standard error, a line each.
void PrintFindings(const Findings& findings);

/// Reads the operators' settings; prints what is wrong with them.
std::optional<OperatorSettings> LoadOperatorSettings(const std::string& path);

Command ServeCommand();
Command CheckCommand();
Command DiffCommand();
Command PublishCommand();
Command KeyCommand();
Command StatusCommand();
Command AuditCommand();
Command ExplainCommand();
Command VersionCommand();

}  // namespace mangoport

#endif  // MANGOPORT_LIB_CLI_COMMAND_H_
