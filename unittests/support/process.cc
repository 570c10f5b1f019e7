#include "unittests/support/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <thread>

namespace mangoport {

Process::Process(const std::vector<std::string>& command,
                 const std::string& output,
                 int max_descriptors)
    : output_(output) {
  std::vector<char*> argv;
  for (const std::string& it : command)
    argv.push_back(const_cast<char*>(it.c_str()));
  argv.push_back(nullptr);
  pid_ = fork();
  if (pid_ != 0)
    return;
  // The child goes with the test, however the test ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (max_descriptors > 0) {
    const auto max = static_cast<rlim_t>(max_descriptors);
    const rlimit limit{.rlim_cur = max, .rlim_max = max};
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  const int fd = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(fd, STDOUT_FILENO);
  dup2(fd, STDERR_FILENO);
  execv(argv[0], argv.data());
  _exit(127);
}

Process::~Process() {
  if (reaped_)
    return;
  Signal(SIGCONT);
  Signal(SIGKILL);
  Wait(std::chrono::seconds(10));
}

void Process::Signal(int signal) const {
  if (!reaped_)
    kill(pid_, signal);
}

int Process::Wait(Duration timeout) {
  const MonoTime deadline = std::chrono::steady_clock::now() + timeout;
  while (running()) {
    if (std::chrono::steady_clock::now() >= deadline)
      return -1;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return exit_code_;
}

bool Process::running() {
  if (reaped_)
    return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == 0)
    return true;
  reaped_ = true;
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  return false;
}

std::size_t Process::PeakMemory() const {
  constexpr char kPeak[] = "VmHWM:";
  constexpr std::size_t kKibibyte = 1024;
  const std::string status =
      FileText("/proc/" + std::to_string(pid_) + "/status");
  const std::size_t at = status.find(kPeak);
  if (at == std::string::npos)
    return 0;
  return std::stoul(status.substr(at + sizeof(kPeak) - 1)) * kKibibyte;
}

std::string FileText(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace mangoport
