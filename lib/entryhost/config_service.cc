#include "mangoport/entryhost/config_service.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

namespace mangoport {
namespace {

using std::chrono::milliseconds;

/// A snapshot is appended once this many changes are not covered by one.
constexpr std::uint64_t kChangesPerSnapshot = 256;

/// If the log drops entries early, a snapshot is appended once the changes not
/// covered by one fill this fraction of the retained log.
constexpr std::uint64_t kRetainedPart = 4;

/// Any host may append the snapshot, as all of them would append the same one.
/// Each waits a random fraction of this time first, and skips the append if
/// another host has already done it.
constexpr Duration kSnapshotJitter = milliseconds(2000);

Duration RandomPart(Duration whole) {
  thread_local std::minstd_rand random(std::random_device{}());
  return Duration(static_cast<std::int64_t>(
      random() % static_cast<std::uint64_t>(whole.count())));
}

}  // namespace

const StreamId kConfigStream("config");

ConfigService::ConfigService(LogService& log,
                             WriterId writer,
                             OnChange on_change,
                             OnVerdict on_verdict)
    : on_change_(std::move(on_change)),
      on_verdict_(std::move(on_verdict)),
      withdrawn_keys_(std::make_shared<const KeySet>()),
      view_(fold_.view()),
      appender_(log, kConfigStream, std::move(writer)),
      follower_(
          log,
          kConfigStream,
          [this] {
            const std::lock_guard lock(mutex_);
            return fold_.read_from();
          },
          [this](MonoTime requested_at, const LogPage& page) {
            OnPage(requested_at, page);
          }) {}

ConfigService::~ConfigService() = default;

bool ConfigService::LoadPeerSnapshot(MonoTime evidence,
                                     const wire::ConfigSnapshot& snapshot) {
  {
    const std::lock_guard lock(mutex_);
    if (!fold_.LoadSnapshot(snapshot))
      return false;
    PublishLocked();
  }
  RaiseEvidence(evidence);
  on_change_(*view());
  return true;
}

void ConfigService::NotePeerEvidence(MonoTime evidence,
                                     std::uint64_t next_offset) {
  if (view()->next_offset() >= next_offset)
    RaiseEvidence(evidence);
}

wire::ConfigSnapshot ConfigService::MakeSnapshot() const {
  const std::lock_guard lock(mutex_);
  return fold_.MakeSnapshot();
}

std::uint64_t ConfigService::read_from() const {
  const std::lock_guard lock(mutex_);
  return fold_.read_from();
}

void ConfigService::SetPageObserver(OnLogPage observer) {
  const std::lock_guard lock(observer_mutex_);
  page_observer_ = std::move(observer);
}

void ConfigService::SetWithdrawnKeys(KeySet keys) {
  withdrawn_keys_.store(std::make_shared<const KeySet>(std::move(keys)),
                        std::memory_order_release);
}

void ConfigService::Publish(const wire::ConfigChange& change) {
  appender_.Append(wire::RECORD_KIND_CONFIG_CHANGE, change.SerializeAsString(),
                   nullptr);
}

void ConfigService::ReadPeerEntries(std::uint64_t first_retained,
                                    const std::vector<EntryView>& entries) {
  Fold(first_retained, entries);
}

void ConfigService::OnPage(MonoTime requested_at, const LogPage& page) {
  std::vector<EntryView> entries;
  for (const LogEntry& it : page.entries)
    entries.push_back({it.offset, it.payload});
  const FoldStatus status = Fold(page.first_retained, entries);
  if (status == FoldStatus::kCurrent && page.entries.size() < kMaxPageEntries)
    RaiseEvidence(requested_at);
  if (status == FoldStatus::kCurrent)
    ready_.store(true);
  {
    // Only a page of the log states which entries the log still retains.
    const std::lock_guard lock(mutex_);
    MaybeWriteSnapshotLocked(std::chrono::steady_clock::now(),
                             page.first_retained);
  }
  const std::lock_guard lock(observer_mutex_);
  if (page_observer_)
    page_observer_(requested_at, page);
}

FoldStatus ConfigService::Fold(std::uint64_t first_retained,
                               const std::vector<EntryView>& entries) {
  std::vector<ChangeVerdict> verdicts;
  FoldStatus status = FoldStatus::kCurrent;
  bool changed = false;
  {
    const std::lock_guard lock(mutex_);
    status = fold_.ReadEntries(first_retained, entries);
    verdicts = fold_.TakeVerdicts();
    changed = fold_.view() != view();
    PublishLocked();
  }
  if (changed)
    on_change_(*view());
  for (const ChangeVerdict& it : verdicts)
    on_verdict_(it);
  return status;
}

void ConfigService::RaiseEvidence(MonoTime evidence) {
  const std::int64_t value = evidence.time_since_epoch().count();
  std::int64_t seen = evidence_.load();
  while (seen < value && !evidence_.compare_exchange_weak(seen, value)) {
  }
}

void ConfigService::PublishLocked() {
  view_.store(fold_.view(), std::memory_order_release);
  if (fold_.next_offset() != 0)
    ready_.store(true);
}

void ConfigService::MaybeWriteSnapshotLocked(MonoTime now,
                                             std::uint64_t first_retained) {
  std::uint64_t limit = kChangesPerSnapshot;
  if (first_retained > 0 && first_retained < fold_.next_offset()) {
    const std::uint64_t retained = fold_.next_offset() - first_retained;
    limit = std::clamp<std::uint64_t>(retained / kRetainedPart, 1, limit);
  }
  if (fold_.changes_since_snapshot() < limit) {
    snapshot_due_.reset();
    return;
  }
  if (!snapshot_due_)
    snapshot_due_ = now + RandomPart(kSnapshotJitter);
  if (now < *snapshot_due_)
    return;
  snapshot_due_ = now + kSnapshotJitter;
  appender_.Append(wire::RECORD_KIND_CONFIG_SNAPSHOT,
                   fold_.MakeSnapshot().SerializeAsString(), nullptr);
}

}  // namespace mangoport
