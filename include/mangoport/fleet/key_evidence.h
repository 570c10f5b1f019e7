#ifndef MANGOPORT_FLEET_KEY_EVIDENCE_H_
#define MANGOPORT_FLEET_KEY_EVIDENCE_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "mangoport/core/store_position.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// Tracks the age of this host's evidence that its keys are current. A host
/// that cannot receive key revocations must stop accepting keys in time.
///
/// The age counts from the time at which the host sent the read that confirmed
/// the configuration as current. All times are on a clock that keeps running
/// while the machine is suspended.
///
/// A store that was restored from a backup may lack a revocation until it has
/// been written again. Reads sent before then, or while a peer applies a higher
/// version than this host, confirm nothing; earlier evidence remains valid.
class KeyEvidence {
 public:
  /// `max_age` is the maximum time for which a key may be accepted after its
  /// revocation.
  explicit KeyEvidence(Duration max_age) : max_age_(max_age) {}

  void set_max_age(Duration max_age) { max_age_ = max_age; }

  /// Records that the store is of `timeline`, and was already at `known_since`.
  /// Call it before `OnCurrentRead` for a read of that timeline.
  void OnTimeline(StoreTimeline timeline, BootTime known_since);

  /// Records the version of the configuration that this host applies.
  void OnConfigVersion(std::uint64_t version) { version_ = version; }
  /// Records a version that another host applies.
  void OnPeerConfigVersion(std::uint64_t version) {
    peer_version_ = std::max(peer_version_, version);
  }

  /// Records that this host applies the newest configuration that the store had
  /// when a read was sent at `sent`. A read that stopped short of the log's end
  /// does not show that.
  void OnCurrentRead(BootTime sent);

  /// Returns the time until a read can be sent that proves the keys for the
  /// first time in this timeline of the store; zero if it is due. None if one
  /// has been sent, or if any read proves them.
  std::optional<Duration> FirstProofDueIn(BootTime now) const;

  /// Returns true if a request with a key may be forwarded at `now`.
  bool MayAcceptKeys(BootTime now) const {
    return IsRecent(confirmed_at_, now);
  }

  /// Returns true if the newest read of the store is too old to prove any key.
  bool HasLostStore(BootTime now) const { return !IsRecent(contact_at_, now); }

  /// Returns the age of the newest confirmation; none before the first.
  std::optional<Duration> Age(BootTime now) const {
    if (!confirmed_at_)
      return std::nullopt;
    return now - *confirmed_at_;
  }

  /// Returns the time since the newest read was sent, whether it confirmed the
  /// keys or not; none before the first.
  std::optional<Duration> ContactAge(BootTime now) const {
    if (!contact_at_)
      return std::nullopt;
    return now - *contact_at_;
  }

 private:
  /// The time from the check to the request's arrival at a backend server.
  static constexpr Duration kForwardingMargin = std::chrono::milliseconds(300);

  /// The time in which the users write again what a restored store has lost.
  static constexpr Duration kRewriteTime = std::chrono::seconds(2);

  /// The earliest sending time of a read that can be evidence. None if it is
  /// any time, since nothing was restored before the first timeline.
  std::optional<BootTime> TrustedFrom() const;

  /// True if a key that was current at `time` may still be accepted at `now`.
  bool IsRecent(const std::optional<BootTime>& time, BootTime now) const {
    return time && now - *time < max_age_ - kForwardingMargin;
  }

  /// Uses the newest read as evidence if it was sent late enough.
  void Confirm();

  Duration max_age_;
  TimelineAge timeline_;
  std::uint64_t version_ = 0;
  std::uint64_t peer_version_ = 0;
  std::optional<BootTime> confirmed_at_;
  std::optional<BootTime> contact_at_;
  /// The newest read of the timeline that showed no version below a peer's.
  std::optional<BootTime> newest_read_;
};

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_KEY_EVIDENCE_H_
