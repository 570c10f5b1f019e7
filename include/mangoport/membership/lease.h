#ifndef MANGOPORT_MEMBERSHIP_LEASE_H_
#define MANGOPORT_MEMBERSHIP_LEASE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "mangoport/core/ids.h"
#include "mangoport/core/log_position.h"
#include "mangoport/core/time.h"
#include "mangoport/ledger/envelope.h"

namespace mangoport {

/// Who holds one resource, as the log says.
struct Lease {
  WriterId holder;
  /// Position of the claim that won; it fences what later epochs supersede.
  LogPosition epoch;
  /// The holder's latest claim or renewal.
  LogPosition last_record;
  std::uint64_t last_attempt = 0;
  /// How long the holder may act after it sent its latest record.
  Duration duration{};
};

/// The leases of one stream: a pure fold of its claims and releases.
///
/// Time decides nothing here, so every reader comes to the same result. A
/// claim names the last record of the holder that it found silent, and is void
/// if that holder has written since.
class LeaseFold {
 public:
  /// Folds a record; true if it changed a lease. Records of other kinds, and
  /// those that do not parse, change nothing.
  bool Apply(const LogPosition& position, const wire::Envelope& record);

  /// The lease of a resource, or null if nobody holds it.
  const Lease* Find(const std::string& resource) const;

  /// True if `writer` holds the resource under `epoch`: what it writes now is
  /// not void.
  bool IsCurrent(const std::string& resource,
                 const WriterId& writer,
                 const LogPosition& epoch) const;

 private:
  bool ApplyClaim(const LogPosition& position, const wire::Envelope& record);
  bool ApplyRelease(const wire::Envelope& record);

  std::map<std::string, Lease> leases_;
};

/// How one host contends for one resource.
struct LeaseConfig {
  std::string resource;
  /// How long a holder may act after it sent its latest record.
  Duration duration = std::chrono::seconds(10);
  Duration renew_interval = std::chrono::seconds(3);
  /// Added to `duration` by a claimant, which counts from its reading of the
  /// holder's latest record. Covers clock drift over `duration`, and an effect
  /// that was under way when the holder's lease ran out.
  Duration takeover_margin = std::chrono::seconds(2);
  /// Differs between hosts, so that they do not all claim at once.
  Duration claim_delay{};
  /// How soon a record that was not read back is written again.
  Duration retry_interval = std::chrono::seconds(1);
};

/// One host's part in a lease: when to claim, renew and release it, and until
/// when it may act.
class LeaseContender {
 public:
  LeaseContender(LeaseConfig config, WriterId self)
      : config_(std::move(config)), self_(std::move(self)) {}

  /// Takes in the fold after reading. `now` is the time before the read, or
  /// any later time.
  void Observe(MonoTime now, const LeaseFold& fold);

  /// The body of the next RECORD_KIND_LEASE_CLAIM to append, if one is due.
  /// Its time counts from this call, whenever it reaches the log.
  std::optional<std::string> NextClaim(MonoTime now);

  /// Stops acting and contending; the body of a RECORD_KIND_LEASE_RELEASE if
  /// the lease is this host's. Call it after the last effect is known.
  std::optional<std::string> Release();

  /// The epoch under which this host may act at `now`, if any. Ask for it
  /// again at the time of each effect.
  std::optional<LogPosition> HeldEpoch(MonoTime now) const;

  /// Until when the host may act without another renewal.
  MonoTime held_until() const { return held_until_; }

  const std::optional<Lease>& lease() const { return lease_; }

 private:
  bool IsHolder() const;
  std::string MakeClaim(MonoTime now);

  LeaseConfig config_;
  WriterId self_;
  std::optional<Lease> lease_;
  /// When this host first saw the lease as it is now.
  std::optional<MonoTime> observed_at_;
  MonoTime held_until_;
  bool released_ = false;
  std::uint64_t next_attempt_ = 1;
  /// When each record that may still be read back was sent.
  std::map<std::uint64_t, MonoTime> sent_;
  std::optional<MonoTime> last_sent_;
};

/// The number that engines compare: epochs in the order of their positions.
std::uint64_t FencingNumber(const LogPosition& epoch);

}  // namespace mangoport

#endif  // MANGOPORT_MEMBERSHIP_LEASE_H_
