#ifndef MANGOPORT_ENTRYHOST_CONFIG_SERVICE_H_
#define MANGOPORT_ENTRYHOST_CONFIG_SERVICE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/entryhost/log_appender.h"
#include "mangoport/entryhost/log_follower.h"
#include "mangoport/ledger/config_fold.h"

namespace mangoport {

/// The stream on which operators publish configuration.
extern const StreamId kConfigStream;

/// Keeps the configuration in force on this host up to date.
class ConfigService {
 public:
  using OnChange = std::function<void(const ConfigView&)>;
  using OnVerdict = std::function<void(const ChangeVerdict&)>;
  /// A page that the log answered with, after it has been folded.
  using OnLogPage = std::function<void(MonoTime requested_at, const LogPage&)>;
  using KeySet = std::set<KeyId>;

  /// `on_change` runs after each new view is in force, `on_verdict` for each
  /// published change; both on the follower's thread.
  ConfigService(LogService& log,
                WriterId writer,
                OnChange on_change,
                OnVerdict on_verdict);
  ~ConfigService();

  ConfigService(const ConfigService&) = delete;
  ConfigService& operator=(const ConfigService&) = delete;

  std::shared_ptr<const ConfigView> view() const {
    return view_.load(std::memory_order_acquire);
  }

  /// Time of the newest evidence that the view was current: the start of the
  /// last read of the log that left nothing unread, or what a peer proved.
  MonoTime evidence_time() const {
    return MonoTime(Duration(evidence_.load()));
  }

  /// True once any configuration has been read, from log or peer.
  bool ready() const { return ready_.load(); }

  /// Takes a snapshot that a peer sent, with the time at which its evidence
  /// was fresh. False if this host already is as far or further.
  bool LoadPeerSnapshot(MonoTime evidence,
                        const wire::ConfigSnapshot& snapshot);

  /// A peer proved that nothing beyond `next_offset` existed at `evidence`.
  void NotePeerEvidence(MonoTime evidence, std::uint64_t next_offset);

  wire::ConfigSnapshot MakeSnapshot() const;

  /// Reads entries of the stream that a peer sent.
  void ReadPeerEntries(std::uint64_t first_retained,
                       const std::vector<EntryView>& entries);

  /// The offset from which the log is to be read next.
  std::uint64_t read_from() const;

  /// Watches the pages of the log; an empty function ends that, and no call is
  /// under way when this returns.
  void SetPageObserver(OnLogPage observer);

  /// Keys that an operator has withdrawn directly and that the log does not yet
  /// record as withdrawn.
  std::shared_ptr<const KeySet> withdrawn_keys() const {
    return withdrawn_keys_.load(std::memory_order_acquire);
  }
  void SetWithdrawnKeys(KeySet keys);

  /// Appends a change to the log; the fold decides what becomes of it.
  void Publish(const wire::ConfigChange& change);

 private:
  void OnPage(MonoTime requested_at, const LogPage& page);
  FoldStatus Fold(std::uint64_t first_retained,
                  const std::vector<EntryView>& entries);
  void RaiseEvidence(MonoTime evidence);
  void PublishLocked();
  void MaybeWriteSnapshotLocked(MonoTime now, std::uint64_t first_retained);

  OnChange on_change_;
  OnVerdict on_verdict_;
  /// Held while the observer runs, before any other lock.
  std::mutex observer_mutex_;
  OnLogPage page_observer_;
  std::atomic<std::shared_ptr<const KeySet>> withdrawn_keys_;
  mutable std::mutex mutex_;
  ConfigFold fold_;
  std::optional<MonoTime> snapshot_due_;
  std::atomic<std::shared_ptr<const ConfigView>> view_;
  std::atomic<std::int64_t> evidence_{0};
  std::atomic<bool> ready_{false};
  LogAppender appender_;
  LogFollower follower_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ENTRYHOST_CONFIG_SERVICE_H_
