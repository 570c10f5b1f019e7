#include <getopt.h>
#include <sys/resource.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include "mangoport/edge/edge_host.h"
#include "mangoport/settings/edge_settings.h"
#include "platform/dialect.h"
#include "platform/platform_client.h"

namespace {

constexpr int kUsageError = 2;

struct Arguments {
  std::string settings_file;
  bool check_only = false;
  bool help = false;
  bool valid = true;
};

Arguments ParseArguments(int argc, char** argv) {
  const option options[] = {{"settings", required_argument, nullptr, 's'},
                            {"check", no_argument, nullptr, 'c'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
  Arguments out;
  int it = 0;
  while ((it = getopt_long(argc, argv, "s:ch", options, nullptr)) != -1) {
    switch (it) {
      case 's':
        out.settings_file = optarg;
        break;
      case 'c':
        out.check_only = true;
        break;
      case 'h':
        out.help = true;
        break;
      default:
        out.valid = false;
    }
  }
  return out;
}

void PrintUsage(std::ostream& out) {
  out << "usage: mangoport-edge --settings FILE [--check]\n"
         "  Serves callers on the users' platform until SIGTERM; SIGHUP reads\n"
         "  the settings anew.\n"
         "  --check  only check the settings\n"
         "environment:\n"
         "  MANGOPORT_MACHINE_MB  the machine's memory in MB, unless the\n"
         "                        settings state it\n";
}

std::optional<mangoport::EdgeSettings> ReadSettings(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    std::cerr << file << ": error: can't be read\n";
    return std::nullopt;
  }
  const std::string text((std::istreambuf_iterator<char>(in)),
                         std::istreambuf_iterator<char>());
  mangoport::Findings findings;
  mangoport::EdgeSettings settings =
      mangoport::ParseEdgeSettings(text, file, findings);
  const char* memory = std::getenv(mangoport::kMachineMemoryVariable);
  mangoport::ApplyMachineMemory(memory ? memory : "", settings, findings);
  for (const mangoport::Finding& it : findings)
    std::cerr << mangoport::FormatFinding(it) << "\n";
  if (!findings.empty())
    return std::nullopt;
  return settings;
}

/// Every connection takes a descriptor: as many as the machine allows.
void RaiseDescriptorLimit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

int Serve(const mangoport::EdgeSettings& settings, const std::string& file) {
  std::signal(SIGPIPE, SIG_IGN);
  RaiseDescriptorLimit();
  mangoport::EdgeHost host(
      settings, mangoport::platform::PlatformDialect(),
      [](mangoport::HttpCaller& caller, const mangoport::EdgeSettings& it,
         mangoport::ForwardMetrics& metrics) {
        return std::make_unique<mangoport::platform::PlatformClient>(
            caller, it.store,
            [&metrics](std::string_view call, mangoport::CallStatus status,
                       mangoport::Duration time) {
              metrics.OnCall(call, status == mangoport::CallStatus::kOk, time);
            });
      },
      [file] { return ReadSettings(file); });
  host.Run();
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = ParseArguments(argc, argv);
  if (arguments.help) {
    PrintUsage(std::cout);
    return EXIT_SUCCESS;
  }
  if (!arguments.valid || arguments.settings_file.empty()) {
    PrintUsage(std::cerr);
    return kUsageError;
  }
  const auto settings = ReadSettings(arguments.settings_file);
  if (!settings)
    return EXIT_FAILURE;
  if (arguments.check_only)
    return EXIT_SUCCESS;
  try {
    return Serve(*settings, arguments.settings_file);
  } catch (const std::exception& error) {
    std::cerr << "mangoport-edge: " << error.what() << "\n";
    return EXIT_FAILURE;
  }
}
