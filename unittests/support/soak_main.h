#ifndef MANGOPORT_UNITTESTS_SUPPORT_SOAK_MAIN_H_
#define MANGOPORT_UNITTESTS_SUPPORT_SOAK_MAIN_H_

#include <getopt.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "mangoport/core/invariant.h"
#include "mangoport/core/mutant.h"

namespace mangoport {

/// What a randomised run is told on its command line.
struct SoakOptions {
  std::uint64_t seed = 1;
  std::uint64_t steps = 20000;
};

/// Where the run is, for the report of a broken invariant.
struct SoakProgress {
  std::uint64_t step = 0;
  /// The latest events; the run appends, the report prints the last few.
  std::vector<std::string> trace;

  void Note(std::string event) {
    constexpr std::size_t kKept = 400;
    if (trace.size() >= 2 * kKept)
      trace.erase(trace.begin(), trace.begin() + kKept);
    trace.push_back("step " + std::to_string(step) + ": " + std::move(event));
  }
};

/// Parses `--seed N --steps M --mutant NAME --list-mutants`, installs an
/// invariant handler that prints seed, step and the latest events, and runs.
inline int SoakMain(
    int argc,
    char** argv,
    const std::vector<std::string>& mutants,
    const std::function<void(const SoakOptions&, SoakProgress&)>& run) {
  const option options[] = {{"seed", required_argument, nullptr, 's'},
                            {"steps", required_argument, nullptr, 'n'},
                            {"mutant", required_argument, nullptr, 'm'},
                            {"list-mutants", no_argument, nullptr, 'l'},
                            {nullptr, 0, nullptr, 0}};
  SoakOptions parsed;
  int flag = 0;
  while ((flag = getopt_long(argc, argv, "", options, nullptr)) != -1) {
    if (flag == 's')
      parsed.seed = std::strtoull(optarg, nullptr, 10);
    if (flag == 'n')
      parsed.steps = std::strtoull(optarg, nullptr, 10);
    if (flag == 'l') {
      for (const std::string& it : mutants)
        std::printf("%s\n", it.c_str());
      return 0;
    }
    if (flag == 'm') {
#ifdef MANGOPORT_MUTANTS
      EnableMutant(optarg);
#else
      std::fprintf(stderr, "this build has no planted faults\n");
      return 2;
#endif
    }
    if (flag == '?')
      return 2;
  }
  SoakProgress progress;
  SetInvariantHandler([&](std::string_view name, std::string_view detail) {
    constexpr std::size_t kShown = 20;
    const std::size_t n = progress.trace.size();
    for (std::size_t i = n > kShown ? n - kShown : 0; i < n; ++i)
      std::fprintf(stderr, "  %s\n", progress.trace[i].c_str());
    std::fprintf(stderr, "invariant broken: %.*s: %.*s\nseed %llu step %llu\n",
                 static_cast<int>(name.size()), name.data(),
                 static_cast<int>(detail.size()), detail.data(),
                 static_cast<unsigned long long>(parsed.seed),
                 static_cast<unsigned long long>(progress.step));
    std::exit(1);
  });
  run(parsed, progress);
  std::printf("seed %llu: %llu steps, no invariant broken\n",
              static_cast<unsigned long long>(parsed.seed),
              static_cast<unsigned long long>(parsed.steps));
  return 0;
}

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_SUPPORT_SOAK_MAIN_H_
