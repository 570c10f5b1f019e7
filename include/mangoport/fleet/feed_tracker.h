#ifndef MANGOPORT_FLEET_FEED_TRACKER_H_
#define MANGOPORT_FLEET_FEED_TRACKER_H_

#include <cstdint>
#include <optional>

#include "mangoport/core/time.h"

namespace mangoport {

/// The times of a store read that confirmed that a feed had nothing newer.
/// Times are on a clock that keeps running while the machine is suspended.
struct FeedConfirmation {
  BootTime sent_at;
  BootTime answered_at;
};

/// A feed reader's status update: how far it has read a feed of the store.
struct FeedUpdate {
  /// The position after the last entry that the reader has read.
  std::uint64_t position = 0;
  /// The update contains all changes from this position up to `position`.
  std::uint64_t complete_from = 0;
  /// When the reader confirmed `position`, on the receiver's clock. The times
  /// are lower bounds. None if the receiver cannot bound the age of the update.
  std::optional<FeedConfirmation> proof = std::nullopt;
};

/// Whether a feed update covers all changes that the receiver lacks.
enum class FeedUpdateCoverage {
  /// The receiver lacks no changes, or the update contains all of them.
  kCurrent,
  /// The receiver may lack changes that the update does not contain.
  kBehind,
};

struct FeedTrackerSettings {
  /// The time from the reply to a reader's call to its next call.
  Duration interval{};
  /// The maximum age of the newest confirmation from a reader. Once it is
  /// older, a host that is not a reader reads the feed directly.
  Duration patience{};
};

/// Tracks this host's position in a feed of the store and schedules its reads.
///
/// A few hosts, the readers, poll each feed and forward its changes to the
/// others. The other hosts read the feed only if an update shows that they lack
/// changes, or if no reader has sent a recent confirmation. If all readers fail
/// or are unreachable, each host therefore polls the feed as it would without
/// readers.
///
/// This limits the load of a large fleet on the store: the number of calls
/// grows with the number of readers, not with the number of hosts.
class FeedTracker {
 public:
  explicit FeedTracker(const FeedTrackerSettings& settings)
      : settings_(settings) {}

  void set_reader(bool reader) { reader_ = reader; }

  /// Records a read by this host that returned all entries up to `next`.
  /// Returns false if an update advanced the position past `next` in the
  /// meantime, so that the result of the read is outdated.
  bool OnRead(const FeedConfirmation& read, std::uint64_t next);

  /// Processes an update from a reader. Advances the position and records the
  /// confirmation, if any, if the result is `kCurrent`; otherwise changes
  /// nothing.
  FeedUpdateCoverage OnFeedUpdate(const FeedUpdate& update);

  /// Returns the result of `OnFeedUpdate` without changing any state.
  FeedUpdateCoverage Judge(const FeedUpdate& update) const;

  /// Makes the next read due immediately, because an update showed changes that
  /// this host lacks.
  void RequestImmediateRead() { read_soon_ = true; }

  /// Discards the position because the store no longer keeps it. The next read
  /// fetches the current state.
  void Restart() { position_.reset(); }

  /// Returns true if this host polls the feed: it is a reader, or no reader has
  /// sent a recent confirmation.
  bool ReadsFeedDirectly(BootTime now) const;

  /// Returns the time until the next read; zero if it is due.
  Duration Wait(BootTime now) const;

  /// Returns the update that this host sends to the others, or none if its own
  /// last read is older than the maximum age.
  std::optional<FeedUpdate> MakeFeedUpdate(BootTime now,
                                           std::uint64_t complete_from) const;

  /// None before the first read.
  const std::optional<std::uint64_t>& position() const { return position_; }

 private:
  FeedTrackerSettings settings_;
  std::optional<std::uint64_t> position_;
  /// The last read by this host.
  std::optional<FeedConfirmation> last_read_;
  /// The time of the newest confirmation that another reader sent.
  std::optional<BootTime> relayed_confirmation_at_;
  bool reader_ = false;
  bool read_soon_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_FEED_TRACKER_H_
