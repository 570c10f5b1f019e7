#include "mangoport/routing/quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;

/// Reports of one server's death by several hosts lie within this.
constexpr Duration kSameCrash = std::chrono::seconds(5);
/// Crashes close together on many servers point at a rack, not a request.
constexpr Duration kMassFailureSpan = std::chrono::seconds(3);
constexpr int kMassFailureCrashes = 3;
/// With so many, suspects of one crash run on without isolation.
constexpr int kLargeFailureCrashes = 5;
constexpr Duration kEvidenceLifetime = std::chrono::hours(1);
/// Until then other hosts may still report what else ran on the server.
constexpr Duration kReportWindow = std::chrono::seconds(1);
constexpr Duration kFirstHold = std::chrono::seconds(30);
constexpr std::uint32_t kMaxHoldDoublings = 5;
constexpr std::size_t kMaxCrashes = 4096;
constexpr std::size_t kMaxCleared = 4096;
constexpr std::uint32_t kCrashesToConvict = 2;

WallTime FromMillis(std::int64_t ms) {
  return WallTime(milliseconds(ms));
}

Duration Between(WallTime a, WallTime b) {
  return a < b ? b - a : a - b;
}

WallTime After(WallTime time, Duration delay) {
  return time + std::chrono::duration_cast<WallTime::duration>(delay);
}

WallTime HoldEnd(WallTime last, std::uint32_t extra) {
  return After(last, kFirstHold * (1 << std::min(extra, kMaxHoldDoublings)));
}

WallTime EvidenceEnd(WallTime last) {
  if (last == WallTime::min())
    return last;
  return After(last, kEvidenceLifetime);
}

}  // namespace

void QuarantineFold::Apply(const LogPosition& /*position*/,
                           const wire::Envelope& record) {
  if (record.kind() != wire::RECORD_KIND_QUARANTINE)
    return;
  wire::QuarantineRecord body;
  if (!body.ParseFromString(record.body()))
    return;
  if (body.has_crash())
    MergeReport(body.crash());
  if (body.has_claim())
    ApplyClaim(body.claim());
  if (body.has_end())
    ApplyEnd(body.end());
  if (body.has_release())
    ApplyRelease(body.release());
}

const QuarantineFold::Crash* QuarantineFold::CrashAt(
    std::uint64_t number) const {
  if (number < first_crash_)
    return nullptr;
  return &crashes_[number - first_crash_];
}

std::uint64_t QuarantineFold::CrashFor(const ServerId& server, WallTime at) {
  for (std::size_t i = crashes_.size(); i-- > 0;) {
    const Crash& it = crashes_[i];
    if (it.server == server && Between(it.at, at) <= kSameCrash)
      return first_crash_ + i;
  }
  if (crashes_.size() >= kMaxCrashes)
    DropOldest();
  crashes_.push_back(
      Crash{.server = server, .at = at, .unproven = {}, .proven = {}});
  return first_crash_ + crashes_.size() - 1;
}

void QuarantineFold::DropOldest() {
  const auto forget = [this](const Fingerprint& fingerprint) {
    const auto it = memories_.find(fingerprint);
    if (it == memories_.end())
      return;
    std::erase(it->second.crashes, first_crash_);
    if (!it->second.crashes.empty())
      return;
    std::erase(by_account_[fingerprint.account], fingerprint);
    if (by_account_[fingerprint.account].empty())
      by_account_.erase(fingerprint.account);
    memories_.erase(it);
  };
  for (const auto& [fingerprint, isolated] : crashes_.front().unproven)
    forget(fingerprint);
  for (const Fingerprint& it : crashes_.front().proven)
    forget(it);
  crashes_.pop_front();
  ++first_crash_;
}

void QuarantineFold::MergeReport(const wire::CrashReport& report) {
  const std::uint64_t number =
      CrashFor(ServerId(report.server()), FromMillis(report.crashed_at_ms()));
  Crash& crash = crashes_[number - first_crash_];
  for (const wire::Suspect& it : report.suspects()) {
    Fingerprint fingerprint{AccountId(it.account()), it.fingerprint()};
    const auto [memory, added] = memories_.try_emplace(fingerprint);
    if (added)
      by_account_[fingerprint.account].push_back(fingerprint);
    memory->second.sketch = it.sketch();
    std::vector<std::uint64_t>& numbers = memory->second.crashes;
    if (std::find(numbers.begin(), numbers.end(), number) == numbers.end())
      numbers.push_back(number);
    if (it.proven() && !it.isolated()) {
      crash.proven.insert(std::move(fingerprint));
      continue;
    }
    const Presence alone =
        it.proven() ? Presence::kIsolatedAndRanWell : Presence::kIsolated;
    Presence& known = crash.unproven[std::move(fingerprint)];
    known = std::max(known, it.isolated() ? alone : Presence::kShared);
  }
}

void QuarantineFold::ApplyClaim(const wire::IsolationClaim& claim) {
  const WallTime at = FromMillis(claim.claimed_at_ms());
  std::erase_if(isolations_, [at](const ActiveIsolation& it) {
    return it.expires_at <= at;
  });
  ActiveIsolation wanted{
      .fingerprint = {AccountId(claim.account()), claim.fingerprint()},
      .server = ServerId(claim.server()),
      .host = HostId(claim.host()),
      .number = claim.number(),
      .expires_at = FromMillis(claim.expires_at_ms())};
  const bool taken = std::any_of(isolations_.begin(), isolations_.end(),
                                 [&wanted](const ActiveIsolation& it) {
                                   return it.server == wanted.server ||
                                          it.fingerprint == wanted.fingerprint;
                                 });
  if (!taken || MutantEnabled("claims_overlap"))
    isolations_.push_back(std::move(wanted));
}

void QuarantineFold::ApplyEnd(const wire::IsolationEnd& end) {
  const HostId host(end.host());
  const auto is_ended = [&](const ActiveIsolation& it) {
    return it.host == host && it.number == end.number();
  };
  const bool held =
      std::any_of(isolations_.begin(), isolations_.end(), is_ended);
  std::erase_if(isolations_, is_ended);
  // Without a claim, the request ran to its end by itself.
  if (!end.survived() || (!held && end.number() != 0))
    return;
  Clear({AccountId(end.account()), end.fingerprint()},
        FromMillis(end.ended_at_ms()));
}

void QuarantineFold::ApplyRelease(const wire::QuarantineRelease& release) {
  Clear({AccountId(release.account()), release.fingerprint()},
        FromMillis(release.released_at_ms()));
}

void QuarantineFold::Clear(const Fingerprint& fingerprint, WallTime at) {
  if (cleared_.size() >= kMaxCleared) {
    std::erase_if(cleared_, [at](const auto& it) {
      return EvidenceEnd(it.second) <= at;
    });
  }
  WallTime& known = cleared_[fingerprint];
  known = std::max(known, at);
}

WallTime QuarantineFold::ClearedAt(const Fingerprint& fingerprint) const {
  const auto it = cleared_.find(fingerprint);
  return it == cleared_.end() ? WallTime::min() : it->second;
}

int QuarantineFold::UnrelatedCrashes(const Crash& crash,
                                     const Fingerprint& fingerprint) const {
  int unrelated = 0;
  for (const Crash& it : crashes_) {
    const bool by_suspect = std::any_of(
        it.unproven.begin(), it.unproven.end(), [](const auto& suspect) {
          return suspect.second != Presence::kShared;
        });
    if (by_suspect || Between(it.at, crash.at) > kMassFailureSpan)
      continue;
    if (!it.unproven.contains(fingerprint) && !it.proven.contains(fingerprint))
      ++unrelated;
  }
  return unrelated;
}

std::size_t QuarantineFold::CountedCrashes(WallTime now,
                                           const Fingerprint& fingerprint,
                                           const Memory& memory) const {
  const WallTime cleared_at = ClearedAt(fingerprint);
  return std::count_if(memory.crashes.begin(), memory.crashes.end(),
                       [&](std::uint64_t number) {
                         const Crash* crash = CrashAt(number);
                         return crash != nullptr && crash->at > cleared_at &&
                                EvidenceEnd(crash->at) > now;
                       });
}

bool QuarantineFold::HasLikelierCause(WallTime now,
                                      const Crash& crash,
                                      std::size_t count) const {
  const auto is_likelier = [&](const Fingerprint& it) {
    const auto memory = memories_.find(it);
    return memory != memories_.end() &&
           CountedCrashes(now, it, memory->second) > count;
  };
  return std::any_of(crash.unproven.begin(), crash.unproven.end(),
                     [&](const auto& it) { return is_likelier(it.first); }) ||
         std::any_of(crash.proven.begin(), crash.proven.end(), is_likelier);
}

QuarantineFold::Guilt QuarantineFold::Weigh(WallTime now,
                                            const Fingerprint& fingerprint,
                                            const Memory& memory) const {
  Guilt guilt;
  const WallTime cleared_at = ClearedAt(fingerprint);
  const std::size_t count = CountedCrashes(now, fingerprint, memory);
  for (const std::uint64_t number : memory.crashes) {
    const Crash* crash = CrashAt(number);
    if (crash == nullptr || crash->at <= cleared_at ||
        EvidenceEnd(crash->at) <= now)
      continue;
    guilt.last = std::max(guilt.last, crash->at);
    const auto it = crash->unproven.find(fingerprint);
    if (it == crash->unproven.end()) {
      ++guilt.proven;
      continue;
    }
    const int unrelated = UnrelatedCrashes(*crash, fingerprint);
    ++guilt.unproven;
    if (unrelated >= kLargeFailureCrashes - 1)
      ++guilt.in_large_failures;
    // One that ran well before is as likely as any other that did.
    const bool alone =
        (crash->unproven.size() == 1 &&
         (it->second == Presence::kIsolated || crash->proven.empty())) ||
        MutantEnabled("company_convicts");
    if (it->second != Presence::kShared && alone &&
        unrelated < kMassFailureCrashes - 1 &&
        !HasLikelierCause(now, *crash, count))
      guilt.proved = true;
  }
  return guilt;
}

Verdict QuarantineFold::Judge(WallTime now,
                              const Fingerprint& fingerprint) const {
  const auto memory = memories_.find(fingerprint);
  if (memory == memories_.end())
    return Verdict{};
  const Guilt guilt = Weigh(now, fingerprint, memory->second);
  // Only a suspect runs isolated, so that this was not its first crash, or it
  // is an edit of a quarantined request.
  if (guilt.proved) {
    const WallTime settled = After(guilt.last, kReportWindow);
    if (now < settled)
      return Verdict{.level = SuspicionLevel::kHeld, .until = settled};
    return Verdict{.level = SuspicionLevel::kQuarantined,
                   .until = EvidenceEnd(guilt.last)};
  }
  if (guilt.unproven >= kCrashesToConvict) {
    if (MutantEnabled("counts_convict"))
      return Verdict{.level = SuspicionLevel::kQuarantined,
                     .until = EvidenceEnd(guilt.last)};
    const WallTime until =
        HoldEnd(guilt.last, guilt.unproven - kCrashesToConvict);
    if (now < until)
      return Verdict{.level = SuspicionLevel::kHeld, .until = until};
  }
  if (guilt.unproven == 1 && guilt.in_large_failures == 1)
    return Verdict{};
  if (guilt.unproven >= 1 || guilt.proven >= kCrashesToConvict)
    return Verdict{.level = SuspicionLevel::kSuspect, .late = guilt.proven > 0};
  return Verdict{};
}

bool QuarantineFold::Remembers(WallTime now,
                               const Fingerprint& fingerprint) const {
  const auto memory = memories_.find(fingerprint);
  if (memory == memories_.end())
    return false;
  const Guilt guilt = Weigh(now, fingerprint, memory->second);
  return guilt.unproven + guilt.proven > 0;
}

bool QuarantineFold::NeedsSketch(const AccountId& account) const {
  return by_account_.contains(account);
}

Verdict QuarantineFold::Judge(WallTime now,
                              const Fingerprint& fingerprint,
                              std::uint64_t sketch) const {
  const Verdict exact = Judge(now, fingerprint);
  if (exact.level != SuspicionLevel::kClear)
    return exact;
  if (EvidenceEnd(ClearedAt(fingerprint)) > now)
    return exact;
  const auto others = by_account_.find(fingerprint.account);
  if (others == by_account_.end())
    return exact;
  std::uint32_t near = 0;
  WallTime last;
  for (const Fingerprint& it : others->second) {
    const Memory& memory = memories_.at(it);
    if (!AreNear(memory.sketch, sketch) ||
        Judge(now, it).level != SuspicionLevel::kQuarantined)
      continue;
    ++near;
    last = std::max(last, Weigh(now, it, memory).last);
  }
  if (near == 0)
    return exact;
  const WallTime until = HoldEnd(last, near - 1);
  if (near > 1 && now < until)
    return Verdict{.level = SuspicionLevel::kHeld, .until = until};
  return Verdict{.level = SuspicionLevel::kSuspect};
}

bool QuarantineFold::HoldsClaim(WallTime now,
                                const HostId& host,
                                std::uint64_t number) const {
  return std::any_of(
      isolations_.begin(), isolations_.end(), [&](const ActiveIsolation& it) {
        return it.host == host && it.number == number && now < it.expires_at;
      });
}

std::vector<ActiveIsolation> QuarantineFold::Isolations(WallTime now) const {
  std::vector<ActiveIsolation> active;
  for (const ActiveIsolation& it : isolations_) {
    if (now < it.expires_at)
      active.push_back(it);
  }
  return active;
}

std::vector<QuarantineEntry> QuarantineFold::Entries(WallTime now) const {
  std::vector<QuarantineEntry> entries;
  for (const auto& [fingerprint, memory] : memories_) {
    const Verdict verdict = Judge(now, fingerprint);
    if (verdict.level < SuspicionLevel::kHeld)
      continue;
    const Guilt guilt = Weigh(now, fingerprint, memory);
    entries.push_back({fingerprint, verdict, guilt.unproven + guilt.proven});
  }
  std::sort(
      entries.begin(), entries.end(),
      [](const QuarantineEntry& a, const QuarantineEntry& b) {
        return std::tie(a.fingerprint.account.value(), a.fingerprint.hash) <
               std::tie(b.fingerprint.account.value(), b.fingerprint.hash);
      });
  return entries;
}

}  // namespace mangoport
