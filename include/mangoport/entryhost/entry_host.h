#ifndef MANGOPORT_ENTRYHOST_ENTRY_HOST_H_
#define MANGOPORT_ENTRYHOST_ENTRY_HOST_H_

#include <memory>

#include "mangoport/core/error.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {

/// One entry host: every part wired to its adapters and threads.
class EntryHost {
 public:
  explicit EntryHost(HostSettings settings);
  ~EntryHost();

  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;

  /// Binds all addresses and starts to answer.
  Result<void> Start();

  /// Asks for a graceful shutdown; returns at once, from any thread.
  void RequestShutdown();

  /// Waits for the request, then for the balancer and for the requests under
  /// way, and stops. Returns whether every request was finished.
  bool WaitForShutdown();

 private:
  struct State;

  std::unique_ptr<State> state_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ENTRYHOST_ENTRY_HOST_H_
