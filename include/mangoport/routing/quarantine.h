#ifndef MANGOPORT_ROUTING_QUARANTINE_H_
#define MANGOPORT_ROUTING_QUARANTINE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/log_position.h"
#include "mangoport/core/time.h"
#include "mangoport/ledger.pb.h"
#include "mangoport/routing.pb.h"
#include "mangoport/routing/fingerprint.h"

namespace mangoport {

/// How a request may run, by the crashes in which it was involved.
enum class SuspicionLevel {
  /// Runs without restriction.
  kClear,
  /// Runs only under a valid isolation claim.
  kSuspect,
  /// May be resent after a delay: it was running in several crashes, none of
  /// which confirms it as the cause, or it is an edit of several quarantined
  /// requests, or reports of its last crash may still arrive.
  kHeld,
  /// Confirmed cause of a backend server crash; refused.
  kQuarantined,
};

/// The current assessment of a request.
struct Assessment {
  SuspicionLevel level = SuspicionLevel::kClear;
  /// End of a hold or quarantine; unset for other levels.
  WallTime until = {};
  /// A server crashed when the request had already run for long, so that it
  /// must stay isolated until it ends.
  bool isolated_until_end = false;
};

/// One quarantined or held request, as shown to operators.
struct QuarantineEntry {
  Fingerprint fingerprint;
  Assessment assessment;
  std::uint32_t crashes = 0;
};

/// A valid claim by which a suspect has exclusive use of a backend server.
struct ActiveIsolation {
  Fingerprint fingerprint;
  ServerId server;
  HostId host;
  /// Number of the claim, unique per host.
  std::uint64_t number = 0;
  WallTime expires_at;
};

/// Folds crash reports and isolation claims into the set of requests that are
/// suspect, held or quarantined.
///
/// A request that ran on a server that crashed is a suspect and runs only
/// isolated. It is quarantined if the server on which it runs isolated crashes
/// too and no other unproven request ran there. A crash report that arrives
/// later can revoke the quarantine. Crash reports may also arrive from peers,
/// before they are read from the log; claims take effect only in log order.
class QuarantineFold {
 public:
  /// Applies a log record; ignores records of other kinds.
  void Apply(const LogPosition& position, const wire::Envelope& record);

  /// Merges a crash report from the log or a peer. Duplicates have no effect.
  void MergeReport(const wire::CrashReport& report);

  /// Discards the evidence of crashes of `fingerprint` up to `at`, because it
  /// completed or an operator released it.
  void Clear(const Fingerprint& fingerprint, WallTime at);

  /// True if there is unexpired evidence of a crash of `fingerprint`.
  bool HasEvidence(WallTime now, const Fingerprint& fingerprint) const;

  /// Assesses a request by its exact fingerprint.
  Assessment Assess(WallTime now, const Fingerprint& fingerprint) const;

  /// Also compares `sketch` with the quarantined requests of the account. An
  /// edit of one of them is a suspect, an edit of several is held; neither is
  /// ever quarantined by similarity alone. A request that was cleared within
  /// the evidence lifetime is not compared.
  Assessment Assess(WallTime now,
                    const Fingerprint& fingerprint,
                    std::uint64_t sketch) const;

  /// True if requests of `account` are listed in a crash report, so that its
  /// requests must be assessed.
  bool NeedsAssessment(const AccountId& account) const;

  /// True if claim `number` of `host` was read from the log and is valid.
  bool HoldsClaim(WallTime now, const HostId& host, std::uint64_t number) const;

  /// Claims that are valid at `now`; their servers take no other new request.
  std::vector<ActiveIsolation> Isolations(WallTime now) const;

  /// All requests that are held or quarantined, ordered by account and hash.
  std::vector<QuarantineEntry> Entries(WallTime now) const;

  std::size_t crash_count() const { return crashes_.size(); }

 private:
  /// How an unproven or isolated request ran on the server that crashed. The
  /// highest value of several reports of one crash is kept.
  enum class RunMode {
    /// Unproven and without an isolation claim.
    kShared,
    /// Unproven and under an isolation claim.
    kIsolated,
    /// Proven, but isolated until its end.
    kIsolatedProven,
  };
  struct Crash {
    ServerId server;
    WallTime at;
    /// Possible causes: unproven requests, and proven ones that ran isolated.
    std::unordered_map<Fingerprint, RunMode> unproven;
    /// Proven requests that did not run isolated.
    std::unordered_set<Fingerprint> proven;
  };
  struct SuspectHistory {
    /// Sequence numbers of its crashes, counted from the first crash of the
    /// fold.
    std::vector<std::uint64_t> crash_numbers;
    std::uint64_t sketch = 0;
  };
  struct CrashEvidence {
    std::uint32_t unproven = 0;
    std::uint32_t proven = 0;
    /// Unproven crashes that coincided with crashes of many other servers.
    std::uint32_t in_large_failures = 0;
    /// A crash confirms the request as its cause.
    bool confirmed = false;
    WallTime last;
  };

  void ApplyClaim(const wire::IsolationClaim& claim);
  void ApplyEnd(const wire::IsolationEnd& end);
  void ApplyRelease(const wire::QuarantineRelease& release);
  WallTime ClearedAt(const Fingerprint& fingerprint) const;
  std::uint64_t FindOrAddCrash(const ServerId& server, WallTime at);
  const Crash* FindCrash(std::uint64_t number) const;
  CrashEvidence CollectEvidence(WallTime now,
                                const Fingerprint& fingerprint,
                                const SuspectHistory& history) const;
  /// Number of unexpired crashes of `fingerprint`.
  std::size_t CountCrashes(WallTime now,
                           const Fingerprint& fingerprint,
                           const SuspectHistory& history) const;
  /// True if another request on the server was involved in more than `count`
  /// crashes, which makes it the more likely cause.
  bool HasMoreLikelyCause(WallTime now,
                          const Crash& crash,
                          std::size_t count) const;
  /// Number of crashes of other servers at about the time of `crash` in which
  /// this request was not involved, without crashes of servers that ran an
  /// isolated request. Many of them indicate the failure of a rack or switch,
  /// or a bad rollout.
  int CountUnrelatedCrashes(const Crash& crash,
                            const Fingerprint& fingerprint) const;
  void DropOldestCrash();

  std::deque<Crash> crashes_;
  std::uint64_t first_crash_ = 0;
  std::unordered_map<Fingerprint, SuspectHistory> histories_;
  std::unordered_map<AccountId, std::vector<Fingerprint>> by_account_;
  /// Requests whose crashes up to the given time no longer count.
  std::unordered_map<Fingerprint, WallTime> cleared_;
  std::vector<ActiveIsolation> isolations_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_QUARANTINE_H_
