#ifndef MANGOPORT_UNITTESTS_SUPPORT_STANDIN_PROCESS_H_
#define MANGOPORT_UNITTESTS_SUPPORT_STANDIN_PROCESS_H_

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace mangoport {

/// A stand-in that a test starts as a process of its own and ends by its id.
class StandinProcess {
 public:
  /// `arguments` begin with the role.
  StandinProcess(const std::string& program,
                 std::vector<std::string> arguments) {
    char path[] = "/tmp/mangoport-port-XXXXXX";
    const int fd = mkstemp(path);
    close(fd);
    unlink(path);
    arguments.insert(arguments.begin(), program);
    arguments.insert(arguments.end(), {"--port-file", path});
    std::vector<char*> argv;
    for (std::string& it : arguments)
      argv.push_back(it.data());
    argv.push_back(nullptr);
    posix_spawn(&pid_, program.c_str(), nullptr, nullptr, argv.data(), environ);
    port_ = AwaitPort(path);
    unlink(path);
  }

  ~StandinProcess() {
    if (pid_ <= 0)
      return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }

  StandinProcess(const StandinProcess&) = delete;
  StandinProcess& operator=(const StandinProcess&) = delete;

  int port() const { return port_; }
  pid_t pid() const { return pid_; }

  /// Waits for the process to end by itself; returns its exit code.
  int AwaitExit() {
    int status = 0;
    waitpid(std::exchange(pid_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  static int AwaitPort(const char* path) {
    constexpr int kAttempts = 1000;
    for (int i = 0; i < kAttempts; ++i) {
      std::ifstream in(path);
      int port = 0;
      if (in >> port)
        return port;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return -1;
  }

  pid_t pid_ = -1;
  int port_ = -1;
};

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_SUPPORT_STANDIN_PROCESS_H_
