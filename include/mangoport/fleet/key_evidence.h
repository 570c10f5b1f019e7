#ifndef MANGOPORT_FLEET_KEY_EVIDENCE_H_
#define MANGOPORT_FLEET_KEY_EVIDENCE_H_

#include <optional>

#include "mangoport/core/time.h"

namespace mangoport {

/// Tracks the age of this host's evidence that its keys are current. A host
/// that cannot receive key revocations must stop accepting keys in time.
///
/// The age counts from the time at which the host sent the read that confirmed
/// the configuration as current. All times are on a clock that keeps running
/// while the machine is suspended.
class KeyEvidence {
 public:
  /// `max_age` is the maximum time for which a key may be accepted after its
  /// revocation.
  explicit KeyEvidence(Duration max_age) : max_age_(max_age) {}

  void set_max_age(Duration max_age) { max_age_ = max_age; }

  /// Records that a read sent at `sent` confirmed the configuration as current.
  void OnCurrentRead(BootTime sent) {
    if (!confirmed_at_ || *confirmed_at_ < sent)
      confirmed_at_ = sent;
  }

  /// Returns true if a request with a key may be forwarded at `now`.
  bool MayAcceptKeys(BootTime now) const {
    return confirmed_at_ && now - *confirmed_at_ < max_age_ - kForwardingMargin;
  }

  /// Returns the age of the newest confirmation; none before the first.
  std::optional<Duration> Age(BootTime now) const {
    if (!confirmed_at_)
      return std::nullopt;
    return now - *confirmed_at_;
  }

 private:
  /// The time from the check to the request's arrival at a backend server.
  static constexpr Duration kForwardingMargin = std::chrono::milliseconds(300);

  Duration max_age_;
  std::optional<BootTime> confirmed_at_;
};

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_KEY_EVIDENCE_H_
