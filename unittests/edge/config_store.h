#ifndef MANGOPORT_UNITTESTS_EDGE_CONFIG_STORE_H_
#define MANGOPORT_UNITTESTS_EDGE_CONFIG_STORE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "mangoport/core/time.h"
#include "mangoport/fleet/config_feed.h"
#include "mangoport/fleet/evacuations.h"

namespace mangoport {

/// What one read of the topic returns.
struct ConfigTopicRead {
  ConfigRead config;
  std::vector<EvacuationChange> evacuations;
};

/// The store's topic of the configuration, a log of versions and evacuations. A
/// restore takes the last records away, and the operator writes again what is
/// lost.
class ConfigStore {
 public:
  explicit ConfigStore(std::mt19937_64& random) : random_(random) {}

  /// The operator writes a new version.
  void Write(MonoTime now) { AppendVersion(now, ++last_version_); }

  /// The operator begins or ends the evacuation of `zone`.
  void Evacuate(MonoTime now, const ZoneId& zone) {
    Wish& wish = wishes_[zone];
    wish = {.evacuated = !wish.evacuated, .since = now};
    Append({.evacuation =
                EvacuationChange{.zone = zone, .evacuated = wish.evacuated}});
  }

  void Step(MonoTime now) {
    if (!rewrite_at_ || now < *rewrite_at_)
      return;
    rewrite_at_.reset();
    rewritten_at_ = now;
    if (Newest() < last_version_)
      AppendVersion(now, last_version_);
    for (const auto& [zone, wish] : wishes_) {
      if (wish.evacuated != IsEvacuated(zone))
        Append({.evacuation = EvacuationChange{.zone = zone,
                                               .evacuated = wish.evacuated}});
    }
  }

  void TakeBackup() { backup_size_ = log_.size(); }

  /// Comes back from the last backup, in a new timeline.
  void Restore(MonoTime now) {
    for (auto& [zone, wish] : wishes_)
      wish.stated_before_restore = StatedSince(zone);
    log_.resize(std::min(log_.size(), backup_size_));
    ++timeline_;
    history_.push_back({.since = now, .version = Newest()});
    const bool lost_wish =
        std::any_of(wishes_.begin(), wishes_.end(), [this](const auto& it) {
          return it.second.evacuated != IsEvacuated(it.first);
        });
    if (Newest() < last_version_ || lost_wish)
      rewrite_at_ = now + std::chrono::milliseconds(random_() % 3000);
  }

  StoreTimeline timeline() const { return timeline_; }

  /// The number of records that were written.
  std::uint64_t writes() const { return writes_; }

  /// True if a read from `from` is answered at once.
  bool HasNews(const std::optional<StorePosition>& from) const {
    return !from || from->offset != log_.size();
  }

  /// None if the store does not keep `from`. It knows offsets only. A read that
  /// is not of the present state returns `max_records` at most.
  std::optional<ConfigTopicRead> Read(const std::optional<StorePosition>& from,
                                      std::size_t max_records) const {
    if (from && from->offset > log_.size())
      return std::nullopt;
    const std::size_t first = from ? from->offset : 0;
    const std::size_t end =
        from ? std::min(log_.size(), first + max_records) : log_.size();
    ConfigTopicRead out;
    out.config.next = {.timeline = timeline_, .offset = end};
    out.config.whole = !from;
    out.config.log_end = log_.size();
    for (std::size_t i = first; i < end; ++i) {
      if (log_[i].version)
        out.config.version = log_[i].version;
      if (log_[i].evacuation && from)
        out.evacuations.push_back(*log_[i].evacuation);
    }
    if (!from) {
      // The present state has the newest record of each key.
      for (const auto& [zone, wish] : wishes_) {
        if (IsEvacuated(zone))
          out.evacuations.push_back({.zone = zone, .evacuated = true});
      }
    }
    out.config.has_other_records = !out.evacuations.empty();
    return out;
  }

  /// What the operator last wanted of `zone`, and since when the store has said
  /// so without a break.
  bool WantsEvacuated(const ZoneId& zone) const {
    const auto it = wishes_.find(zone);
    return it != wishes_.end() && it->second.evacuated;
  }
  MonoTime StatedBeforeRestore(const ZoneId& zone) const {
    const auto it = wishes_.find(zone);
    return it == wishes_.end() ? MonoTime::max()
                               : it->second.stated_before_restore;
  }
  MonoTime WishedSince(const ZoneId& zone) const {
    const auto it = wishes_.find(zone);
    return it == wishes_.end() ? MonoTime() : it->second.since;
  }
  MonoTime StatedSince(const ZoneId& zone) const {
    if (WantsEvacuated(zone) != IsEvacuated(zone))
      return MonoTime::max();
    return std::max(WishedSince(zone), rewritten_at_);
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

  /// One record: either a version or an evacuation.
  struct Record {
    std::optional<std::uint64_t> version = std::nullopt;
    std::optional<EvacuationChange> evacuation = std::nullopt;
  };
  struct Wish {
    bool evacuated = false;
    MonoTime since;
    /// `StatedSince` when the store was last restored.
    MonoTime stated_before_restore = MonoTime::max();
  };

  std::uint64_t Newest() const {
    for (auto it = log_.rbegin(); it != log_.rend(); ++it) {
      if (it->version)
        return *it->version;
    }
    return 0;
  }

  bool IsEvacuated(const ZoneId& zone) const {
    for (auto it = log_.rbegin(); it != log_.rend(); ++it) {
      if (it->evacuation && it->evacuation->zone == zone)
        return it->evacuation->evacuated;
    }
    return false;
  }

  void Append(const Record& record) {
    log_.push_back(record);
    ++writes_;
  }

  void AppendVersion(MonoTime now, std::uint64_t version) {
    Append({.version = version});
    history_.push_back({.since = now, .version = version});
  }

  std::mt19937_64& random_;
  std::vector<Record> log_;
  /// The newest version over time.
  std::vector<Period> history_;
  StoreTimeline timeline_ = 1;
  std::uint64_t last_version_ = 0;
  std::uint64_t writes_ = 0;
  std::size_t backup_size_ = 0;
  std::optional<MonoTime> rewrite_at_;
  MonoTime rewritten_at_;
  std::map<ZoneId, Wish> wishes_;
};

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_EDGE_CONFIG_STORE_H_
