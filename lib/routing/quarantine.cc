#include "mangoport/routing/quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;

/// Reports of the same server's crash by several hosts are at most this far
/// apart.
constexpr Duration kSameCrashWindow = std::chrono::seconds(5);
/// This many server crashes within this time indicate the failure of a rack,
/// not a harmful request.
constexpr Duration kMassFailureWindow = std::chrono::seconds(3);
constexpr int kMassFailureCrashes = 3;
/// With this many crashes, a request involved in only one of them needs no
/// isolation.
constexpr int kLargeFailureCrashes = 5;
/// Crashes older than this are ignored.
constexpr Duration kEvidenceLifetime = std::chrono::hours(1);
/// Other hosts may report what else ran on the server until this long after the
/// crash.
constexpr Duration kReportWindow = std::chrono::seconds(1);
/// Duration of the first hold. It doubles with each further crash or similar
/// quarantined request, at most `kMaxHoldDoublings` times.
constexpr Duration kInitialHold = std::chrono::seconds(30);
constexpr std::uint32_t kMaxHoldDoublings = 5;
constexpr std::size_t kMaxCrashes = 4096;
constexpr std::size_t kMaxCleared = 4096;
/// From this many crashes on, an unproven request is held and a proven one is a
/// suspect.
constexpr std::uint32_t kRepeatedCrashes = 2;

WallTime FromMillis(std::int64_t ms) {
  return WallTime(milliseconds(ms));
}

Duration AbsDifference(WallTime a, WallTime b) {
  return a < b ? b - a : a - b;
}

WallTime After(WallTime time, Duration delay) {
  return time + std::chrono::duration_cast<WallTime::duration>(delay);
}

WallTime HoldEnd(WallTime last, std::uint32_t doublings) {
  return After(last,
               kInitialHold * (1 << std::min(doublings, kMaxHoldDoublings)));
}

WallTime EvidenceEnd(WallTime last) {
  // The minimum means never and is kept.
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

const QuarantineFold::Crash* QuarantineFold::FindCrash(
    std::uint64_t number) const {
  if (number < first_crash_)
    return nullptr;
  return &crashes_[number - first_crash_];
}

std::uint64_t QuarantineFold::FindOrAddCrash(const ServerId& server,
                                             WallTime at) {
  for (std::size_t i = crashes_.size(); i-- > 0;) {
    const Crash& it = crashes_[i];
    if (it.server == server && AbsDifference(it.at, at) <= kSameCrashWindow)
      return first_crash_ + i;
  }
  if (crashes_.size() >= kMaxCrashes)
    DropOldestCrash();
  crashes_.push_back(
      Crash{.server = server, .at = at, .unproven = {}, .proven = {}});
  return first_crash_ + crashes_.size() - 1;
}

void QuarantineFold::DropOldestCrash() {
  const auto remove_crash = [this](const Fingerprint& fingerprint) {
    const auto it = histories_.find(fingerprint);
    if (it == histories_.end())
      return;
    std::erase(it->second.crash_numbers, first_crash_);
    if (!it->second.crash_numbers.empty())
      return;
    std::erase(by_account_[fingerprint.account], fingerprint);
    if (by_account_[fingerprint.account].empty())
      by_account_.erase(fingerprint.account);
    histories_.erase(it);
  };
  for (const auto& [fingerprint, mode] : crashes_.front().unproven)
    remove_crash(fingerprint);
  for (const Fingerprint& it : crashes_.front().proven)
    remove_crash(it);
  crashes_.pop_front();
  ++first_crash_;
}

void QuarantineFold::MergeReport(const wire::CrashReport& report) {
  const std::uint64_t number = FindOrAddCrash(
      ServerId(report.server()), FromMillis(report.crashed_at_ms()));
  Crash& crash = crashes_[number - first_crash_];
  for (const wire::Suspect& it : report.suspects()) {
    Fingerprint fingerprint{AccountId(it.account()), it.fingerprint()};
    const auto [history, added] = histories_.try_emplace(fingerprint);
    if (added)
      by_account_[fingerprint.account].push_back(fingerprint);
    history->second.sketch = it.sketch();
    std::vector<std::uint64_t>& numbers = history->second.crash_numbers;
    if (std::find(numbers.begin(), numbers.end(), number) == numbers.end())
      numbers.push_back(number);
    if (it.proven() && !it.isolated()) {
      crash.proven.insert(std::move(fingerprint));
      continue;
    }
    const RunMode isolated_mode =
        it.proven() ? RunMode::kIsolatedProven : RunMode::kIsolated;
    RunMode& mode = crash.unproven[std::move(fingerprint)];
    mode = std::max(mode, it.isolated() ? isolated_mode : RunMode::kShared);
  }
}

void QuarantineFold::ApplyClaim(const wire::IsolationClaim& claim) {
  const WallTime at = FromMillis(claim.claimed_at_ms());
  std::erase_if(isolations_, [at](const ActiveIsolation& it) {
    return it.expires_at <= at;
  });
  ActiveIsolation requested{
      .fingerprint = {AccountId(claim.account()), claim.fingerprint()},
      .server = ServerId(claim.server()),
      .host = HostId(claim.host()),
      .number = claim.number(),
      .expires_at = FromMillis(claim.expires_at_ms())};
  const bool conflicts =
      std::any_of(isolations_.begin(), isolations_.end(),
                  [&requested](const ActiveIsolation& it) {
                    return it.server == requested.server ||
                           it.fingerprint == requested.fingerprint;
                  });
  if (!conflicts || MutantEnabled("claims_overlap"))
    isolations_.push_back(std::move(requested));
}

void QuarantineFold::ApplyEnd(const wire::IsolationEnd& end) {
  const HostId host(end.host());
  const auto is_ended = [&](const ActiveIsolation& it) {
    return it.host == host && it.number == end.number();
  };
  const bool held =
      std::any_of(isolations_.begin(), isolations_.end(), is_ended);
  std::erase_if(isolations_, is_ended);
  // Number zero means that the request completed without a claim.
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
  WallTime& cleared_at = cleared_[fingerprint];
  cleared_at = std::max(cleared_at, at);
}

WallTime QuarantineFold::ClearedAt(const Fingerprint& fingerprint) const {
  const auto it = cleared_.find(fingerprint);
  return it == cleared_.end() ? WallTime::min() : it->second;
}

int QuarantineFold::CountUnrelatedCrashes(
    const Crash& crash,
    const Fingerprint& fingerprint) const {
  int unrelated = 0;
  for (const Crash& it : crashes_) {
    const bool has_isolated_suspect = std::any_of(
        it.unproven.begin(), it.unproven.end(),
        [](const auto& suspect) { return suspect.second != RunMode::kShared; });
    if (has_isolated_suspect ||
        AbsDifference(it.at, crash.at) > kMassFailureWindow)
      continue;
    if (!it.unproven.contains(fingerprint) && !it.proven.contains(fingerprint))
      ++unrelated;
  }
  return unrelated;
}

std::size_t QuarantineFold::CountCrashes(WallTime now,
                                         const Fingerprint& fingerprint,
                                         const SuspectHistory& history) const {
  const WallTime cleared_at = ClearedAt(fingerprint);
  return std::count_if(history.crash_numbers.begin(),
                       history.crash_numbers.end(), [&](std::uint64_t number) {
                         const Crash* crash = FindCrash(number);
                         return crash != nullptr && crash->at > cleared_at &&
                                EvidenceEnd(crash->at) > now;
                       });
}

bool QuarantineFold::HasMoreLikelyCause(WallTime now,
                                        const Crash& crash,
                                        std::size_t count) const {
  const auto is_more_likely = [&](const Fingerprint& it) {
    const auto history = histories_.find(it);
    return history != histories_.end() &&
           CountCrashes(now, it, history->second) > count;
  };
  return std::any_of(
             crash.unproven.begin(), crash.unproven.end(),
             [&](const auto& it) { return is_more_likely(it.first); }) ||
         std::any_of(crash.proven.begin(), crash.proven.end(), is_more_likely);
}

QuarantineFold::CrashEvidence QuarantineFold::CollectEvidence(
    WallTime now,
    const Fingerprint& fingerprint,
    const SuspectHistory& history) const {
  CrashEvidence evidence;
  const WallTime cleared_at = ClearedAt(fingerprint);
  const std::size_t count = CountCrashes(now, fingerprint, history);
  for (const std::uint64_t number : history.crash_numbers) {
    const Crash* crash = FindCrash(number);
    if (crash == nullptr || crash->at <= cleared_at ||
        EvidenceEnd(crash->at) <= now)
      continue;
    evidence.last = std::max(evidence.last, crash->at);
    const auto it = crash->unproven.find(fingerprint);
    if (it == crash->unproven.end()) {
      ++evidence.proven;
      continue;
    }
    const int unrelated = CountUnrelatedCrashes(*crash, fingerprint);
    ++evidence.unproven;
    if (unrelated >= kLargeFailureCrashes - 1)
      ++evidence.in_large_failures;
    // An isolated request that had become proven is no more likely the cause
    // than any other proven request on the server.
    const bool is_only_candidate =
        (crash->unproven.size() == 1 &&
         (it->second == RunMode::kIsolated || crash->proven.empty())) ||
        MutantEnabled("company_convicts");
    if (it->second != RunMode::kShared && is_only_candidate &&
        unrelated < kMassFailureCrashes - 1 &&
        !HasMoreLikelyCause(now, *crash, count))
      evidence.confirmed = true;
  }
  return evidence;
}

Assessment QuarantineFold::Assess(WallTime now,
                                  const Fingerprint& fingerprint) const {
  const auto history = histories_.find(fingerprint);
  if (history == histories_.end())
    return Assessment{};
  const CrashEvidence evidence =
      CollectEvidence(now, fingerprint, history->second);
  // Only a suspect runs isolated, so this is not the first crash of the request
  // unless it is an edit of a quarantined request.
  if (evidence.confirmed) {
    const WallTime report_window_end = After(evidence.last, kReportWindow);
    if (now < report_window_end)
      return Assessment{.level = SuspicionLevel::kHeld,
                        .until = report_window_end};
    return Assessment{.level = SuspicionLevel::kQuarantined,
                      .until = EvidenceEnd(evidence.last)};
  }
  if (evidence.unproven >= kRepeatedCrashes) {
    if (MutantEnabled("counts_convict"))
      return Assessment{.level = SuspicionLevel::kQuarantined,
                        .until = EvidenceEnd(evidence.last)};
    const WallTime until =
        HoldEnd(evidence.last, evidence.unproven - kRepeatedCrashes);
    if (now < until)
      return Assessment{.level = SuspicionLevel::kHeld, .until = until};
  }
  if (evidence.unproven == 1 && evidence.in_large_failures == 1)
    return Assessment{};
  if (evidence.unproven >= 1 || evidence.proven >= kRepeatedCrashes)
    return Assessment{.level = SuspicionLevel::kSuspect,
                      .isolated_until_end = evidence.proven > 0};
  return Assessment{};
}

bool QuarantineFold::HasEvidence(WallTime now,
                                 const Fingerprint& fingerprint) const {
  const auto history = histories_.find(fingerprint);
  if (history == histories_.end())
    return false;
  const CrashEvidence evidence =
      CollectEvidence(now, fingerprint, history->second);
  return evidence.unproven + evidence.proven > 0;
}

bool QuarantineFold::NeedsAssessment(const AccountId& account) const {
  return by_account_.contains(account);
}

Assessment QuarantineFold::Assess(WallTime now,
                                  const Fingerprint& fingerprint,
                                  std::uint64_t sketch) const {
  const Assessment exact = Assess(now, fingerprint);
  if (exact.level != SuspicionLevel::kClear)
    return exact;
  if (EvidenceEnd(ClearedAt(fingerprint)) > now)
    return exact;
  const auto others = by_account_.find(fingerprint.account);
  if (others == by_account_.end())
    return exact;
  std::uint32_t similar_count = 0;
  WallTime last;
  for (const Fingerprint& it : others->second) {
    const SuspectHistory& history = histories_.at(it);
    if (!AreSimilar(history.sketch, sketch) ||
        Assess(now, it).level != SuspicionLevel::kQuarantined)
      continue;
    ++similar_count;
    last = std::max(last, CollectEvidence(now, it, history).last);
  }
  if (similar_count == 0)
    return exact;
  const WallTime until = HoldEnd(last, similar_count - 1);
  if (similar_count > 1 && now < until)
    return Assessment{.level = SuspicionLevel::kHeld, .until = until};
  return Assessment{.level = SuspicionLevel::kSuspect};
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
  for (const auto& [fingerprint, history] : histories_) {
    const Assessment assessment = Assess(now, fingerprint);
    if (assessment.level < SuspicionLevel::kHeld)
      continue;
    const CrashEvidence evidence = CollectEvidence(now, fingerprint, history);
    entries.push_back(
        {fingerprint, assessment, evidence.unproven + evidence.proven});
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
