#ifndef MANGOPORT_FLEET_LOG_CATCH_UP_H_
#define MANGOPORT_FLEET_LOG_CATCH_UP_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "mangoport/core/time.h"

namespace mangoport {

/// The times of a store read that confirmed that a feed had nothing newer.
/// Times are on a clock that keeps running while the machine is suspended.
struct FeedConfirmation {
  BootTime sent_at;
  BootTime answered_at;
};

/// Determines which reads of a log are confirmed.
///
/// The answer to a read states where the log ended. A read that returned less
/// than that confirms nothing yet, since the missing records may be the newest
/// ones. It is confirmed once this host has all records up to the stated end,
/// from whichever source: it then knows everything that the store had when the
/// read was sent. A log that grows faster than it is read is confirmed too,
/// only later.
///
/// All offsets are of one timeline of the store.
class LogCatchUp {
 public:
  /// Records a read whose answer stated that the log ended at `log_end`. This
  /// host now has all records before `position`.
  void OnRead(const FeedConfirmation& read,
              std::uint64_t log_end,
              std::uint64_t position);

  /// Records that this host has all records before `position`.
  void OnPosition(std::uint64_t position);

  /// Forgets all reads, because the store is of another timeline.
  void Reset();

  /// The confirmed read that was sent last; none before the first.
  const std::optional<FeedConfirmation>& confirmation() const {
    return confirmation_;
  }

  /// True if a read stopped short of the log's end and what it lacks is still
  /// missing.
  bool is_behind() const { return !short_reads_.empty(); }

 private:
  struct ShortRead {
    FeedConfirmation read;
    std::uint64_t log_end = 0;
  };

  void Confirm(const FeedConfirmation& read);

  std::optional<FeedConfirmation> confirmation_;
  /// In the order in which they were sent. Their ends never decrease.
  std::deque<ShortRead> short_reads_;
};

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_LOG_CATCH_UP_H_
