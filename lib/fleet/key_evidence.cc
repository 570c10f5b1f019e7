#include "mangoport/fleet/key_evidence.h"

namespace mangoport {

void KeyEvidence::OnTimeline(StoreTimeline timeline, BootTime known_since) {
  // Reads of an earlier timeline have been used when they were answered.
  if (timeline > timeline_.timeline)
    newest_read_.reset();
  if (timeline_.Note(timeline, known_since))
    Confirm();
}

void KeyEvidence::OnCurrentRead(BootTime sent) {
  contact_at_ = std::max(contact_at_.value_or(sent), sent);
  if (version_ < peer_version_)
    return;
  newest_read_ = std::max(newest_read_.value_or(sent), sent);
  Confirm();
}

void KeyEvidence::Confirm() {
  // Nothing was restored before the first timeline.
  const bool is_first = timeline_.timeline == 0;
  const BootTime trusted_from = timeline_.known_since + kRewriteTime;
  if (!newest_read_ || (!is_first && *newest_read_ < trusted_from))
    return;
  confirmed_at_ =
      std::max(confirmed_at_.value_or(*newest_read_), *newest_read_);
}

}  // namespace mangoport
