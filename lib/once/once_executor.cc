#include "mangoport/once/once_executor.h"

#include <algorithm>
#include <utility>

#include "lib/once/wall_time.h"
#include "mangoport/core/invariant.h"
#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

bool IsFinal(const ClaimState& state) {
  return state.phase == ClaimPhase::kDone ||
         state.phase == ClaimPhase::kUnknown;
}

bool FingerprintsDiffer(const RequestFingerprint& left,
                        const RequestFingerprint& right) {
  return left != right && !MutantEnabled("conflict_ignored");
}

}  // namespace

OnceExecutor::OnceExecutor(WriterId self, const OnceSettings& settings)
    : settings_(settings), writer_(std::move(self)), fold_(settings.fold) {}

std::vector<OnceAction> OnceExecutor::TakeActions() {
  return std::exchange(actions_, {});
}

// --- Requests

void OnceExecutor::OnRequest(MonoTime now,
                             WallTime wall,
                             const OnceRequest& request) {
  if (IsKeyOutOfDate(wall, request)) {
    Answer(request.id, OnceAnswerKind::kKeyOutOfDate);
    return;
  }
  const ClaimState* state = fold_.Find(request.key);
  if (AnswerImmediately(request, state))
    return;
  const std::uint32_t generation = state ? state->generation : 0;
  OpenKey& open = open_[request.key];
  open.waiters.push_back(
      {request.id, request.body, generation,
       std::min(request.deadline, now + settings_.max_wait),
       std::min(request.deadline, now + settings_.claim_wait)});
  const bool free = !state || state->phase == ClaimPhase::kFree;
  if (free && open.phase == Phase::kFollowing)
    StartClaim(now, request, generation, &open);
}

bool OnceExecutor::IsKeyOutOfDate(WallTime wall,
                                  const OnceRequest& request) const {
  if (!request.key_created || MutantEnabled("key_age_not_checked"))
    return false;
  const WallTime created = *request.key_created;
  return created + ToWall(settings_.max_key_age) < wall ||
         created > wall + ToWall(settings_.max_clock_skew);
}

bool OnceExecutor::AnswerImmediately(const OnceRequest& request,
                                     const ClaimState* state) {
  if (!state)
    return false;
  const Waiter waiter{request.id, request.body, state->generation, {}, {}};
  const std::optional<OnceAnswerKind> kind = AnswerKindFromLog(*state, waiter);
  if (!kind)
    return false;
  Answer(request.id, *kind, state->status, state->response);
  return true;
}

void OnceExecutor::StartClaim(MonoTime now,
                              const OnceRequest& request,
                              std::uint32_t generation,
                              OpenKey* open) {
  open->phase = Phase::kClaiming;
  open->generation = generation;
  open->body = request.body;
  open->key_created_s =
      request.key_created ? UnixSeconds(*request.key_created) : 0;
  open->resend_after = now;
  Enqueue(request.key, open);
}

// --- Log entries

void OnceExecutor::OnPage(MonoTime now, const LogPage& page) {
  if (!page.ok)
    return;
  const bool was_complete = fold_.complete();
  fold_.NoteFirstRetained(page.first_retained);
  if (!fold_.complete())
    carry_.reset();
  for (const LogEntry& it : page.entries)
    fold_.ReadEntry(it.offset, it.payload, [this, now](const ClaimKey& key) {
      OnKeyChanged(now, key);
    });
  if (fold_.complete() && !was_complete)
    OnBecameComplete(now);
}

// While the fold was incomplete, a claim that appeared to be the first may have
// been a later one, so the executor did not act on any claim. Checks them now.
void OnceExecutor::OnBecameComplete(MonoTime now) {
  std::vector<ClaimKey> keys = fold_.ClaimedBy(writer_.writer());
  for (const auto& it : open_)
    keys.push_back(it.first);
  for (const ClaimKey& it : keys)
    OnKeyChanged(now, it);
}

bool OnceExecutor::HoldsClaim(const ClaimState& state) const {
  return state.phase == ClaimPhase::kClaimed &&
         fold_.HolderOf(state) == writer_.writer();
}

void OnceExecutor::OnKeyChanged(MonoTime now, const ClaimKey& key) {
  const ClaimState* state = fold_.Find(key);
  if (!state)
    return;
  if (fold_.complete() && HoldsClaim(*state))
    OnClaimWon(now, key, *state);
  const auto it = open_.find(key);
  if (it == open_.end())
    return;
  OpenKey& open = it->second;
  AnswerFromLog(*state, &open);
  const bool settled = IsFinal(*state) || state->generation > open.generation;
  const bool lost = state->phase == ClaimPhase::kClaimed && !HoldsClaim(*state);
  if (open.phase == Phase::kResolved && settled)
    open.phase = Phase::kFollowing;
  if (open.phase == Phase::kClaiming && (settled || lost))
    open.phase = Phase::kFollowing;
  if (MutantEnabled("generation_not_checked") &&
      open.phase == Phase::kFollowing && state->phase == ClaimPhase::kFree) {
    open.phase = Phase::kClaiming;
    open.generation = state->generation;
    open.body = open.waiters.empty() ? open.body : open.waiters.front().body;
    Enqueue(key, &open);
  }
  if (IsIdle(open))
    open_.erase(it);
}

// Dispatches the first waiter whose deadline has not passed. Releases the claim
// if there is none.
void OnceExecutor::OnClaimWon(MonoTime now,
                              const ClaimKey& key,
                              const ClaimState& state) {
  OpenKey& open = open_[key];
  if (open.phase == Phase::kDispatched || open.phase == Phase::kResolved)
    return;
  open.generation = state.generation;
  open.body = state.body;
  open.key_created_s = state.key_created_s;
  AnswerFromLog(state, &open);
  const auto live_waiter = std::find_if(
      open.waiters.begin(), open.waiters.end(), [now](const Waiter& it) {
        return it.deadline > now || MutantEnabled("deadline_not_checked");
      });
  if (live_waiter == open.waiters.end()) {
    Resolve(now, key, &open, wire::OUTCOME_KIND_RELEASED);
    return;
  }
  Dispatch(key, &open, *live_waiter);
}

void OnceExecutor::Dispatch(const ClaimKey& key,
                            OpenKey* open,
                            const Waiter& waiter) {
  const ClaimState* state = fold_.Find(key);
  CheckInvariant(state && HoldsClaim(*state) && fold_.complete(),
                 "only the holder of a claim dispatches",
                 [&] { return "request " + waiter.id.value(); });
  CheckInvariant(
      open->phase == Phase::kClaiming || open->phase == Phase::kFollowing,
      "a claim is dispatched once",
      [&] { return "request " + waiter.id.value(); });
  open->phase = Phase::kDispatched;
  actions_.emplace_back(DispatchAction{waiter.id, key, open->generation});
}

std::optional<OnceAnswerKind> OnceExecutor::AnswerKindFromLog(
    const ClaimState& state,
    const Waiter& waiter) const {
  const bool differs = FingerprintsDiffer(state.body, waiter.body);
  if (IsFinal(state)) {
    if (differs)
      return OnceAnswerKind::kConflict;
    if (state.phase == ClaimPhase::kUnknown)
      return OnceAnswerKind::kUnknown;
    return state.response ? OnceAnswerKind::kDone
                          : OnceAnswerKind::kDoneWithoutBody;
  }
  // The key was released after the request arrived. Its next generation may
  // already be claimed in entries that this host has not read. This host can't
  // tell whether a request with the key ran, and must not dispatch this request
  // in the next generation.
  if (waiter.generation < state.generation)
    return MutantEnabled("release_read_as_not_run")
               ? OnceAnswerKind::kNotRun
               : OnceAnswerKind::kNotDispatched;
  if (state.phase == ClaimPhase::kClaimed && differs && fold_.complete())
    return OnceAnswerKind::kConflict;
  return std::nullopt;
}

void OnceExecutor::AnswerFromLog(const ClaimState& state, OpenKey* open) {
  if (MutantEnabled("generation_not_checked"))
    for (Waiter& it : open->waiters)
      it.generation = state.generation;
  std::erase_if(open->waiters, [&](const Waiter& it) {
    const std::optional<OnceAnswerKind> kind = AnswerKindFromLog(state, it);
    if (!kind)
      return false;
    Answer(it.id, *kind, state.status, state.response);
    return true;
  });
}

// --- Outcomes

void OnceExecutor::OnDispatchResult(MonoTime now,
                                    const ClaimKey& key,
                                    const DispatchResult& result) {
  const auto it = open_.find(key);
  if (it == open_.end() || it->second.phase != Phase::kDispatched)
    return;
  OpenKey& open = it->second;
  if (result.kind == DispatchResult::Kind::kDone) {
    open.response = std::make_shared<const RecordedResponse>(result.response);
    Resolve(now, key, &open, wire::OUTCOME_KIND_DONE);
    return;
  }
  if (result.kind == DispatchResult::Kind::kNotSent ||
      MutantEnabled("unknown_said_not_run")) {
    Resolve(now, key, &open, wire::OUTCOME_KIND_RELEASED);
    return;
  }
  if (MutantEnabled("dispatched_again") && !open.waiters.empty()) {
    actions_.emplace_back(
        DispatchAction{open.waiters.front().id, key, open.generation});
    return;
  }
  Resolve(now, key, &open, wire::OUTCOME_KIND_UNKNOWN);
}

// While this host holds the claim and has not appended its release, no host can
// dispatch a request with the key. Once the release is appended, another host
// can claim the key, so "not run" holds for the key only until then. Waiters
// therefore get this answer here.
void OnceExecutor::Resolve(MonoTime now,
                           const ClaimKey& key,
                           OpenKey* open,
                           wire::OutcomeKind outcome) {
  open->phase = Phase::kResolved;
  open->outcome = outcome;
  open->resolved_at = now;
  open->resend_after = now;
  if (outcome == wire::OUTCOME_KIND_RELEASED) {
    for (const Waiter& it : open->waiters)
      Answer(it.id, OnceAnswerKind::kNotRun);
    open->waiters.clear();
  }
  Enqueue(key, open);
}

void OnceExecutor::AnswerFromOutcome(MonoTime now, OpenKey* open) {
  if (open->phase != Phase::kResolved ||
      open->outcome == wire::OUTCOME_KIND_RELEASED)
    return;
  const bool wait_elapsed = now >= open->resolved_at + settings_.outcome_wait;
  std::erase_if(open->waiters, [&](const Waiter& it) {
    if (!wait_elapsed && it.deadline > now)
      return false;
    if (FingerprintsDiffer(open->body, it.body))
      Answer(it.id, OnceAnswerKind::kConflict);
    else if (open->outcome == wire::OUTCOME_KIND_UNKNOWN)
      Answer(it.id, OnceAnswerKind::kUnknown);
    else
      Answer(it.id, OnceAnswerKind::kDone,
             static_cast<std::uint16_t>(open->response->status),
             open->response);
    return true;
  });
}

// A waiter expires at its claim deadline if the key is not claimed by then, and
// otherwise at its own deadline.
void OnceExecutor::AnswerExpired(MonoTime now,
                                 const ClaimKey& key,
                                 OpenKey* open) {
  const ClaimState* state = fold_.Find(key);
  const bool released = open->phase == Phase::kResolved &&
                        open->outcome == wire::OUTCOME_KIND_RELEASED;
  const bool claimed =
      state && state->phase == ClaimPhase::kClaimed && !released;
  std::erase_if(open->waiters, [&](Waiter& it) {
    if ((claimed ? it.deadline : it.claim_deadline) > now)
      return false;
    if (claimed && MutantEnabled("claim_taken_over"))
      actions_.emplace_back(DispatchAction{it.id, key, state->generation});
    if (!claimed && MutantEnabled("late_claim_dispatched")) {
      Answer(it.id, OnceAnswerKind::kNotRun);
      it.deadline = it.claim_deadline = MonoTime::max();
      return false;
    }
    Answer(it.id, claimed ? OnceAnswerKind::kInProgress
                          : OnceAnswerKind::kNotDispatched);
    return true;
  });
}

void OnceExecutor::Answer(const RequestId& id,
                          OnceAnswerKind kind,
                          std::uint16_t status,
                          std::shared_ptr<const RecordedResponse> response) {
  OnceAnswer answer{id, kind, 0, nullptr};
  if (kind == OnceAnswerKind::kDone)
    answer.response = std::move(response);
  if (kind == OnceAnswerKind::kDone || kind == OnceAnswerKind::kDoneWithoutBody)
    answer.status = status;
  actions_.emplace_back(std::move(answer));
}

void OnceExecutor::OnTick(MonoTime now, WallTime wall) {
  for (auto it = open_.begin(); it != open_.end();) {
    AnswerFromOutcome(now, &it->second);
    AnswerExpired(now, it->first, &it->second);
    it = IsIdle(it->second) ? open_.erase(it) : std::next(it);
  }
  if (now < next_sweep_)
    return;
  next_sweep_ = now + settings_.sweep_interval;
  fold_.DropCreatedBefore(
      wall - ToWall(settings_.max_key_age + 2 * settings_.max_clock_skew));
}

bool OnceExecutor::IsIdle(const OpenKey& open) const {
  return open.waiters.empty() &&
         !(open.phase == Phase::kDispatched || open.phase == Phase::kResolved);
}

std::size_t OnceExecutor::unrecorded_outcomes() const {
  return static_cast<std::size_t>(std::count_if(
      open_.begin(), open_.end(),
      [](const auto& it) { return it.second.phase == Phase::kResolved; }));
}

}  // namespace mangoport
