#ifndef MANGOPORT_FLEET_KEY_EVIDENCE_H_
#define MANGOPORT_FLEET_KEY_EVIDENCE_H_

#include <optional>

#include "mangoport/core/time.h"

namespace mangoport {

/// How old this host's knowledge of the keys is, so that a host which cannot
/// learn of a withdrawal stops honouring keys in time.
///
/// The evidence counts from the moment at which the read was sent that proved
/// the configuration current. All times are on a clock that goes on through a
/// suspension of the machine.
class KeyEvidence {
 public:
  /// `max_age` is how long a key may be honoured after its withdrawal.
  explicit KeyEvidence(Duration max_age) : max_age_(max_age) {}

  void set_max_age(Duration max_age) { max_age_ = max_age; }

  /// A read that was sent at `sent` showed the newest configuration.
  void OnProof(BootTime sent) {
    if (!proven_at_ || *proven_at_ < sent)
      proven_at_ = sent;
  }

  /// True if a request with a key may be passed on at `now`.
  bool MayHonourKeys(BootTime now) const {
    return proven_at_ && now - *proven_at_ < max_age_ - kMargin;
  }

  /// Age of the newest proof; none before the first.
  std::optional<Duration> Age(BootTime now) const {
    if (!proven_at_)
      return std::nullopt;
    return now - *proven_at_;
  }

 private:
  /// From the check to the arrival at a backend server.
  static constexpr Duration kMargin = std::chrono::milliseconds(300);

  Duration max_age_;
  std::optional<BootTime> proven_at_;
};

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_KEY_EVIDENCE_H_
