#include "mangoport/ledger/config_fold.h"

#include <optional>
#include <string_view>

#include "mangoport/core/invariant.h"
#include "mangoport/core/mutant.h"
#include "mangoport/ledger/config_rules.h"

namespace mangoport {
namespace {

/// Maximum age of the state that a change is based on, in log entries. It also
/// bounds how long removals are kept for conflict detection.
constexpr std::uint64_t kMaxBaseAgeEntries = 100000;

/// Returns the last snapshot in an entry, or std::nullopt if there is none.
std::optional<wire::ConfigSnapshot> FindLastSnapshot(std::string_view payload) {
  wire::EntryBatch batch;
  if (!batch.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
    return std::nullopt;
  std::optional<wire::ConfigSnapshot> found;
  for (const wire::Envelope& it : batch.records()) {
    wire::ConfigSnapshot snapshot;
    if (it.kind() == wire::RECORD_KIND_CONFIG_SNAPSHOT &&
        snapshot.ParseFromString(it.body()))
      found = std::move(snapshot);
  }
  return found;
}

}  // namespace

ConfigFold::ConfigFold()
    : reader_(
          [this](const LogPosition& position, const wire::Envelope& record) {
            OnRecord(position, record);
          }),
      view_(std::make_shared<const ConfigView>()) {}

FoldStatus ConfigFold::ReadEntries(std::uint64_t first_retained,
                                   const std::vector<EntryView>& entries) {
  for (const EntryView& it : entries) {
    if (it.offset < next_offset_)
      continue;
    const bool gap = it.offset > next_offset_ && first_retained > next_offset_;
    if (gap && !MutantEnabled("gap_ignored")) {
      BufferEntry(it);
      continue;
    }
    ReadEntry(it.offset, std::string(it.payload));
  }
  PublishView();
  const bool current =
      buffered_entries_.empty() && first_retained <= next_offset_;
  return current ? FoldStatus::kCurrent : FoldStatus::kAwaitingSnapshot;
}

bool ConfigFold::LoadSnapshot(const wire::ConfigSnapshot& snapshot) {
  if (snapshot.as_of() <= next_offset_ && !MutantEnabled("snapshot_reverts"))
    return false;
  CheckInvariant(snapshot.as_of() >= next_offset_,
                 "the configuration never reverts to an older offset", [&] {
                   return "snapshot " + std::to_string(snapshot.as_of()) +
                          " over state " + std::to_string(next_offset_);
                 });
  items_.clear();
  removed_at_.clear();
  for (const wire::SnapshotItem& it : snapshot.items())
    items_[KeyOf(it.item())] = std::make_shared<const StoredItem>(
        StoredItem{it.item(), it.changed_at()});
  for (const wire::RemovedItem& it : snapshot.removed())
    removed_at_[{it.name().kind(), it.name().name()}] = it.removed_at();
  next_offset_ = snapshot.as_of();
  reader_.StartFrom(next_offset_);
  uncovered_changes_.clear();
  // Apply the buffered entries that directly follow the snapshot.
  buffered_entries_.erase(buffered_entries_.begin(),
                          buffered_entries_.lower_bound(next_offset_));
  while (!buffered_entries_.empty() &&
         buffered_entries_.begin()->first == next_offset_) {
    const std::string payload = std::move(buffered_entries_.begin()->second);
    buffered_entries_.erase(buffered_entries_.begin());
    ReadEntry(next_offset_, payload);
  }
  PublishView();
  return true;
}

wire::ConfigSnapshot ConfigFold::MakeSnapshot() const {
  wire::ConfigSnapshot snapshot;
  snapshot.set_as_of(next_offset_);
  for (const auto& [key, stored] : items_) {
    wire::SnapshotItem* it = snapshot.add_items();
    *it->mutable_item() = stored->item;
    it->set_changed_at(stored->changed_at);
  }
  for (const auto& [key, offset] : removed_at_) {
    wire::RemovedItem* it = snapshot.add_removed();
    it->mutable_name()->set_kind(key.kind);
    it->mutable_name()->set_name(key.name);
    it->set_removed_at(offset);
  }
  return snapshot;
}

std::uint64_t ConfigFold::read_from() const {
  return buffered_entries_.empty() ? next_offset_
                                   : buffered_entries_.rbegin()->first + 1;
}

void ConfigFold::ReadEntry(std::uint64_t offset, const std::string& payload) {
  reader_.ReadEntry(offset, payload);
  next_offset_ = offset + 1;
}

void ConfigFold::BufferEntry(const EntryView& entry) {
  buffered_entries_[entry.offset] = std::string(entry.payload);
  const std::optional<wire::ConfigSnapshot> snapshot =
      FindLastSnapshot(entry.payload);
  if (snapshot && snapshot->as_of() >= buffered_entries_.begin()->first)
    LoadSnapshot(*snapshot);
}

void ConfigFold::OnRecord(const LogPosition& position,
                          const wire::Envelope& record) {
  if (record.kind() == wire::RECORD_KIND_CONFIG_CHANGE)
    OnChange(position, record);
  if (record.kind() == wire::RECORD_KIND_CONFIG_SNAPSHOT)
    OnSnapshot(record);
}

void ConfigFold::OnSnapshot(const wire::Envelope& record) {
  wire::ConfigSnapshot snapshot;
  if (!snapshot.ParseFromString(record.body()))
    return;
  const std::uint64_t covered = MutantEnabled("late_snapshot_trusted")
                                    ? next_offset_ + 1
                                    : snapshot.as_of();
  while (!uncovered_changes_.empty() && uncovered_changes_.front() < covered)
    uncovered_changes_.pop_front();
}

void ConfigFold::OnChange(const LogPosition& position,
                          const wire::Envelope& record) {
  uncovered_changes_.push_back(position.offset);
  ChangeVerdict verdict;
  verdict.position = position;
  verdict.writer = record.writer();
  verdict.sequence = record.sequence();
  wire::ConfigChange change;
  if (!change.ParseFromString(record.body())) {
    verdict.reason = "cannot decode the record";
    verdicts_.push_back(std::move(verdict));
    return;
  }
  verdict.author = change.author();
  verdict.touched = TouchedItems(change);
  verdict.reason = FindRejectionReason(position, change);
  verdict.accepted = verdict.reason.empty();
  if (verdict.accepted) {
    ApplyChange(change, position.offset, items_);
    for (const wire::ItemName& it : change.removals())
      removed_at_[{it.kind(), it.name()}] = position.offset;
    DropOldRemovals(position.offset);
  }
  verdicts_.push_back(std::move(verdict));
}

std::string ConfigFold::FindRejectionReason(
    const LogPosition& position,
    const wire::ConfigChange& change) const {
  if (!OnlyWithdrawsKeys(change) && !MutantEnabled("conflict_ignored")) {
    if (change.based_on() + kMaxBaseAgeEntries < position.offset)
      return "it is based on a configuration that is too old";
    for (const ItemKey& it : TouchedItems(change)) {
      const auto stored = items_.find(it);
      if (stored != items_.end() &&
          stored->second->changed_at >= change.based_on())
        return ToString(it) + " was changed by offset " +
               std::to_string(stored->second->changed_at) +
               " after this change was prepared";
      const auto removed = removed_at_.find(it);
      if (removed != removed_at_.end() && removed->second >= change.based_on())
        return ToString(it) + " was removed by offset " +
               std::to_string(removed->second) +
               " after this change was prepared";
    }
  }
  std::string reason;
  for (const std::string& it : FindProblems(items_, change))
    reason += (reason.empty() ? "" : "; ") + it;
  return reason;
}

void ConfigFold::DropOldRemovals(std::uint64_t offset) {
  if (offset < kMaxBaseAgeEntries)
    return;
  std::erase_if(removed_at_, [offset](const auto& it) {
    return it.second < offset - kMaxBaseAgeEntries;
  });
}

void ConfigFold::PublishView() {
  if (view_->next_offset() == next_offset_)
    return;
  CheckInvariant(view_->next_offset() < next_offset_,
                 "the configuration never reverts to an older offset", [this] {
                   return std::to_string(next_offset_) + " after " +
                          std::to_string(view_->next_offset());
                 });
  view_ = std::make_shared<const ConfigView>(next_offset_, items_);
}

}  // namespace mangoport
