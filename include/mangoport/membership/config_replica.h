#ifndef MANGOPORT_MEMBERSHIP_CONFIG_REPLICA_H_
#define MANGOPORT_MEMBERSHIP_CONFIG_REPLICA_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mangoport/core/time.h"
#include "mangoport/ledger/envelope.h"
#include "mangoport/peer.pb.h"

namespace mangoport {

/// Progress of the local configuration fold through the log.
struct ReplicaPosition {
  /// The first offset that has not been applied.
  std::uint64_t next_offset = 0;
  /// The next offset to read from the log. It exceeds `next_offset` while
  /// entries that were read cannot be applied until a snapshot arrives.
  std::uint64_t read_from = 0;
};

/// Callbacks into the configuration fold. `ConfigReplica` does not interpret
/// the contents of entries.
struct ReplicaHooks {
  std::function<ReplicaPosition()> position;
  std::function<void(std::uint64_t first_retained,
                     const std::vector<EntryView>& entries)>
      read_entries;
  /// Replaces the state with an encoded snapshot, unless the fold has already
  /// reached the offset of the snapshot.
  std::function<void(const std::string& snapshot)> load_snapshot;
  std::function<std::string()> make_snapshot;
};

/// Size limits, in bytes of entry payload.
struct ReplicaLimits {
  /// Recent entries kept in memory to answer peers.
  std::size_t window_bytes = std::size_t{512} << 10;
  /// Entries in one reply. The entry that reaches the limit is still included,
  /// so a reply may exceed it by one entry.
  std::size_t reply_bytes = std::size_t{64} << 10;
  /// Entries sent to a peer without a request from it.
  std::size_t push_bytes = std::size_t{4} << 10;
};

/// The result of reading one page of the log.
struct LogReadResult {
  bool ok = false;
  /// When the read was issued.
  MonoTime requested_at{};
  /// The oldest offset that the log still keeps.
  std::uint64_t first_retained = 0;
  std::vector<EntryView> entries;
  /// True if the log had no further entries when it answered.
  bool reached_end = false;
};

/// One host's copy of the configuration. Tracks the applied offset, which never
/// decreases, keeps recent entries for peers that lack them, and bounds the
/// staleness of the applied configuration.
///
/// The bound is derived from evidence: an offset, and a time at or after which
/// the log still ended there. A read to the end of the log yields evidence, and
/// hosts send theirs to peers with its age.
class ConfigReplica {
 public:
  ConfigReplica(ReplicaHooks hooks, ReplicaLimits limits);

  std::uint64_t next_offset() const { return position_.next_offset; }
  std::uint64_t read_from() const { return position_.read_from; }

  /// The highest end offset reported by the log or by a peer.
  std::uint64_t highest_known() const { return highest_known_; }
  bool behind() const { return next_offset() < highest_known_; }

  /// Records that the log extends at least to `offset` (exclusive).
  void NoteOffset(std::uint64_t offset);

  /// These return true if the applied offset advanced.
  bool OnLogReadResult(const LogReadResult& result);
  bool OnReply(MonoTime requested_at, const wire::SyncReply& reply);
  bool OnPushedEntries(
      const google::protobuf::RepeatedPtrField<wire::ConfigEntry>& entries);

  /// Adds what a peer at offset `from` lacks: entries up to `reply_bytes`, or a
  /// snapshot if `from` precedes the entries kept in memory.
  void FillReply(std::uint64_t from, wire::SyncReply& reply) const;

  /// Adds the entries from offset `from` on. Adds none if they exceed
  /// `push_bytes` or are no longer in memory.
  void FillPush(std::uint64_t from, wire::SyncRequest& request) const;

  /// Returns an upper bound on the time since the applied configuration was
  /// last known to be the newest, or nullopt if it never was.
  std::optional<Duration> EvidenceAge(MonoTime now) const;

  /// Returns the evidence to send to peers, or nullopt if there is none.
  std::optional<wire::ConfigEvidence> MakeEvidence(MonoTime now) const;

 private:
  bool ApplyEntries(std::uint64_t first_retained,
                    const std::vector<EntryView>& entries);
  bool UpdatePosition();
  void AddToWindow(const EntryView& entry);
  /// Handles evidence that the log ended at `end` at `not_before` or later.
  /// Ignores it if entries before `end` have not been applied.
  void AcceptEvidence(std::uint64_t end, MonoTime not_before);

  ReplicaHooks hooks_;
  ReplicaLimits limits_;
  ReplicaPosition position_;
  std::uint64_t highest_known_ = 0;
  /// Consecutive entries that end at `next_offset`.
  std::deque<wire::ConfigEntry> window_;
  std::size_t window_bytes_ = 0;
  /// At this time or later, the log ended at or before `next_offset`, so the
  /// applied configuration was the newest.
  std::optional<MonoTime> confirmed_newest_at_;
};

}  // namespace mangoport

#endif  // MANGOPORT_MEMBERSHIP_CONFIG_REPLICA_H_
