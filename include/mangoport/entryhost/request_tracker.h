#ifndef MANGOPORT_ENTRYHOST_REQUEST_TRACKER_H_
#define MANGOPORT_ENTRYHOST_REQUEST_TRACKER_H_

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>

#include "mangoport/core/time.h"

namespace mangoport {

/// Counts the requests under way, so that a planned stop can wait for them.
class RequestTracker {
 public:
  /// Held as long as its request runs, also while its answer streams.
  using Scope = std::shared_ptr<void>;

  Scope Begin();
  std::uint64_t active() const;

  /// Waits until no request is under way; false if that took too long.
  bool WaitUntilIdle(Duration timeout);

 private:
  struct State {
    std::mutex mutex;
    std::condition_variable idle;
    std::uint64_t active = 0;
  };

  std::shared_ptr<State> state_ = std::make_shared<State>();
};

}  // namespace mangoport

#endif  // MANGOPORT_ENTRYHOST_REQUEST_TRACKER_H_
