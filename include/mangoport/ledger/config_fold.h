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

/// What became of one published change.
struct ChangeVerdict {
  LogPosition position;
  std::string writer;
  std::uint64_t sequence = 0;
  std::string author;
  bool accepted = false;
  /// Why it was refused, for its author.
  std::string reason;
  std::vector<ItemKey> touched;
};

enum class FoldStatus {
  kCurrent,
  /// Entries are missing and no snapshot has been met yet: the state serves
  /// on, but changes since are unknown.
  kAwaitingSnapshot,
};

/// Folds the stream "config" into the configuration in force.
///
/// Every host that has read up to the same offset holds the same state. A
/// change wins or loses here and nowhere else.
class ConfigFold {
 public:
  ConfigFold();

  ConfigFold(const ConfigFold&) = delete;
  ConfigFold& operator=(const ConfigFold&) = delete;

  /// Reads entries in order. `first_retained` is the oldest offset that the
  /// log still keeps; if entries are missing, the state stays as it is until
  /// a snapshot covers the gap.
  FoldStatus ReadEntries(std::uint64_t first_retained,
                         const std::vector<EntryView>& entries);

  /// Starts from a snapshot, unless the fold has already read as far. Returns
  /// whether the snapshot was taken.
  bool LoadSnapshot(const wire::ConfigSnapshot& snapshot);

  /// Everything folded so far, for the log or for a peer.
  wire::ConfigSnapshot MakeSnapshot() const;

  /// The state in force; replaced, never changed.
  std::shared_ptr<const ConfigView> view() const { return view_; }

  /// The first offset that is not part of the state.
  std::uint64_t next_offset() const { return next_offset_; }

  /// The offset from which the next entries are wanted. Beyond `next_offset`
  /// while entries wait for a snapshot.
  std::uint64_t read_from() const;

  /// Changes read that the furthest snapshot in the log does not cover. A
  /// snapshot that a lagging host wrote late covers less than its place says.
  std::uint64_t changes_since_snapshot() const { return uncovered_.size(); }

  /// Hands over the verdicts since the last call.
  std::vector<ChangeVerdict> TakeVerdicts() {
    return std::exchange(verdicts_, {});
  }

 private:
  void ReadEntry(std::uint64_t offset, const std::string& payload);
  void HoldEntry(const EntryView& entry);
  void OnRecord(const LogPosition& position, const wire::Envelope& record);
  void OnChange(const LogPosition& position, const wire::Envelope& record);
  std::string FindRefusal(const LogPosition& position,
                          const wire::ConfigChange& change) const;
  void OnSnapshot(const wire::Envelope& record);
  void DropOldRemovals(std::uint64_t offset);
  void Publish();

  ItemMap items_;
  /// When removed items went, so that a change which did not know it loses.
  std::map<ItemKey, std::uint64_t> removed_at_;
  RecordReader reader_;
  std::uint64_t next_offset_ = 0;
  /// Offsets of the changes that no snapshot in the log covers.
  std::deque<std::uint64_t> uncovered_;
  /// Entries after a gap, kept until a snapshot covers it.
  std::map<std::uint64_t, std::string> held_;
  std::vector<ChangeVerdict> verdicts_;
  std::shared_ptr<const ConfigView> view_;
};

}  // namespace mangoport

#endif  // MANGOPORT_LEDGER_CONFIG_FOLD_H_
