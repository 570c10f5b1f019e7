#include "mangoport/routing/crash_suspects.h"

#include <algorithm>
#include <set>

#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

/// Crashes of one suspect that are told apart, more than convict it.
constexpr std::size_t kMaxCrashes = 8;
constexpr std::size_t kMaxLocalSuspicions = 256;
/// A datagram's part with as many of both stays within 16 KB (crash_wire_test).
constexpr std::size_t kMaxTold = 128;
constexpr std::size_t kMaxToldStates = 64;
/// The age of a report doesn't hold the time that it was under way: the most
/// that the soft state reckons with (its `kMaxDatagramDelay`).
constexpr Duration kReportDelay = std::chrono::milliseconds(1500);

MonoTime Before(MonoTime now, Duration age) {
  return now - std::max(age, Duration::zero());
}

}  // namespace

std::uint32_t CrashSuspects::OnServerLost(MonoTime now,
                                          const CrashSuspicion& suspicion) {
  std::erase_if(local_suspicions_, [&](const LocalSuspicion& it) {
    return now - it.at > settings_.report_duration;
  });
  if (local_suspicions_.size() >= kMaxLocalSuspicions)
    local_suspicions_.pop_front();
  local_suspicions_.push_back(
      {.suspicion = suspicion, .at = Before(now, suspicion.age)});
  return AddSuspicion(now, suspicion);
}

void CrashSuspects::OnPeerServerLost(MonoTime now,
                                     const CrashSuspicion& suspicion) {
  AddSuspicion(now, suspicion);
}

std::uint32_t CrashSuspects::AddSuspicion(MonoTime now,
                                          const CrashSuspicion& suspicion) {
  const MonoTime at = Before(now, suspicion.age);
  Suspect& suspect = FindOrAdd(now, suspicion.fingerprint);
  if (suspect.answered_at && at <= *suspect.answered_at + kReportDelay)
    return suspect.crash_count;
  if (!suspect.quarantined_at &&
      at - suspect.probes.last_crash > settings_.suspicion_lifetime) {
    suspect.crashes.clear();
    suspect.crash_count = 0;
  }
  const Crash crash{.server = suspicion.server,
                    .server_started_at_ms = suspicion.server_started_at_ms};
  if (std::find(suspect.crashes.begin(), suspect.crashes.end(), crash) !=
      suspect.crashes.end())
    return suspect.crash_count;
  if (suspect.crashes.size() >= kMaxCrashes)
    suspect.crashes.pop_front();
  suspect.crashes.push_back(crash);
  const bool is_straggler =
      at <= suspect.probes.last_crash + settings_.straggler_time;
  if (suspect.quarantined_at && MutantEnabled("failed_probe_ignored"))
    return suspect.crash_count;
  suspect.probes.last_crash = std::max(suspect.probes.last_crash, at);
  if (!suspect.quarantined_at || !is_straggler)
    ++suspect.crash_count;
  if (suspect.quarantined_at && !is_straggler)
    ++suspect.probes.failed;
  if (!suspect.quarantined_at && Convicts(suspect)) {
    suspect.quarantined_at = at;
    Decide(now, RequestDecision::Kind::kQuarantined, suspicion.fingerprint,
           suspect);
  }
  return suspect.crash_count;
}

void CrashSuspects::OnPeerState(MonoTime now, const RequestState& state) {
  if (state.answered_age) {
    const auto known = suspects_.find(state.fingerprint);
    const MonoTime at = Before(now, *state.answered_age);
    if (known != suspects_.end() && at > known->second.probes.last_crash)
      NoteAnswered(now, at, *known);
    return;
  }
  if (state.crashes == 0)
    return;
  const MonoTime at = Before(now, state.crash_age);
  Suspect& suspect = FindOrAdd(now, state.fingerprint);
  if (suspect.answered_at && at <= *suspect.answered_at + kReportDelay)
    return;
  const bool is_new = !suspect.quarantined_at;
  ProbeHistory& probes = suspect.probes;
  probes.last_crash = is_new ? at : std::max(probes.last_crash, at);
  probes.failed = std::max(probes.failed, state.probes);
  suspect.crash_count = std::max(suspect.crash_count, state.crashes);
  if (!is_new)
    return;
  suspect.quarantined_at = at;
  Decide(now, RequestDecision::Kind::kQuarantined, state.fingerprint, suspect);
}

CrashSuspects::Suspect& CrashSuspects::FindOrAdd(MonoTime now,
                                                 std::uint64_t fingerprint) {
  const auto known = suspects_.find(fingerprint);
  if (known != suspects_.end())
    return known->second;
  if (suspects_.size() >= settings_.max_suspects)
    MakeRoom(now);
  Suspect& out = suspects_[fingerprint];
  out.probes.last_crash = now;
  return out;
}

bool CrashSuspects::IsExpired(MonoTime now, const Suspect& suspect) const {
  if (suspect.quarantined_at && !MutantEnabled("deadly_request_forgotten"))
    return false;
  const MonoTime newest =
      std::max(suspect.probes.last_crash,
               suspect.answered_at.value_or(suspect.probes.last_crash));
  return now - newest > settings_.suspicion_lifetime;
}

void CrashSuspects::MakeRoom(MonoTime now) {
  std::erase_if(suspects_,
                [&](const auto& it) { return IsExpired(now, it.second); });
  if (suspects_.size() < settings_.max_suspects)
    return;
  const auto rank = [](const Suspects::value_type& it) {
    return std::pair(it.second.quarantined_at.has_value(),
                     it.second.probes.last_crash);
  };
  suspects_.erase(std::min_element(
      suspects_.begin(), suspects_.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); }));
}

bool CrashSuspects::Convicts(const Suspect& suspect) const {
  std::set<ServerId> servers;
  for (const Crash& it : suspect.crashes)
    servers.insert(it.server);
  return servers.size() >= settings_.min_servers ||
         suspect.crashes.size() >= settings_.min_starts_of_one_server;
}

void CrashSuspects::OnAnswered(MonoTime now, std::uint64_t fingerprint) {
  const auto known = suspects_.find(fingerprint);
  if (known != suspects_.end())
    NoteAnswered(now, now, *known);
}

void CrashSuspects::NoteAnswered(MonoTime now,
                                 MonoTime at,
                                 Suspects::value_type& known) {
  if (MutantEnabled("answer_clears_nothing"))
    return;
  auto& [fingerprint, suspect] = known;
  if (suspect.quarantined_at)
    Decide(now, RequestDecision::Kind::kReleased, fingerprint, suspect);
  suspect = Suspect();
  suspect.answered_at = at;
  suspect.probes.last_crash = at;
}

std::optional<Duration> CrashSuspects::Refusal(MonoTime now,
                                               std::uint64_t fingerprint) {
  const auto known = suspects_.find(fingerprint);
  if (known == suspects_.end() || !known->second.quarantined_at)
    return std::nullopt;
  Suspect& suspect = known->second;
  if (MutantEnabled("deadly_request_forgotten") && IsExpired(now, suspect)) {
    suspects_.erase(known);
    return std::nullopt;
  }
  std::optional<Duration> left = schedule_.HoldLeft(now, suspect.probes);
  if (suspect.probes.failed >= settings_.max_probes)
    left = std::max(left.value_or(Duration::zero()), ProbeSchedule::kLastHold);
  if (left)
    return left;
  suspect.probes.sent_at = now;
  Decide(now, RequestDecision::Kind::kProbed, fingerprint, suspect);
  return std::nullopt;
}

bool CrashSuspects::IsQuarantined(std::uint64_t fingerprint) const {
  const auto it = suspects_.find(fingerprint);
  return it != suspects_.end() && it->second.quarantined_at;
}

void CrashSuspects::Decide(MonoTime now,
                           RequestDecision::Kind kind,
                           std::uint64_t fingerprint,
                           const Suspect& suspect) const {
  if (!on_decision_)
    return;
  on_decision_({.kind = kind,
                .fingerprint = fingerprint,
                .crashes = suspect.crash_count,
                .probes = suspect.probes.failed,
                .last_crash_age = now - suspect.probes.last_crash});
}

std::vector<CrashSuspicion> CrashSuspects::Recent(MonoTime now) const {
  std::vector<CrashSuspicion> out;
  for (auto it = local_suspicions_.rbegin();
       it != local_suspicions_.rend() && out.size() < kMaxTold; ++it) {
    if (now - it->at > settings_.report_duration)
      continue;
    out.push_back(it->suspicion);
    out.back().age = now - it->at;
  }
  return out;
}

std::vector<RequestState> CrashSuspects::States(MonoTime now) {
  std::vector<RequestState> out;
  auto it = suspects_.upper_bound(told_);
  for (std::size_t seen = 0;
       seen < suspects_.size() && out.size() < kMaxToldStates; ++seen, ++it) {
    if (it == suspects_.end())
      it = suspects_.begin();
    const auto& [fingerprint, suspect] = *it;
    told_ = fingerprint;
    if (suspect.quarantined_at && !MutantEnabled("deadly_request_not_told")) {
      out.push_back({.fingerprint = fingerprint,
                     .crashes = suspect.crash_count,
                     .crash_age = now - suspect.probes.last_crash,
                     .probes = suspect.probes.failed});
    } else if (suspect.answered_at &&
               now - *suspect.answered_at <= settings_.report_duration) {
      out.push_back({.fingerprint = fingerprint,
                     .answered_age = now - *suspect.answered_at});
    }
  }
  return out;
}

}  // namespace mangoport
