#include "mangoport/fleet/config_feed.h"

#include <algorithm>

#include "mangoport/core/mutant.h"

namespace mangoport {

std::optional<StorePosition> ConfigFeed::ReadFrom() const {
  if (track_.is_behind())
    return std::nullopt;
  return track_.position();
}

ConfigReadOutcome ConfigFeed::OnRead(const FeedConfirmation& read,
                                     const ConfigRead& result) {
  ConfigReadOutcome out;
  out.use = track_.OnRead(read, result.next, result.whole, result.log_end);
  if (out.use != FeedReadUse::kApply && out.use != FeedReadUse::kPassed)
    return out;
  out.apply = result.version && (!version_ || *result.version > *version_);
  if (out.apply)
    version_ = result.version;
  const bool changed = MutantEnabled("rewritten_record_ignored")
                           ? out.apply
                           : result.version || result.has_other_records;
  if (result.whole || changed)
    changed_at_ = std::max(changed_at_, result.next);
  return out;
}

std::optional<FeedUpdate> ConfigFeed::OwnUpdate(BootTime now) const {
  if (!version_)
    return std::nullopt;
  return track_.MakeFeedUpdate(now, changed_at_.offset);
}

}  // namespace mangoport
