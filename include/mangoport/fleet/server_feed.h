#ifndef MANGOPORT_FLEET_SERVER_FEED_H_
#define MANGOPORT_FLEET_SERVER_FEED_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/store_position.h"
#include "mangoport/core/time.h"
#include "mangoport/fleet/feed_tracker.h"
#include "mangoport/fleet/server_directory.h"
#include "mangoport/fleet/server_listing.h"
#include "mangoport/fleet/server_relay.h"

namespace mangoport {

/// News of the backend servers, from one read of the store.
struct ServerNews {
  /// True if `changes` are the whole present state.
  bool whole = false;
  std::vector<ServerChange> changes = {};
  StorePosition next = {};
  /// Where the log ended when the store answered. The read stopped short if
  /// that is beyond `next`.
  std::uint64_t log_end = 0;
  /// A whole read may already contain changes from after `next`; a host that
  /// has applied all changes up to this position has the exact list.
  StorePosition exact_from = {};
  /// The position is no longer kept: read the present state.
  bool history_lost = false;
  /// Records that were passed over, and why.
  std::vector<std::string> problems = {};
};

/// What a reader tells other hosts about the list of servers.
struct ServerFeedUpdate {
  FeedUpdate feed;
  /// Changes, oldest first.
  std::vector<ServerBatch> batches = {};
  /// The digest of the reader's listing at its position; none if the listing is
  /// not exact there.
  std::optional<std::uint64_t> digest = std::nullopt;
};

/// A listing that differs from another host's at the same position.
struct ListingDifference {
  StorePosition position;
  std::uint64_t own_digest = 0;
  std::uint64_t peer_digest = 0;
};

/// The consequences of one input to the feed, for log lines and other users.
struct ServerFeedOutcome {
  struct Effect {
    ServerId id;
    ServerChangeEffect effect = ServerChangeEffect::kNone;
    /// The store's position at which it was read.
    StorePosition position;
  };
  std::vector<Effect> effects = {};
  /// The others should be told at once.
  bool news = false;
  /// Set if this input showed a difference; the next read is then a whole one.
  std::optional<ListingDifference> difference = std::nullopt;
  /// Whether the result of a read was used.
  FeedReadUse read_use = FeedReadUse::kApply;
};

struct ServerFeedSettings {
  FeedTrackerSettings tracker;
  ServerDirectorySettings directory;
  /// The pause after a whole read that a difference caused, before the next
  /// such read. It doubles while differences remain.
  Duration first_repair_pause = std::chrono::seconds(2);
  Duration longest_repair_pause = std::chrono::seconds(60);
};

/// A host's view of the list of backend servers: its position, its own reads
/// and what it learns from the readers.
///
/// A reader passes on each change of the listing, also one without an effect on
/// its own directory: another host may have missed what came before. As a
/// protection against any other cause, hosts compare digests of their listings
/// at equal positions and read the whole list if these differ.
class ServerFeed {
 public:
  explicit ServerFeed(const ServerFeedSettings& settings);

  void set_reader(bool reader) { track_.set_reader(reader); }

  /// Returns the time until the next read; zero if it is due.
  Duration Wait(BootTime now) const { return track_.Wait(now); }

  /// Where the next read starts; none for a read of the whole list.
  const std::optional<StorePosition>& position() const {
    return track_.position();
  }

  /// True if this host knows that the log has entries which it has not read.
  bool is_behind() const { return track_.is_behind(); }

  /// The position of the list that this host uses, also while it waits for a
  /// whole read.
  const StorePosition& list_position() const { return relay_.position(); }

  void OnReadFailed(MonoTime now) { directory_.OnReadFailed(now); }

  /// The store answered any call of this host, or another one, at that time.
  void OnStoreAnswered(MonoTime answered_at) {
    directory_.OnStoreAnswered(answered_at);
  }

  /// Records a timeline of the store; see `FeedTracker`.
  std::optional<StorePosition> OnTimeline(BootTime now,
                                          StoreTimeline timeline,
                                          TimelineSource source) {
    return track_.OnTimeline(now, timeline, source);
  }

  /// The store no longer keeps this host's position.
  void OnHistoryLost() { track_.Restart(); }

  /// Takes a successful read without lost history.
  ServerFeedOutcome OnRead(MonoTime now,
                           const FeedConfirmation& read,
                           const ServerNews& news);

  /// Takes another host's update.
  ServerFeedOutcome OnPeerUpdate(MonoTime now, const ServerFeedUpdate& update);

  /// Removes servers whose grace period is over, and uses doubted ones; see
  /// `ServerDirectory`.
  ServerFeedOutcome Expire(MonoTime now);
  std::optional<MonoTime> NextExpiry() const { return directory_.NextExpiry(); }

  /// What this host has read itself, without changes. None if it has not read
  /// lately.
  std::optional<ServerFeedUpdate> OwnUpdate(BootTime now) const;

  /// The same with the changes that a host at `position` lacks.
  std::optional<ServerFeedUpdate> OwnUpdateSince(MonoTime now,
                                                 BootTime boot_now,
                                                 const StorePosition& position);

  /// True after the first whole read.
  bool has_list() const { return has_list_; }

  const std::map<ServerId, ServerEntry>& servers() const {
    return directory_.servers();
  }

 private:
  /// The digest to compare with other hosts; none if it cannot be compared.
  std::optional<std::uint64_t> ComparableDigest() const;
  void ApplyWhole(MonoTime now,
                  WholeListKind kind,
                  const ServerNews& news,
                  ServerFeedOutcome& outcome);
  /// Applies a batch and passes its changes of the listing to the relay.
  void ApplyBatch(MonoTime now,
                  const ServerBatch& batch,
                  ServerFeedOutcome& outcome);
  void Compare(MonoTime now,
               const ServerFeedUpdate& update,
               ServerFeedOutcome& outcome);

  ServerFeedSettings settings_;
  FeedTracker track_;
  ServerDirectory directory_;
  ServerListing listing_;
  ServerRelay relay_;
  bool has_list_ = false;
  /// The listing is exact from this position on.
  StorePosition exact_from_;
  std::optional<MonoTime> repaired_at_;
  Duration repair_pause_;
};

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_SERVER_FEED_H_
