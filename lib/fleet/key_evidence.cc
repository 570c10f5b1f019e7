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

std::optional<BootTime> KeyEvidence::TrustedFrom() const {
  if (timeline_.timeline == 0)
    return std::nullopt;
  return timeline_.known_since + kRewriteTime;
}

std::optional<Duration> KeyEvidence::FirstProofDueIn(BootTime now) const {
  const std::optional<BootTime> trusted_from = TrustedFrom();
  if (!trusted_from || (contact_at_ && *contact_at_ >= *trusted_from))
    return std::nullopt;
  return std::max(*trusted_from - now, Duration::zero());
}

void KeyEvidence::Confirm() {
  const std::optional<BootTime> trusted_from = TrustedFrom();
  if (!newest_read_ || (trusted_from && *newest_read_ < *trusted_from))
    return;
  confirmed_at_ =
      std::max(confirmed_at_.value_or(*newest_read_), *newest_read_);
}

}  // namespace mangoport
