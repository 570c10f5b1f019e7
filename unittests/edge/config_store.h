#ifndef MANGOPORT_UNITTESTS_EDGE_CONFIG_STORE_H_
#define MANGOPORT_UNITTESTS_EDGE_CONFIG_STORE_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "mangoport/core/time.h"
#include "mangoport/fleet/config_feed.h"

namespace mangoport {

/// The store's topic of the configuration, a log of versions. A restore takes
/// the last records away, and the operator writes the newest version again.
class ConfigStore {
 public:
  explicit ConfigStore(std::mt19937_64& random) : random_(random) {}

  /// The operator writes a new version.
  void Write(MonoTime now) { Append(now, ++last_version_); }

  void Step(MonoTime now) {
    if (rewrite_at_ && now >= *rewrite_at_)
      Append(now, last_version_);
  }

  void TakeBackup() { backup_size_ = log_.size(); }

  /// Comes back from the last backup, in a new timeline.
  void Restore(MonoTime now) {
    log_.resize(std::min(log_.size(), backup_size_));
    ++timeline_;
    history_.push_back({.since = now, .version = Newest()});
    if (Newest() < last_version_)
      rewrite_at_ = now + std::chrono::milliseconds(random_() % 3000);
  }

  StoreTimeline timeline() const { return timeline_; }

  /// The number of records that were written.
  std::uint64_t writes() const { return writes_; }

  /// True if a read from `from` is answered at once.
  bool HasNews(const std::optional<StorePosition>& from) const {
    return !from || from->offset != log_.size();
  }

  /// None if the store does not keep `from`. It knows offsets only.
  std::optional<ConfigRead> Read(
      const std::optional<StorePosition>& from) const {
    if (from && from->offset > log_.size())
      return std::nullopt;
    ConfigRead out;
    out.next = {.timeline = timeline_, .offset = log_.size()};
    out.whole = !from;
    if (!log_.empty() && (!from || from->offset < log_.size()))
      out.version = log_.back();
    return out;
  }

  /// The version that the store has had or exceeded at all times since `since`.
  std::uint64_t NewestThroughout(MonoTime since) const {
    std::uint64_t out = Newest();
    for (auto it = history_.rbegin(); it != history_.rend(); ++it) {
      out = std::min(out, it->version);
      if (it->since <= since)
        return out;
    }
    return 0;
  }

 private:
  struct Period {
    MonoTime since;
    std::uint64_t version = 0;
  };

  std::uint64_t Newest() const { return log_.empty() ? 0 : log_.back(); }

  void Append(MonoTime now, std::uint64_t version) {
    log_.push_back(version);
    history_.push_back({.since = now, .version = version});
    rewrite_at_.reset();
    ++writes_;
  }

  std::mt19937_64& random_;
  std::vector<std::uint64_t> log_;
  /// The newest version over time.
  std::vector<Period> history_;
  StoreTimeline timeline_ = 1;
  std::uint64_t last_version_ = 0;
  std::uint64_t writes_ = 0;
  std::size_t backup_size_ = 0;
  std::optional<MonoTime> rewrite_at_;
};

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_EDGE_CONFIG_STORE_H_
