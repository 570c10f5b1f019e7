#include "mangoport/routing/router.h"

#include <algorithm>
#include <string>
#include <utility>

#include "lib/routing/ring_hash.h"
#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

/// Random samples taken before a zone is searched linearly.
constexpr int kMaxSamples = 8;
/// Ring positions searched for an eligible server of a prefix.
constexpr std::size_t kRingSteps = 4;
/// The wait at a server whose prompts take twice its time: prompts are counted
/// over a second, half of which they have waited on average.
constexpr Duration kOveruseWait = std::chrono::milliseconds(500);
/// Weight of one finished request in the moving average of the service time.
constexpr double kServiceTimeGain = 0.05;
constexpr Duration kUnavailableRetryAfter = std::chrono::seconds(1);

Error NotRun(ErrorCode code, std::string message) {
  return Error{.code = code, .message = std::move(message), .not_run = true};
}

}  // namespace

Router::Router(RouterSettings settings)
    : settings_(settings),
      random_(settings.seed),
      service_time_(settings.initial_service_time),
      spill_(settings.zone_crossing_cost) {}

void Router::OnLeaving(MonoTime since, const ServerId& server) {
  const auto it = by_id_.find(server);
  if (it == by_id_.end())
    return;
  std::optional<MonoTime>& known = slots_[it->second].leaving_since;
  known = known ? std::max(*known, since) : since;
}

void Router::Hold(const ServerId& server, MonoTime until) {
  const auto it = by_id_.find(server);
  if (it == by_id_.end())
    return;
  MonoTime& known = slots_[it->second].spec.held_until;
  known = std::max(known, until);
}

void Router::Reserve(const ServerId& server, MonoTime until) {
  const auto it = by_id_.find(server);
  if (it == by_id_.end())
    return;
  MonoTime& known = slots_[it->second].reserved_until;
  known = std::max(known, until);
}

void Router::Unreserve(const ServerId& server) {
  const auto it = by_id_.find(server);
  if (it != by_id_.end())
    slots_[it->second].reserved_until = MonoTime();
}

void Router::OnReport(MonoTime /*now*/, const ServerReport& report) {
  const auto it = by_id_.find(report.server);
  if (it == by_id_.end())
    return;
  slots_[it->second].load.OnReport(report.measured_at,
                                   report.running + report.queued);
}

bool Router::IsExcluded(const RouteRequest& request, Slot slot) const {
  return std::find(request.excluded.begin(), request.excluded.end(),
                   slots_[slot].spec.id) != request.excluded.end();
}

bool Router::IsEligible(MonoTime now,
                        const RouteRequest& request,
                        Slot slot,
                        Pool pool) const {
  const BackendState& state = slots_[slot];
  if (state.leaving_since && !MutantEnabled("leaving_ignored"))
    return false;
  if (now < state.spec.held_until)
    return false;
  if (pool == Pool::kRegular && now < state.reserved_until)
    return false;
  if (pool != Pool::kWithEjected && !state.health.AcceptsRequest(now))
    return false;
  return !IsExcluded(request, slot);
}

double Router::SlotLoad(MonoTime now, Slot slot) const {
  const BackendState& state = slots_[slot];
  return state.load.At(now) / std::max<std::uint32_t>(state.spec.batch_size, 1);
}

double Router::RelativeLoad(MonoTime now, Slot slot) const {
  return std::max(SlotLoad(now, slot), slots_[slot].work.At(now));
}

std::optional<Router::Candidate> Router::SampleOne(MonoTime now,
                                                   const RouteRequest& request,
                                                   const Ring& ring,
                                                   Pool pool) {
  if (ring.empty())
    return std::nullopt;
  for (int i = 0; i < kMaxSamples; ++i) {
    const Slot slot = ring[random_() % ring.size()];
    if (IsEligible(now, request, slot, pool))
      return Candidate{slot, RelativeLoad(now, slot)};
  }
  const std::size_t start = random_() % ring.size();
  for (std::size_t i = 0; i < ring.size(); ++i) {
    const Slot slot = ring[(start + i) % ring.size()];
    if (IsEligible(now, request, slot, pool))
      return Candidate{slot, RelativeLoad(now, slot)};
  }
  return std::nullopt;
}

std::optional<Router::Candidate> Router::SampleTwo(MonoTime now,
                                                   const RouteRequest& request,
                                                   const Ring& ring,
                                                   Pool pool) {
  const std::optional<Candidate> first = SampleOne(now, request, ring, pool);
  if (!first)
    return std::nullopt;
  const std::optional<Candidate> second = SampleOne(now, request, ring, pool);
  return second->load < first->load ? second : first;
}

std::optional<Router::Candidate> Router::FindLeastOutstanding(
    MonoTime now,
    const RouteRequest& request,
    const Ring& ring,
    Pool pool) const {
  std::optional<Candidate> best;
  for (const Slot slot : ring) {
    if (!IsEligible(now, request, slot, pool))
      continue;
    const double load = slots_[slot].load.own_outstanding();
    if (!best || load < best->load)
      best = Candidate{slot, load};
  }
  return best;
}

std::optional<Router::Candidate> Router::FindPrefixServer(
    MonoTime now,
    const RouteRequest& request,
    const Ring& ring) const {
  if (request.prefix_hash == 0 || ring.empty())
    return std::nullopt;
  const std::uint64_t point = RingHash(request.prefix_hash);
  const auto from = std::lower_bound(ring.begin(), ring.end(), point,
                                     [this](Slot slot, std::uint64_t value) {
                                       return slots_[slot].ring_hash < value;
                                     });
  const std::size_t start = from - ring.begin();
  for (std::size_t i = 0; i < std::min(kRingSteps, ring.size()); ++i) {
    const Slot slot = ring[(start + i) % ring.size()];
    if (IsEligible(now, request, slot, Pool::kRegular))
      return Candidate{slot, RelativeLoad(now, slot)};
  }
  return std::nullopt;
}

Router::Candidate Router::PreferAffinity(MonoTime now,
                                         const RouteRequest& request,
                                         const Ring& ring,
                                         Candidate sampled) const {
  const auto is_within_slack = [&](const std::optional<Candidate>& it) {
    return it && it->load < settings_.spill_load &&
           it->load <= sampled.load + settings_.affinity_slack;
  };
  const std::optional<Candidate> cached = FindPrefixServer(now, request, ring);
  if (is_within_slack(cached))
    return *cached;
  const std::optional<Candidate> loaded = FindAdapterServer(now, request, ring);
  return is_within_slack(loaded) ? *loaded : sampled;
}

std::optional<Router::Candidate> Router::FindAdapterServer(
    MonoTime now,
    const RouteRequest& request,
    const Ring& ring) const {
  const auto holders = adapters_.find(request.adapter);
  if (ring.empty() || holders == adapters_.end())
    return std::nullopt;
  const ZoneId& zone = slots_[ring.front()].spec.zone;
  std::optional<Candidate> best;
  for (const Slot slot : holders->second) {
    const ServerSpec& spec = slots_[slot].spec;
    if (spec.zone != zone || !IsEligible(now, request, slot, Pool::kRegular) ||
        std::find(spec.models.begin(), spec.models.end(), request.model) ==
            spec.models.end())
      continue;
    const double load = RelativeLoad(now, slot);
    if (!best || load < best->load)
      best = Candidate{slot, load};
  }
  return best;
}

std::optional<Router::Candidate> Router::ChooseInZones(
    MonoTime now,
    const RouteRequest& request,
    ModelEntry& entry,
    Pool pool) {
  std::optional<Candidate> best;
  for (const ZoneRing& it : entry.zones) {
    if (it.zone != request.own_zone)
      continue;
    best = SampleTwo(now, request, it.ring, pool);
    if (best)
      best = PreferAffinity(now, request, it.ring, *best);
  }
  if (best && best->load < settings_.spill_load) {
    spill_.OnIdleHome(now);
    return best;
  }
  std::optional<Candidate> away = ChooseAway(now, request, entry, pool);
  if (!away)
    return best;
  away->zone_use = best ? ZoneUse::kShorterWait : ZoneUse::kNoneAtHome;
  if (!best)
    return away;
  std::uniform_real_distribution<> draw(0, 1);
  const ZoneChoice choice{
      .wait_at_home = TimeAt(now, request, best->slot),
      .wait_away = TimeAt(now, request, away->slot),
      .limit = QueueAdmission::LongestWait(CandidateFor(now, request))};
  return spill_.Leaves(now, choice, draw(random_)) ? away : best;
}

std::optional<Router::Candidate> Router::ChooseAway(MonoTime now,
                                                    const RouteRequest& request,
                                                    const ModelEntry& entry,
                                                    Pool pool) {
  std::optional<Candidate> best;
  for (const ZoneRing& it : entry.zones) {
    if (it.zone == request.own_zone)
      continue;
    const std::optional<Candidate> other =
        SampleTwo(now, request, it.ring, pool);
    if (other && (!best || other->load < best->load))
      best = PreferAffinity(now, request, it.ring, *other);
  }
  return best;
}

Duration Router::TimeAt(MonoTime now,
                        const RouteRequest& request,
                        Slot slot) const {
  const double overuse = std::max(slots_[slot].work.At(now) - 1, 0.0);
  return WaitAt(now, request, slot) +
         std::chrono::duration_cast<Duration>(kOveruseWait * overuse);
}

std::optional<Router::Candidate> Router::ChooseByBaseline(
    MonoTime now,
    const RouteRequest& request,
    ModelEntry& entry) {
  Ring all;
  for (const ZoneRing& it : entry.zones)
    all.insert(all.end(), it.ring.begin(), it.ring.end());
  if (settings_.policy == RoutingPolicy::kLeastOutstanding)
    return FindLeastOutstanding(now, request, all, Pool::kWithEjected);
  if (settings_.policy == RoutingPolicy::kRandom)
    return SampleOne(now, request, all, Pool::kWithEjected);
  for (std::size_t i = 0; i < all.size(); ++i) {
    const Slot slot = all[entry.next_turn++ % all.size()];
    if (IsEligible(now, request, slot, Pool::kWithEjected))
      return Candidate{slot, RelativeLoad(now, slot)};
  }
  return std::nullopt;
}

Duration Router::ExpectedWait(Slot slot, double relative_load) const {
  if (relative_load < 1.0)
    return Duration::zero();
  // The request waits for those ahead of it and for one more place.
  const double ahead =
      relative_load - 1.0 +
      1.0 / std::max<std::uint32_t>(slots_[slot].spec.batch_size, 1);
  return std::chrono::duration_cast<Duration>(service_time_ * ahead);
}

Duration Router::WaitAt(MonoTime now,
                        const RouteRequest& request,
                        Slot slot) const {
  return std::max(ExpectedWait(slot, SlotLoad(now, slot)),
                  slots_[slot].work.ObservedWait(now, request.urgency));
}

QueueCandidate Router::CandidateFor(MonoTime now,
                                    const RouteRequest& request) const {
  QueueCandidate out;
  out.urgency = request.urgency;
  if (request.deadline != MonoTime::max())
    out.patience = request.deadline - now;
  if (request.due == MonoTime::max())
    return out;
  out.objective = request.objective;
  out.time_left =
      request.due - now - (request.whole_answer ? service_time_ : Duration());
  return out;
}

Duration Router::UnavailableFor(MonoTime now, const ModelEntry& entry) const {
  std::optional<MonoTime> soonest;
  for (const ZoneRing& zone : entry.zones) {
    for (const Slot slot : zone.ring) {
      const BackendState& state = slots_[slot];
      if (state.leaving_since)
        continue;
      if (state.spec.held_until <= now)
        return kUnavailableRetryAfter;
      soonest =
          std::min(soonest.value_or(MonoTime::max()), state.spec.held_until);
    }
  }
  return soonest ? *soonest - now : kUnavailableRetryAfter;
}

RouteChoice Router::Choose(MonoTime now, const RouteRequest& request) {
  RouteChoice choice;
  const auto entry = models_.find(request.model);
  if (entry == models_.end()) {
    choice.refusal =
        NotRun(ErrorCode::kUnavailable,
               "no backend server holds model " + request.model.value());
    choice.retry_after = kUnavailableRetryAfter;
    return choice;
  }
  std::optional<Candidate> best;
  // An isolated request uses the least loaded sample of all zones.
  if (request.isolated) {
    for (const ZoneRing& it : entry->second.zones) {
      const auto sampled = SampleTwo(now, request, it.ring, Pool::kRegular);
      if (sampled && (!best || sampled->load < best->load))
        best = sampled;
    }
  } else if (settings_.policy != RoutingPolicy::kMangoport) {
    best = ChooseByBaseline(now, request, entry->second);
  } else {
    best = ChooseInZones(now, request, entry->second, Pool::kRegular);
    if (!best)
      best = ChooseInZones(now, request, entry->second, Pool::kWithReserved);
    // If all servers are ejected, the fault is most likely on this host, so all
    // of them become eligible again.
    if (!best && !MutantEnabled("ejection_empties_pool"))
      best = ChooseInZones(now, request, entry->second, Pool::kWithEjected);
  }
  if (!best) {
    choice.refusal =
        NotRun(ErrorCode::kUnavailable,
               "no backend server left for model " + request.model.value());
    choice.retry_after = UnavailableFor(now, entry->second);
    return choice;
  }
  choice.expected_wait = WaitAt(now, request, best->slot);
  const QueueDecision decision =
      settings_.policy == RoutingPolicy::kMangoport
          ? admission_.Decide(now, CandidateFor(now, request),
                              choice.expected_wait)
          : QueueDecision();
  if (decision.kind != QueueDecision::Kind::kAdmit) {
    choice.refusal = NotRun(ErrorCode::kOverloaded, "the queue is too long");
    // Requests that were refused together must not come back together.
    std::uniform_real_distribution<> spread(0.75, 1.5);
    choice.retry_after =
        std::chrono::duration_cast<Duration>(decision.time * spread(random_));
    if (decision.kind == QueueDecision::Kind::kHold)
      choice.hold_for = decision.time;
    return choice;
  }
  choice.server = slots_[best->slot].spec.id;
  choice.zone_use = best->zone_use;
  return choice;
}

bool Router::Accepts(MonoTime now,
                     const RouteRequest& request,
                     const ServerId& server) const {
  const auto it = by_id_.find(server);
  if (it == by_id_.end() || !slots_[it->second].listed)
    return false;
  const BackendState& state = slots_[it->second];
  return now >= state.reserved_until &&
         IsEligible(now, request, it->second, Pool::kWithEjected);
}

void Router::OnPeerWork(MonoTime now, const ServerId& server, double work) {
  const auto it = by_id_.find(server);
  if (it != by_id_.end())
    slots_[it->second].work.OnPeers(now, work);
}

double Router::OwnWork(MonoTime now, const ServerId& server) const {
  const BackendState* state = Find(server);
  return state == nullptr ? 0 : state->work.Own(now);
}

void Router::OnDispatched(MonoTime now,
                          const ServerId& server,
                          std::int64_t prompt_tokens) {
  const auto it = by_id_.find(server);
  if (it == by_id_.end())
    return;
  slots_[it->second].work.OnDispatched(now, PromptTime(prompt_tokens));
  slots_[it->second].load.OnDispatched(now);
  slots_[it->second].health.OnDispatched(now);
}

void Router::OnFirstToken(MonoTime now,
                          const ServerId& server,
                          std::int64_t prompt_tokens,
                          Duration time,
                          std::uint32_t urgency) {
  const auto it = by_id_.find(server);
  if (it == by_id_.end())
    return;
  slots_[it->second].health.OnProgress();
  prompt_rate_.OnFirstEvent(server, prompt_tokens, time);
  slots_[it->second].work.OnFirstEvent(now, urgency,
                                       time - PromptTime(prompt_tokens));
}

void Router::OnFinished(MonoTime now,
                        const ServerId& server,
                        AttemptOutcome outcome,
                        Duration ran_for) {
  const auto it = by_id_.find(server);
  if (it == by_id_.end())
    return;
  BackendState& state = slots_[it->second];
  state.load.OnFinished(now);
  state.health.OnOutcome(now, outcome);
  if (outcome == AttemptOutcome::kRefusedLeaving)
    OnLeaving(now, server);
  if (outcome == AttemptOutcome::kCompleted && ran_for > Duration::zero())
    service_time_ += std::chrono::duration_cast<Duration>(
        (ran_for - service_time_) * kServiceTimeGain);
}

bool Router::IsLeaving(const ServerId& server) const {
  const BackendState* state = Find(server);
  return state != nullptr && state->leaving_since.has_value();
}

const BackendState* Router::Find(const ServerId& server) const {
  const auto it = by_id_.find(server);
  return it == by_id_.end() ? nullptr : &slots_[it->second];
}

}  // namespace mangoport
