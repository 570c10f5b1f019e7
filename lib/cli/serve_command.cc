#include <csignal>
#include <cstdio>
#include <thread>

#include <boost/leaf/handle_errors.hpp>

#include "command.h"
#include "mangoport/adapters/logging.h"
#include "mangoport/entryhost/entry_host.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {
namespace {

constexpr const char* kHelp =
    "usage: mangoport serve --config FILE\n\n"
    "Runs one entry host until SIGTERM or SIGINT, then shuts down gracefully:\n"
    "readiness off, wait for the balancer, finish every request, exit.\n\n"
    "exit codes: 0 every request finished, 1 some were cut or the start\n"
    "failed, 3 the settings have findings\n\n"
    "example: mangoport serve --config host.toml\n";

/// Turns the stop signals into a graceful shutdown. The signals are blocked in
/// all threads and waited for here.
void ShutDownOnSignal(EntryHost& host, const sigset_t& signals) {
  int received = 0;
  sigwait(&signals, &received);
  host.RequestShutdown();
}

ExitCode Serve(const CommandArguments& arguments) {
  const std::optional<std::string> text = ReadFile(arguments.config);
  if (!text) {
    std::fprintf(stderr, "%s: error: cannot be read\n",
                 arguments.config.c_str());
    return ExitCode::kUsage;
  }
  Findings findings;
  const HostSettings settings =
      ParseHostSettings(*text, arguments.config, findings);
  if (!findings.empty()) {
    PrintFindings(findings);
    return ExitCode::kFindings;
  }
  SetUpLogging(settings.log, settings.id);
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  EntryHost host(settings);
  return boost::leaf::try_handle_all(
      [&]() -> Result<ExitCode> {
        BOOST_LEAF_CHECK(host.Start());
        std::thread([&host, signals] {
          ShutDownOnSignal(host, signals);
        }).detach();
        return host.WaitForShutdown() ? ExitCode::kOk : ExitCode::kFailed;
      },
      [](const Error& error) {
        std::fprintf(stderr, "mangoport: %s\n", error.message.c_str());
        return ExitCode::kFailed;
      },
      [] { return ExitCode::kFailed; });
}

}  // namespace

Command ServeCommand() {
  return {"serve", "Run one entry host.", kHelp, Serve};
}

}  // namespace mangoport
