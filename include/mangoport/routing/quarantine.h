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

enum class SuspicionLevel {
  kClear,
  /// May run only under a valid isolation claim.
  kSuspect,
  /// Ran in several crashes, none of which proves its guilt: wait.
  kHeld,
  /// Crashed a backend server on its own: refused.
  kQuarantined,
};

struct Verdict {
  SuspicionLevel level = SuspicionLevel::kClear;
  /// End of a hold or quarantine.
  WallTime until = {};
  /// Suspected only of crashes long after its start, so that it must stay
  /// isolated to its end.
  bool late = false;
};

/// One quarantined or held request, for operators.
struct QuarantineEntry {
  Fingerprint fingerprint;
  Verdict verdict;
  std::uint32_t crashes = 0;
};

/// A suspect's exclusive use of a backend server.
struct ActiveIsolation {
  Fingerprint fingerprint;
  ServerId server;
  HostId host;
  std::uint64_t number = 0;
  WallTime expires_at;
};

/// Folds crash reports and isolation claims into what may run.
///
/// A request that ran in one crash is a suspect and runs only isolated. It is
/// quarantined if it then crashes that server too, with no other unproven
/// request on it. Reports that arrive late can still overturn that. Reports may
/// also come from peers, ahead of the log; claims count only in the log's
/// order.
class QuarantineFold {
 public:
  void Apply(const LogPosition& position, const wire::Envelope& record);

  /// Takes in a crash report, from the log or a peer. Repeats change nothing.
  void MergeReport(const wire::CrashReport& report);

  /// Forgets the crashes of `fingerprint` up to `at`: it ran to its end, or an
  /// operator released it.
  void Clear(const Fingerprint& fingerprint, WallTime at);

  /// True if a crash of `fingerprint` counts at `now`.
  bool Remembers(WallTime now, const Fingerprint& fingerprint) const;

  Verdict Judge(WallTime now, const Fingerprint& fingerprint) const;

  /// Also weighs how near `sketch` is to requests of this account that are
  /// quarantined: an edit of one of them is a suspect, never quarantined.
  Verdict Judge(WallTime now,
                const Fingerprint& fingerprint,
                std::uint64_t sketch) const;

  /// True if `account` has quarantined requests, so that a sketch matters.
  bool NeedsSketch(const AccountId& account) const;

  /// True if claim `number` of `host` was read and holds its server.
  bool HoldsClaim(WallTime now, const HostId& host, std::uint64_t number) const;

  /// Claims that hold at `now`: their servers take no other new request.
  std::vector<ActiveIsolation> Isolations(WallTime now) const;

  /// Everything that is held or quarantined.
  std::vector<QuarantineEntry> Entries(WallTime now) const;

  std::size_t crash_count() const { return crashes_.size(); }

 private:
  /// How a request that could be to blame ran on the server.
  enum class Presence { kShared, kIsolated, kIsolatedAndRanWell };
  struct Crash {
    ServerId server;
    WallTime at;
    std::unordered_map<Fingerprint, Presence> unproven;
    std::unordered_set<Fingerprint> proven;
  };
  struct Memory {
    /// Places in `crashes_` counted from the fold's first crash.
    std::vector<std::uint64_t> crashes;
    std::uint64_t sketch = 0;
  };
  struct Guilt {
    std::uint32_t unproven = 0;
    std::uint32_t proven = 0;
    /// Of the unproven, those amid many other crashes.
    std::uint32_t in_large_failures = 0;
    bool proved = false;
    WallTime last;
  };

  void ApplyClaim(const wire::IsolationClaim& claim);
  void ApplyEnd(const wire::IsolationEnd& end);
  void ApplyRelease(const wire::QuarantineRelease& release);
  WallTime ClearedAt(const Fingerprint& fingerprint) const;
  std::uint64_t CrashFor(const ServerId& server, WallTime at);
  const Crash* CrashAt(std::uint64_t number) const;
  Guilt Weigh(WallTime now,
              const Fingerprint& fingerprint,
              const Memory& memory) const;
  /// Crashes of `fingerprint` that count at `now`.
  std::size_t CountedCrashes(WallTime now,
                             const Fingerprint& fingerprint,
                             const Memory& memory) const;
  /// True if another request on the server was in more crashes than `count`,
  /// so that it is the likelier cause.
  bool HasLikelierCause(WallTime now,
                        const Crash& crash,
                        std::size_t count) const;
  /// Deaths of other servers at about the time of `crash`, without this
  /// request: many of them point at a rack, a switch or a bad rollout.
  int UnrelatedCrashes(const Crash& crash,
                       const Fingerprint& fingerprint) const;
  void DropOldest();

  std::deque<Crash> crashes_;
  std::uint64_t first_crash_ = 0;
  std::unordered_map<Fingerprint, Memory> memories_;
  std::unordered_map<AccountId, std::vector<Fingerprint>> by_account_;
  std::unordered_map<Fingerprint, WallTime> cleared_;
  std::vector<ActiveIsolation> isolations_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_QUARANTINE_H_
