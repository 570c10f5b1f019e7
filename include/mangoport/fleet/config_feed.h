#ifndef MANGOPORT_FLEET_CONFIG_FEED_H_
#define MANGOPORT_FLEET_CONFIG_FEED_H_

#include <cstdint>
#include <optional>

#include "mangoport/core/store_position.h"
#include "mangoport/core/time.h"
#include "mangoport/fleet/feed_tracker.h"

namespace mangoport {

/// The result of one read of the configuration.
struct ConfigRead {
  StorePosition next;
  /// True if the read was of the present state, not of what follows a position.
  bool whole = false;
  /// Where the log ended when the store answered. The read stopped short if
  /// that is beyond `next`.
  std::uint64_t log_end = 0;
  /// The version of the newest configuration that was read, if there was one.
  std::optional<std::uint64_t> version = std::nullopt;
  /// True if other records of the operators were read, such as the beginning or
  /// the end of an evacuation.
  bool has_other_records = false;
};

/// What a host does with a read of the configuration.
struct ConfigReadOutcome {
  FeedReadUse use = FeedReadUse::kApply;
  /// The configuration that was read is to be applied.
  bool apply = false;
};

/// A host's view of the operators' configuration: its position and version.
///
/// A host never goes back to a lower version. After a restore of the store the
/// newest record may be older than the applied one; the operator then writes
/// the lost configuration again.
class ConfigFeed {
 public:
  explicit ConfigFeed(const FeedTrackerSettings& settings) : track_(settings) {}

  FeedTracker& tracker() { return track_; }
  const FeedTracker& tracker() const { return track_; }

  /// Returns where the next read begins. None reads the present state: before
  /// the first read, and after one that stopped short of the log's end, since
  /// all that was missed since then may be many records of which the newest
  /// alone counts.
  std::optional<StorePosition> ReadFrom() const;

  ConfigReadOutcome OnRead(const FeedConfirmation& read,
                           const ConfigRead& result);

  /// The update that this host sends to the others; none without a
  /// configuration or without a recent read.
  std::optional<FeedUpdate> OwnUpdate(BootTime now) const;

  /// The applied version.
  const std::optional<std::uint64_t>& version() const { return version_; }

 private:
  FeedTracker track_;
  std::optional<std::uint64_t> version_;
  /// The position after the newest record of any kind, applied or not: another
  /// host may have applied less than this one and lack that record.
  StorePosition changed_at_;
};

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_CONFIG_FEED_H_
