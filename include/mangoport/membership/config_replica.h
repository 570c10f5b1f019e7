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

/// How far the configuration has been read here.
struct ReplicaPosition {
  /// The first offset that is not applied.
  std::uint64_t next_offset = 0;
  /// The offset from which the log is to be read; beyond `next_offset` while
  /// entries wait for a snapshot.
  std::uint64_t read_from = 0;
};

/// The fold of the configuration, to which entries are opaque here.
struct ReplicaHooks {
  std::function<ReplicaPosition()> position;
  std::function<void(std::uint64_t first_retained,
                     const std::vector<EntryView>& entries)>
      read_entries;
  /// Starts from an encoded snapshot, unless the fold has read as far.
  std::function<void(const std::string& snapshot)> load_snapshot;
  std::function<std::string()> make_snapshot;
};

/// Sizes in bytes of payload.
struct ReplicaLimits {
  /// Latest entries kept for peers.
  std::size_t window_bytes = std::size_t{512} << 10;
  /// Entries in one reply.
  std::size_t reply_bytes = std::size_t{64} << 10;
  /// Entries pushed without being asked for.
  std::size_t push_bytes = std::size_t{4} << 10;
};

/// A page of the log, and when it was asked for.
struct LogReading {
  bool ok = false;
  MonoTime asked_at{};
  std::uint64_t first_retained = 0;
  std::vector<EntryView> entries;
  /// The log had no entry after these when it answered.
  bool reached_end = false;
};

/// One host's copy of the configuration: the offset it has applied, which
/// never goes back, the latest entries for peers that lack them, and the age
/// of the evidence that nothing newer was in force.
class ConfigReplica {
 public:
  ConfigReplica(ReplicaHooks hooks, ReplicaLimits limits);

  std::uint64_t next_offset() const { return position_.next_offset; }
  std::uint64_t read_from() const { return position_.read_from; }

  /// The highest offset that the log or a peer has named.
  std::uint64_t highest_known() const { return highest_known_; }
  bool behind() const { return next_offset() < highest_known_; }

  void NoteOffset(std::uint64_t offset);

  /// Each returns true if the applied offset moved.
  bool OnLogReading(const LogReading& reading);
  bool OnReply(MonoTime asked_at, const wire::SyncReply& reply);
  bool OnPushedEntries(
      const google::protobuf::RepeatedPtrField<wire::ConfigEntry>& entries);

  /// Fills what an asker at `from` lacks: entries up to the size of a page,
  /// or a snapshot.
  void FillReply(std::uint64_t from, wire::SyncReply& reply) const;

  /// Entries from `from` on if all of them are small enough to be pushed.
  void FillPush(std::uint64_t from, wire::SyncRequest& request) const;

  /// An upper bound on the time since the configuration applied here is known
  /// to have been the newest. None if that was never known.
  std::optional<Duration> EvidenceAge(MonoTime now) const;

  /// The evidence for peers.
  std::optional<wire::ConfigEvidence> MakeEvidence(MonoTime now) const;

 private:
  bool Read(std::uint64_t first_retained,
            const std::vector<EntryView>& entries);
  bool UpdatePosition();
  void Keep(const EntryView& entry);
  void AcceptEvidence(std::uint64_t end, MonoTime not_before);

  ReplicaHooks hooks_;
  ReplicaLimits limits_;
  ReplicaPosition position_;
  std::uint64_t highest_known_ = 0;
  /// The entries right before `next_offset`.
  std::deque<wire::ConfigEntry> window_;
  std::size_t window_bytes_ = 0;
  /// At some time not before this, the log ended at or before `next_offset`.
  std::optional<MonoTime> newest_at_;
};

}  // namespace mangoport

#endif  // MANGOPORT_MEMBERSHIP_CONFIG_REPLICA_H_
