#ifndef MANGOPORT_FLEET_FEED_TRACKER_H_
#define MANGOPORT_FLEET_FEED_TRACKER_H_

#include <cstdint>
#include <optional>

#include "mangoport/core/store_position.h"
#include "mangoport/core/time.h"
#include "mangoport/fleet/log_catch_up.h"

namespace mangoport {

/// A feed reader's status update: how far it has read a feed of the store.
struct FeedUpdate {
  /// The position after the last entry that the reader has read.
  StorePosition position;
  /// The update contains all changes from this offset up to `position`, in the
  /// timeline of `position`.
  std::uint64_t complete_from = 0;
  /// A read of the reader's, on the receiver's clock: all that the store had
  /// when it was sent lies before `position`. The times are lower bounds. None
  /// if the receiver cannot bound the age of the update.
  std::optional<FeedConfirmation> proof = std::nullopt;
};

/// Whether a feed update covers all changes that the receiver lacks.
enum class FeedUpdateCoverage {
  /// The receiver lacks no changes, or the update contains all of them.
  kCurrent,
  /// The receiver may lack changes that the update does not contain.
  kBehind,
  /// The update is of an earlier timeline of the store and proves nothing.
  kOutdated,
};

/// Whether the result of a read can be used.
enum class FeedReadUse {
  kApply,
  /// An update advanced the position past the result in the meantime.
  kPassed,
  /// The result does not continue from this host's position: the store has been
  /// restored, or the position was discarded in the meantime.
  kNoContinuation,
  /// The answer is of an earlier timeline than the highest known one.
  kEarlierTimeline,
};

/// Where this host learned of a timeline of the store.
enum class TimelineSource { kStore, kPeer };

struct FeedTrackerSettings {
  /// The time from the reply to a reader's call to its next call.
  Duration interval{};
  /// The maximum age of the newest confirmation from a reader. Once it is
  /// older, a host that is not a reader reads the feed directly.
  Duration patience{};
  /// The time from the news of a later timeline from another host to this
  /// host's read of the whole feed. It differs between hosts, so that a large
  /// fleet does not read at once.
  Duration restart_delay{};
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
///
/// A position is valid only in its timeline. Once a later timeline of the store
/// is known, the position is discarded and the host reads the whole feed.
class FeedTracker {
 public:
  explicit FeedTracker(const FeedTrackerSettings& settings)
      : settings_(settings) {}

  void set_reader(bool reader) { reader_ = reader; }

  /// Records a read by this host that returned all entries up to `next`: the
  /// present state if `whole`, otherwise what follows this host's position. The
  /// store stated that the log ended at `log_end`; the read stopped short if
  /// that is beyond `next`. Any result but `kApply` means that its entries must
  /// not be applied to a list.
  FeedReadUse OnRead(const FeedConfirmation& read,
                     const StorePosition& next,
                     bool whole,
                     std::uint64_t log_end = 0);

  /// Processes an update from a reader. Advances the position and records the
  /// confirmation, if any, if the result is `kCurrent`; otherwise changes
  /// nothing.
  FeedUpdateCoverage OnFeedUpdate(const FeedUpdate& update);

  /// Returns the result of `OnFeedUpdate` without changing any state.
  FeedUpdateCoverage Judge(const FeedUpdate& update) const;

  /// Records a timeline of the store. If it is later than all known ones, this
  /// host's position is discarded; returns the discarded position.
  std::optional<StorePosition> OnTimeline(BootTime now,
                                          StoreTimeline timeline,
                                          TimelineSource source);

  /// Makes the next read due immediately, because an update showed changes that
  /// this host lacks. Returns false if it was due for this reason already.
  bool RequestImmediateRead();

  /// Discards the position because the store no longer keeps it. The next read
  /// fetches the current state.
  void Restart() { position_.reset(); }

  /// Returns true if this host polls the feed: it is a reader, or no reader has
  /// sent a recent confirmation.
  bool ReadsFeedDirectly(BootTime now) const;

  /// Returns the time until the next read; zero if it is due.
  Duration Wait(BootTime now) const;

  /// Returns the update that this host sends to the others, or none if its own
  /// last confirmed read is older than the maximum age.
  std::optional<FeedUpdate> MakeFeedUpdate(BootTime now,
                                           std::uint64_t complete_from) const;

  /// None before the first read, and from the news of a later timeline to the
  /// next one.
  const std::optional<StorePosition>& position() const { return position_; }

  /// This host's last confirmed read; none before the first in the present
  /// timeline of the store. See `LogCatchUp`.
  const std::optional<FeedConfirmation>& confirmation() const {
    return catch_up_.confirmation();
  }

  /// True if this host knows that the log has entries which it has not read.
  bool is_behind() const { return catch_up_.is_behind(); }

 private:
  FeedTrackerSettings settings_;
  std::optional<StorePosition> position_;
  /// The highest known timeline of the store.
  StoreTimeline timeline_ = 0;
  /// When the whole feed is read after the news of a later timeline.
  std::optional<BootTime> restart_due_;
  /// When the last read by this host was answered, confirmed or not.
  std::optional<BootTime> last_answer_at_;
  LogCatchUp catch_up_;
  /// The time of the newest confirmation that another reader sent.
  std::optional<BootTime> relayed_confirmation_at_;
  bool reader_ = false;
  bool read_soon_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_FEED_TRACKER_H_
