#ifndef MANGOPORT_LEDGER_CONFIG_FOLD_H_
#define MANGOPORT_LEDGER_CONFIG_FOLD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "mangoport/core/log_position.h"
#include "mangoport/ledger/config_view.h"
#include "mangoport/ledger/envelope.h"

namespace mangoport {

/// Whether the fold accepted one published change.
struct ChangeVerdict {
  LogPosition position;
  std::string writer;
  std::uint64_t sequence = 0;
  std::string author;
  bool accepted = false;
  /// Why the change was rejected; shown to its author. Empty if accepted.
  std::string reason;
  /// The items that the change puts or removes.
  std::vector<ItemKey> touched;
};

enum class FoldStatus {
  kCurrent,
  /// Entries are missing and no snapshot that covers them has been read yet.
  /// The last known state stays in force; changes after the gap are not applied
  /// until then.
  kAwaitingSnapshot,
};

/// Folds the stream "config" into the configuration in force.
///
/// All hosts that have read up to the same offset hold the same state. Only
/// the fold decides whether a change is accepted.
class ConfigFold {
 public:
  ConfigFold();

  ConfigFold(const ConfigFold&) = delete;
  ConfigFold& operator=(const ConfigFold&) = delete;

  /// Reads entries in order. `first_retained` is the oldest offset that the
  /// log still retains. If entries are missing, the state does not change until
  /// a snapshot covers the gap.
  FoldStatus ReadEntries(std::uint64_t first_retained,
                         const std::vector<EntryView>& entries);

  /// Replaces the state with `snapshot`, unless the fold has already read that
  /// far. Returns whether the snapshot was loaded.
  bool LoadSnapshot(const wire::ConfigSnapshot& snapshot);

  /// Returns the state as a snapshot to append to the log or send to a peer.
  wire::ConfigSnapshot MakeSnapshot() const;

  /// The state in force. Each update publishes a new immutable view.
  std::shared_ptr<const ConfigView> view() const { return view_; }

  /// The first offset that is not part of the state.
  std::uint64_t next_offset() const { return next_offset_; }

  /// The offset to read from next. Greater than `next_offset` while buffered
  /// entries wait for a snapshot.
  std::uint64_t read_from() const;

  /// Number of changes read that no snapshot in the log covers. A lagging host
  /// can append a snapshot whose `as_of` is well below its log offset, so
  /// coverage depends on `as_of` rather than on the offset.
  std::uint64_t changes_since_snapshot() const {
    return uncovered_changes_.size();
  }

  /// Returns the verdicts since the last call and clears them.
  std::vector<ChangeVerdict> TakeVerdicts() {
    return std::exchange(verdicts_, {});
  }

 private:
  void ReadEntry(std::uint64_t offset, const std::string& payload);
  void BufferEntry(const EntryView& entry);
  void OnRecord(const LogPosition& position, const wire::Envelope& record);
  void OnChange(const LogPosition& position, const wire::Envelope& record);
  std::string FindRejectionReason(const LogPosition& position,
                                  const wire::ConfigChange& change) const;
  void OnSnapshot(const wire::Envelope& record);
  /// Drops removals that no acceptable change after `offset` can conflict with.
  void DropOldRemovals(std::uint64_t offset);
  void PublishView();

  ItemMap items_;
  /// The offset at which each removed item was removed. Used to reject a change
  /// whose author had not yet read the removal.
  std::map<ItemKey, std::uint64_t> removed_at_;
  RecordReader reader_;
  std::uint64_t next_offset_ = 0;
  /// Offsets of the changes that no snapshot in the log covers, in order.
  std::deque<std::uint64_t> uncovered_changes_;
  /// Payloads of entries after a gap by offset, until a snapshot covers the
  /// gap.
  std::map<std::uint64_t, std::string> buffered_entries_;
  std::vector<ChangeVerdict> verdicts_;
  std::shared_ptr<const ConfigView> view_;
};

}  // namespace mangoport

#endif  // MANGOPORT_LEDGER_CONFIG_FOLD_H_
