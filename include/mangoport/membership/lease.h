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

/// The lease of one resource, according to the log.
struct Lease {
  WriterId holder;
  /// Position of the claim that won the lease. Records and effects (actions
  /// outside the log, such as engine orders) under an older epoch are rejected.
  LogPosition epoch;
  /// The holder's latest claim or renewal.
  LogPosition last_record;
  /// `LeaseClaim::attempt` of that record.
  std::uint64_t last_attempt = 0;
  /// How long the holder may act after it sent its latest record.
  Duration duration{};
};

/// The leases of one stream, a pure fold of its claims and releases.
///
/// The result does not depend on time, so all readers compute the same leases.
/// A claim names the last record of the holder whose lease expired, and is
/// ignored if that holder has appended another record since.
class LeaseFold {
 public:
  /// Applies a record and returns true if it changed a lease. Records of other
  /// kinds and records that do not parse are ignored.
  bool Apply(const LogPosition& position, const wire::Envelope& record);

  /// Returns the lease of a resource, or null if no host holds it.
  const Lease* Find(const std::string& resource) const;

  /// True if `writer` holds the resource under `epoch`, which makes its records
  /// valid.
  bool IsCurrent(const std::string& resource,
                 const WriterId& writer,
                 const LogPosition& epoch) const;

 private:
  bool ApplyClaim(const LogPosition& position, const wire::Envelope& record);
  bool ApplyRelease(const wire::Envelope& record);

  std::map<std::string, Lease> leases_;
};

/// How one host competes for one resource.
struct LeaseConfig {
  std::string resource;
  /// How long a holder may act after it sent its latest record.
  Duration duration = std::chrono::seconds(10);
  Duration renew_interval = std::chrono::seconds(3);
  /// Time that a claimant waits in addition to `duration`, counted from when it
  /// read the holder's latest record. Covers clock drift over `duration` and an
  /// effect that was in progress when the holder's lease expired.
  Duration takeover_margin = std::chrono::seconds(2);
  /// Additional delay before a claim. Differs between hosts, so that they do
  /// not all claim at once.
  Duration claim_delay{};
  /// Minimum time between two records of one host, for instance to retry one
  /// that was not read back.
  Duration retry_interval = std::chrono::seconds(1);
};

/// Decides when one host claims, renews and releases a lease, and until when it
/// may act as the holder.
class LeaseContender {
 public:
  LeaseContender(LeaseConfig config, WriterId self)
      : config_(std::move(config)), self_(std::move(self)) {}

  /// Updates the state from the fold after a read of the log. `now` is the time
  /// before the read, or any later time.
  void Observe(MonoTime now, const LeaseFold& fold);

  /// Returns the body of the next RECORD_KIND_LEASE_CLAIM to append, if one is
  /// due. The lease duration counts from this call, no matter when the record
  /// reaches the log.
  std::optional<std::string> NextClaim(MonoTime now);

  /// Stops acting and claiming. Returns the body of a RECORD_KIND_LEASE_RELEASE
  /// if this host holds the lease. Call it after the outcome of the last effect
  /// is known.
  std::optional<std::string> Release();

  /// Returns the epoch under which this host may act at `now`, if any. Call it
  /// again at the time of each effect.
  std::optional<LogPosition> HeldEpoch(MonoTime now) const;

  /// The time until which the host may act without another renewal.
  MonoTime held_until() const { return held_until_; }

  const std::optional<Lease>& lease() const { return lease_; }

 private:
  bool IsHolder() const;
  std::string MakeClaim(MonoTime now);

  LeaseConfig config_;
  WriterId self_;
  std::optional<Lease> lease_;
  /// When this host first observed the current state of the lease.
  std::optional<MonoTime> observed_at_;
  MonoTime held_until_;
  bool released_ = false;
  std::uint64_t next_attempt_ = 1;
  /// Send time of each record that may still be read back, by attempt number.
  std::map<std::uint64_t, MonoTime> send_times_;
  std::optional<MonoTime> last_sent_at_;
};

/// Encodes an epoch as the fencing number that engines compare. Preserves the
/// order of log positions.
std::uint64_t FencingNumber(const LogPosition& epoch);

}  // namespace mangoport

#endif  // MANGOPORT_MEMBERSHIP_LEASE_H_
