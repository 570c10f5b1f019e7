#ifndef MANGOPORT_CLI_CLI_H_
#define MANGOPORT_CLI_CLI_H_

namespace mangoport {

/// The exit status of the process.
enum class ExitCode {
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  /// The input has findings; they stand on standard error.
  kFindings = 3,
  /// The change lost a race or breaks a rule.
  kRefused = 4,
  /// The change is accepted but not yet seen in force on every host.
  kNotInForce = 5,
  /// The log or a host can't be reached.
  kUnreachable = 6,
};

/// Runs the command line `mangoport COMMAND ...`.
ExitCode RunCommandLine(int argc, char** argv);

}  // namespace mangoport

#endif  // MANGOPORT_CLI_CLI_H_
