#include "mangoport/routing/part_suspects.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxCrashes = 128;
constexpr std::size_t kMaxPartsOfCrash = 512;
constexpr std::size_t kMaxRequestsOfPart = 4;
/// Two requests tell that not one alone is to blame.
constexpr std::size_t kMaxToldRequestsOfPart = 2;
constexpr std::size_t kMaxOwnLosses = 256;
constexpr std::size_t kMaxToldLosses = 128;
constexpr std::size_t kMaxToldStates = 128;
constexpr std::size_t kMaxAnswers = 8192;
constexpr std::size_t kMaxQuarantined = 1024;

/// Two crashes that both a suspect and no sound request was in.
constexpr std::uint32_t kSuspiciousCrashes = 2;

/// The evidence is judged at most this often, since many reports arrive at
/// once.
constexpr Duration kUpdateInterval = milliseconds(50);

/// A quarantine is told to others once all reports of its crashes must have
/// arrived here.
constexpr Duration kTellAfter = seconds(3);

/// A crash this long after the quarantine was caused by a probe. Earlier ones
/// are of requests that were on their way.
constexpr Duration kStragglers = seconds(10);

MonoTime Before(MonoTime now, Duration age) {
  return now - std::max(age, Duration::zero());
}

}  // namespace

std::vector<PartHash> SharedPartHashes(std::string_view parts) {
  std::vector<PartHash> out;
  while (true) {
    const std::size_t comma = parts.find(',');
    if (comma == std::string_view::npos)
      return out;
    std::string_view id = parts.substr(0, std::min(comma, parts.find(':')));
    parts.remove_prefix(comma + 1);
    id.remove_prefix(std::min(id.find_first_not_of(' '), id.size()));
    const PartHash hash = XXH64(id.data(), id.size(), 0);
    if (std::find(out.begin(), out.end(), hash) == out.end())
      out.push_back(hash);
  }
}

void PartSuspects::OnLost(MonoTime now,
                          const PartLoss& loss,
                          const std::vector<PartHash>& parts) {
  std::erase_if(own_losses_, [&](const OwnLoss& it) {
    return now - it.at > settings_.report_duration;
  });
  PartLoss out = loss;
  for (const PartHash it : parts) {
    out.part = it;
    AddLoss(now, out);
    AddOwnLoss(Before(now, loss.age), out);
  }
}

void PartSuspects::AddOwnLoss(MonoTime at, const PartLoss& loss) {
  // Many requests that share a part may be lost at once.
  std::size_t told = 0;
  for (OwnLoss& it : own_losses_) {
    if (it.loss.part != loss.part || it.loss.server != loss.server ||
        it.loss.server_started_at_ms != loss.server_started_at_ms)
      continue;
    it.loss.answered_for = std::max(it.loss.answered_for, loss.answered_for);
    ++told;
  }
  if (told >= kMaxToldRequestsOfPart)
    return;
  if (own_losses_.size() >= kMaxOwnLosses)
    own_losses_.pop_front();
  own_losses_.push_back({.loss = loss, .at = at});
}

void PartSuspects::OnPeerLoss(MonoTime now, const PartLoss& loss) {
  AddLoss(now, loss);
}

void PartSuspects::AddLoss(MonoTime now, const PartLoss& loss) {
  if (loss.age > settings_.evidence_lifetime)
    return;
  Crash& crash = FindOrAddCrash(now, loss);
  const MonoTime at = Before(now, loss.age);
  crash.at = std::min(crash.at, at);
  const auto known = crash.parts.find(loss.part);
  if (known == crash.parts.end() && crash.parts.size() >= kMaxPartsOfCrash)
    return;
  Lost& lost = crash.parts[loss.part];
  bool is_new = known == crash.parts.end();
  if (lost.requests.size() < kMaxRequestsOfPart)
    is_new |= lost.requests.insert(loss.fingerprint).second;
  if (loss.answered_for > lost.answered_for) {
    lost.answered_for = loss.answered_for;
    is_new = true;
  }
  if (is_new)
    UpdateBy(now);
}

PartSuspects::Crash& PartSuspects::FindOrAddCrash(MonoTime now,
                                                  const PartLoss& loss) {
  // Most reports are of recent crashes.
  const auto known =
      std::find_if(crashes_.rbegin(), crashes_.rend(), [&](const Crash& it) {
        return it.server_started_at_ms == loss.server_started_at_ms &&
               it.server == loss.server;
      });
  if (known != crashes_.rend())
    return *known;
  if (crashes_.size() >= kMaxCrashes)
    ForgetOldestCrash();
  Crash& crash = crashes_.emplace_back();
  crash.server = loss.server;
  crash.server_started_at_ms = loss.server_started_at_ms;
  crash.at = Before(now, loss.age);
  crash.heard_at = now;
  return crash;
}

void PartSuspects::ForgetOldestCrash() {
  for (const auto& [part, lost] : crashes_.front().parts) {
    const auto held = quarantined_.find(part);
    if (held != quarantined_.end())
      held->second.first_crash.reset();
  }
  crashes_.pop_front();
}

void PartSuspects::OnPeerState(MonoTime now, const PartState& state) {
  for (std::size_t it = 0; it < kAnswerGrades; ++it) {
    if (state.grade_ages[it])
      NoteAnswer(Before(now, *state.grade_ages[it]), state.part,
                 static_cast<AnswerGrade>(it));
  }
  if (state.crashes == 0 || quarantined_.size() >= kMaxQuarantined)
    return;
  const MonoTime last = Before(now, state.crash_age);
  const auto sound = SoundAt(state.part);
  if ((sound && *sound > last) || IsExplained(state.part))
    return;
  const auto [it, added] = quarantined_.try_emplace(state.part);
  Quarantine& quarantine = it->second;
  quarantine.crashes = std::max(quarantine.crashes, state.crashes);
  quarantine.probes.failed = std::max(quarantine.probes.failed, state.probes);
  quarantine.probes.last_crash = std::max(quarantine.probes.last_crash, last);
  if (!added)
    return;
  quarantine.since = last;
  Decide(now, PartDecision::Kind::kQuarantined, state.part,
         {.crashes = state.crashes, .first = last, .last = last});
}

void PartSuspects::OnAnswer(MonoTime now,
                            const std::vector<PartHash>& parts,
                            AnswerGrade grade) {
  for (const PartHash it : parts)
    NoteAnswer(now, it, grade);
}

void PartSuspects::NoteAnswer(MonoTime at, PartHash part, AnswerGrade grade) {
  if (!answers_.contains(part) && answers_.size() >= kMaxAnswers) {
    std::erase_if(answers_, [&](const auto& it) {
      const auto last = it.second.Last(AnswerGrade::kOneSecond);
      return at - *last > settings_.evidence_lifetime;
    });
    // With as many parts as that, the oldest evidence is as good as any.
    if (answers_.size() >= kMaxAnswers)
      answers_.erase(answers_.begin());
  }
  answers_[part].Note(at, grade);
  const auto held = quarantined_.find(part);
  // An answer between the crashes may leave too few to convict the part.
  if (suspects_.contains(part) || held != quarantined_.end())
    UpdateBy(at);
  if (held != quarantined_.end() && RefutesAll(grade) &&
      at > held->second.probes.last_crash)
    Release(at, part);
}

std::optional<MonoTime> PartSuspects::AnsweredAt(PartHash part,
                                                 AnswerGrade grade) const {
  const auto it = answers_.find(part);
  if (it == answers_.end())
    return std::nullopt;
  return it->second.Last(grade);
}

std::optional<MonoTime> PartSuspects::SoundAt(PartHash part) const {
  return AnsweredAt(part, AnswerGrade::kEightSeconds);
}

bool PartSuspects::SoundRecently(MonoTime now, PartHash part) const {
  const auto sound = SoundAt(part);
  return sound && now - *sound <= settings_.evidence_lifetime;
}

bool PartSuspects::IsRefuted(PartHash part,
                             Duration answered_for,
                             MonoTime at) const {
  const auto grade = RefutingGrade(answered_for);
  if (!grade)
    return true;
  const auto answered = AnsweredAt(part, *grade);
  return answered && *answered > at;
}

bool PartSuspects::Blames(const Crash& crash, PartHash part) {
  const auto it = crash.parts.find(part);
  return it != crash.parts.end() && it->second.answered_for <= kAnswerTrial;
}

bool PartSuspects::IsExplained(PartHash part) const {
  bool blamed = false;
  for (const Crash& crash : crashes_) {
    if (!Blames(crash, part))
      continue;
    blamed = true;
    if (std::none_of(
            crash.parts.begin(), crash.parts.end(), [&](const auto& it) {
              return it.first != part && quarantined_.contains(it.first) &&
                     Blames(crash, it.first);
            }))
      return false;
  }
  return blamed;
}

bool PartSuspects::IsFinal(MonoTime now, const Quarantine& quarantine) const {
  return !quarantine.first_crash || quarantine.probes.failed > 0 ||
         now - *quarantine.first_crash > settings_.evidence_lifetime / 2;
}

void PartSuspects::UpdateBy(MonoTime now) {
  update_due_ =
      std::min(update_due_, std::max(now, updated_at_ + kUpdateInterval));
}

void PartSuspects::RemoveExpired(MonoTime now) {
  std::erase_if(crashes_, [&](const Crash& it) {
    return now - it.at > settings_.evidence_lifetime;
  });
}

PartSuspects::Tallies PartSuspects::CountCrashes(
    MonoTime now,
    const std::set<PartHash>& explaining,
    Duration settled_for) const {
  Tallies out;
  for (const Crash& crash : crashes_) {
    if (now - crash.heard_at < settled_for ||
        std::any_of(explaining.begin(), explaining.end(),
                    [&](PartHash it) { return Blames(crash, it); }))
      continue;
    for (const auto& [part, lost] : crash.parts) {
      if (IsRefuted(part, lost.answered_for, crash.at))
        continue;
      Tally& tally = out[part];
      tally.first =
          tally.crashes == 0 ? crash.at : std::min(tally.first, crash.at);
      tally.last = std::max(tally.last, crash.at);
      ++tally.crashes;
      tally.servers.insert(crash.server);
      tally.requests.insert(lost.requests.begin(), lost.requests.end());
    }
  }
  return out;
}

bool PartSuspects::Convicts(MonoTime now,
                            PartHash part,
                            const Tally& tally) const {
  std::uint32_t least = SoundRecently(now, part)
                            ? settings_.min_crashes_once_sound
                            : settings_.min_crashes;
  // One server that crashes again and again may itself be at fault.
  if (tally.servers.size() < 2)
    least = std::max(least, settings_.min_crashes_of_one_server);
  return tally.crashes >= least &&
         tally.requests.size() >= settings_.min_requests &&
         tally.last - tally.first >= settings_.min_span;
}

std::set<PartHash> PartSuspects::FindCulprits(MonoTime now,
                                              const Tallies& tallies) const {
  // A part that sound requests carried a while ago is convicted only for what
  // parts without any sound request don't explain.
  std::set<PartHash> out;
  std::pair<bool, std::uint32_t> most;
  for (const auto& [part, tally] : tallies) {
    if (!Convicts(now, part, tally))
      continue;
    const std::pair<bool, std::uint32_t> rank(!SoundRecently(now, part),
                                              tally.crashes);
    if (out.empty() || rank > most) {
      out.clear();
      most = rank;
    }
    if (rank == most)
      out.insert(part);
  }
  return out;
}

void PartSuspects::Update(MonoTime now) {
  if (now < update_due_)
    return;
  updated_at_ = now;
  RemoveExpired(now);
  std::set<PartHash> explaining;
  for (const auto& [part, it] : quarantined_) {
    if (IsFinal(now, it))
      explaining.insert(part);
  }
  Tallies culprits;
  while (true) {
    const Tallies tallies =
        CountCrashes(now, explaining, settings_.settle_time);
    const std::set<PartHash> found = FindCulprits(now, tallies);
    if (found.empty())
      break;
    for (const PartHash it : found) {
      culprits[it] = tallies.at(it);
      explaining.insert(it);
    }
  }
  SetQuarantined(now, culprits);
  SetSuspects(now, explaining);
  // Crashes that have not settled yet will count then.
  update_due_ = MonoTime::max();
  for (const Crash& it : crashes_) {
    const MonoTime settled = it.heard_at + settings_.settle_time;
    if (settled > now)
      update_due_ = std::min(update_due_, settled);
  }
}

void PartSuspects::SetQuarantined(MonoTime now, const Tallies& culprits) {
  std::vector<PartHash> explained;
  for (auto& [part, it] : quarantined_) {
    for (const Crash& crash : crashes_) {
      if (!Blames(crash, part) || crash.at <= it.probes.last_crash)
        continue;
      it.probes.last_crash = crash.at;
      ++it.crashes;
      if (crash.at > it.since + kStragglers)
        ++it.probes.failed;
    }
    if (!culprits.contains(part) && !IsFinal(now, it))
      explained.push_back(part);
  }
  for (const PartHash it : explained)
    Release(now, it);
  for (const auto& [part, tally] : culprits) {
    if (quarantined_.size() >= kMaxQuarantined)
      return;
    const auto [it, added] = quarantined_.try_emplace(part);
    if (!added)
      continue;
    it->second.crashes = tally.crashes;
    it->second.since = now;
    it->second.first_crash = tally.first;
    it->second.probes.last_crash = tally.last;
    Decide(now, PartDecision::Kind::kQuarantined, part, tally);
  }
}

void PartSuspects::SetSuspects(MonoTime now,
                               const std::set<PartHash>& culprits) {
  std::set<PartHash> suspects;
  for (const auto& [part, tally] :
       CountCrashes(now, culprits, Duration::zero())) {
    if (tally.crashes < kSuspiciousCrashes ||
        tally.requests.size() < settings_.min_requests ||
        SoundRecently(now, part))
      continue;
    suspects.insert(part);
    if (!suspects_.contains(part))
      Decide(now, PartDecision::Kind::kSuspected, part, tally);
  }
  suspects_ = std::move(suspects);
}

void PartSuspects::Release(MonoTime now, PartHash part) {
  const auto it = quarantined_.find(part);
  Decide(now, PartDecision::Kind::kReleased, part,
         {.crashes = it->second.crashes,
          .first = it->second.probes.last_crash,
          .last = it->second.probes.last_crash});
  quarantined_.erase(it);
}

void PartSuspects::Decide(MonoTime now,
                          PartDecision::Kind kind,
                          PartHash part,
                          const Tally& tally) const {
  if (!on_decision_)
    return;
  const auto sound = SoundAt(part);
  on_decision_({.kind = kind,
                .part = part,
                .crashes = tally.crashes,
                .requests = static_cast<std::uint32_t>(tally.requests.size()),
                .first_crash_age = now - tally.first,
                .last_crash_age = now - tally.last,
                .sound_age = sound ? now - *sound : milliseconds(-1)});
}

std::optional<Duration> PartSuspects::HoldLeft(MonoTime now,
                                               Quarantine& quarantine) {
  const auto left = schedule_.HoldLeft(now, quarantine.probes);
  if (!left)
    quarantine.probes.sent_at = now;
  return left;
}

std::optional<Duration> PartSuspects::Refusal(
    MonoTime now,
    const std::vector<PartHash>& parts,
    bool repeat) {
  Update(now);
  for (const PartHash it : parts) {
    const auto quarantine = quarantined_.find(it);
    if (quarantine != quarantined_.end()) {
      if (const auto left = HoldLeft(now, quarantine->second))
        return left;
    }
    if (repeat && suspects_.contains(it))
      return settings_.settle_time;
  }
  return std::nullopt;
}

bool PartSuspects::IsQuarantined(MonoTime now, PartHash part) {
  Update(now);
  return quarantined_.contains(part);
}

std::vector<PartLoss> PartSuspects::RecentLosses(MonoTime now) const {
  std::vector<PartLoss> out;
  for (auto it = own_losses_.rbegin();
       it != own_losses_.rend() && out.size() < kMaxToldLosses; ++it) {
    const PartLoss& loss = it->loss;
    const bool is_refuted = loss.answered_for <= kAnswerTrial &&
                            IsRefuted(loss.part, loss.answered_for, it->at);
    if (now - it->at > settings_.report_duration || is_refuted)
      continue;
    out.push_back(it->loss);
    out.back().age = now - it->at;
  }
  return out;
}

std::vector<PartState> PartSuspects::States(MonoTime now) {
  Update(now);
  std::vector<PartState> out;
  for (const auto& [part, it] : quarantined_) {
    if (now - it.since >= kTellAfter && out.size() < kMaxToldStates)
      out.push_back({.part = part,
                     .crashes = it.crashes,
                     .crash_age = now - it.probes.last_crash,
                     .probes = it.probes.failed});
  }
  // Parts that other hosts may blame, although they are answered here.
  std::set<PartHash> told;
  for (auto crash = crashes_.rbegin(); crash != crashes_.rend(); ++crash) {
    if (now - crash->at > settings_.report_duration)
      continue;
    for (const auto& [part, lost] : crash->parts) {
      if (MutantEnabled("answers_not_told"))
        continue;
      if (answers_.contains(part) && out.size() < kMaxToldStates &&
          told.insert(part).second)
        out.push_back(AnswersOf(now, part));
    }
  }
  return out;
}

PartState PartSuspects::AnswersOf(MonoTime now, PartHash part) const {
  PartState out{.part = part};
  for (std::size_t it = 0; it < kAnswerGrades; ++it) {
    if (const auto at = AnsweredAt(part, static_cast<AnswerGrade>(it)))
      out.grade_ages[it] = now - *at;
  }
  return out;
}

}  // namespace mangoport
