#ifndef MANGOPORT_ENTRYHOST_ONCE_SERVICE_H_
#define MANGOPORT_ENTRYHOST_ONCE_SERVICE_H_

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/entryhost/caller_api.h"
#include "mangoport/entryhost/log_follower.h"
#include "mangoport/once/once_executor.h"
#include "mangoport/ports/log_service.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {

/// Runs the calls of plain services that may not be repeated.
///
/// Each claim stream has an executor under a lock of its own, a thread that
/// follows the stream and one that appends to it. A call is dispatched on the
/// thread of the caller that it was claimed for.
class OnceService {
 public:
  /// Makes one attempt to run the call; says `not_run` only if no byte left.
  using RunPlain = std::function<PlainAnswer(const PlainRequest&)>;

  /// `self` must be new for each process.
  OnceService(LogService& log,
              const WriterId& self,
              const ClaimSettings& settings,
              RunPlain run_plain);

  /// Gives the log a moment to take the outcomes that are not yet in it.
  ~OnceService();

  OnceService(const OnceService&) = delete;
  OnceService& operator=(const OnceService&) = delete;

  /// Waits until there is an answer or a refusal for the caller.
  PlainAnswer Run(const PlainRequest& request);

  /// For the operators' status page.
  std::string StatusJson() const;

 private:
  /// What one caller's thread waits for.
  struct Slot {
    std::optional<DispatchAction> dispatch;
    std::optional<OnceAnswer> answer;
  };

  struct Partition {
    Partition(const WriterId& self, const OnceSettings& settings)
        : executor(self, settings) {}

    /// Hands the executor's actions to the callers that they are for.
    void Deliver(MonoTime now);

    std::mutex mutex;
    std::condition_variable changed;
    std::condition_variable_any append_due;
    OnceExecutor executor;
    std::unordered_map<RequestId, Slot> slots;
    std::unique_ptr<LogFollower> follower;
    std::jthread appender;
  };

  void StartPartition(std::uint32_t number, Partition& partition);
  void RunAppends(const std::stop_token& stop,
                  const StreamId& stream,
                  Partition& partition);
  void RunTicks(const std::stop_token& stop);
  OnceAnswer Await(const PlainRequest& request,
                   const OnceRequest& once,
                   Partition& partition);
  bool AllRecorded() const;

  LogService& log_;
  RunPlain run_plain_;
  std::vector<std::unique_ptr<Partition>> partitions_;
  std::jthread ticker_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ENTRYHOST_ONCE_SERVICE_H_
