#ifndef MANGOPORT_UNITTESTS_SUPPORT_PROCESS_H_
#define MANGOPORT_UNITTESTS_SUPPORT_PROCESS_H_

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <vector>

#include "mangoport/core/time.h"

namespace mangoport {

/// A child process of a test. Its output goes to a file; it is killed and
/// reaped when the object goes.
class Process {
 public:
  /// The process may have `max_descriptors` open, zero for as many as this one.
  Process(const std::vector<std::string>& command,
          const std::string& output,
          int max_descriptors = 0);
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;

  /// Waits for the end; the exit code, 128 plus the signal that ended it, or
  /// -1 if it still runs after `timeout`.
  int Wait(Duration timeout);

  bool running();
  /// The most memory that it has had resident, in bytes; zero if it has ended.
  std::size_t PeakMemory() const;
  pid_t pid() const { return pid_; }
  const std::string& output() const { return output_; }

 private:
  pid_t pid_ = -1;
  int exit_code_ = -1;
  bool reaped_ = false;
  std::string output_;
};

/// The text of a file, empty if there is none.
std::string FileText(const std::string& path);

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_SUPPORT_PROCESS_H_
