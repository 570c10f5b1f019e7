#include "mangoport/once/claim_fold.h"

#include <utility>

#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

ClaimKey KeyOf(const wire::ClaimId& id) {
  return {{id.key_high(), id.key_low()}};
}

RequestFingerprint FingerprintOf(const wire::ClaimId& id) {
  return {{id.body_high(), id.body_low()}};
}

ClaimPhase PhaseOf(wire::ClaimPhase phase) {
  switch (phase) {
    case wire::CLAIM_PHASE_FREE:
      return ClaimPhase::kFree;
    case wire::CLAIM_PHASE_DONE:
      return ClaimPhase::kDone;
    case wire::CLAIM_PHASE_UNKNOWN:
      return ClaimPhase::kUnknown;
    default:
      // A newer version may have written an unknown phase. Treat it as claimed,
      // because the request may have run.
      return ClaimPhase::kClaimed;
  }
}

wire::ClaimPhase ToWire(ClaimPhase phase) {
  switch (phase) {
    case ClaimPhase::kFree:
      return wire::CLAIM_PHASE_FREE;
    case ClaimPhase::kClaimed:
      return wire::CLAIM_PHASE_CLAIMED;
    case ClaimPhase::kDone:
      return wire::CLAIM_PHASE_DONE;
    case ClaimPhase::kUnknown:
      return wire::CLAIM_PHASE_UNKNOWN;
  }
  return wire::CLAIM_PHASE_CLAIMED;
}

bool IsFinal(ClaimPhase phase) {
  return phase == ClaimPhase::kDone || phase == ClaimPhase::kUnknown;
}

// Ranks the phases within one generation; a key never moves to a lower rank.
int RankOf(ClaimPhase phase) {
  if (IsFinal(phase))
    return 2;
  return phase == ClaimPhase::kClaimed ? 1 : 0;
}

std::size_t MemoryBytesOf(const RecordedResponse& response) {
  return sizeof(response) + response.content_type.size() + response.body.size();
}

}  // namespace

void ClaimFold::NoteFirstRetained(std::uint64_t first_retained) {
  started_ = true;
  if (first_retained <= next_offset_)
    return;
  missing_below_ = first_retained;
  next_offset_ = first_retained;
}

bool ClaimFold::complete() const {
  if (MutantEnabled("horizon_not_checked"))
    return started_;
  return started_ && missing_below_ <= covered_up_to_;
}

void ClaimFold::ReadEntry(std::uint64_t offset,
                          std::string_view payload,
                          const ChangeCallback& on_change) {
  if (offset < next_offset_)
    return;
  next_offset_ = offset + 1;
  wire::EntryBatch batch;
  if (!batch.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
    ++damaged_records_;
    return;
  }
  for (const wire::Envelope& it : batch.records())
    FoldRecord(it, on_change);
}

const ClaimState* ClaimFold::Find(const ClaimKey& key) const {
  const auto it = states_.find(key);
  return it == states_.end() ? nullptr : &it->second;
}

const WriterId& ClaimFold::HolderOf(const ClaimState& state) const {
  return holders_[state.holder];
}

// Does not detect duplicates by the envelope's writer and sequence: whether a
// reader has seen a record before depends on where it began to read, but the
// folded state must not.
void ClaimFold::FoldRecord(const wire::Envelope& record,
                           const ChangeCallback& on_change) {
  switch (record.kind()) {
    case wire::RECORD_KIND_REQUEST_CLAIM:
      FoldClaim(record, on_change);
      return;
    case wire::RECORD_KIND_REQUEST_OUTCOME:
      FoldOutcome(record, on_change);
      return;
    case wire::RECORD_KIND_REQUEST_CARRY:
      FoldCarry(record, on_change);
      return;
    case wire::RECORD_KIND_REQUEST_HORIZON:
      FoldHorizon(record);
      return;
    default:
      return;
  }
}

void ClaimFold::FoldClaim(const wire::Envelope& record,
                          const ChangeCallback& on_change) {
  wire::RequestClaim claim;
  if (!claim.ParseFromString(record.body())) {
    ++damaged_records_;
    return;
  }
  const wire::ClaimId& id = claim.id();
  ClaimState& state = states_[KeyOf(id)];
  // A claim of a newer generation shows that all earlier generations were
  // released, in entries that this reader has not read.
  const bool newer = id.generation() > state.generation;
  const bool first =
      id.generation() == state.generation &&
      (state.phase == ClaimPhase::kFree || MutantEnabled("last_claim_wins"));
  if (!IsFinal(state.phase) && (newer || first)) {
    state.body = FingerprintOf(id);
    state.generation = id.generation();
    state.holder = HolderIndex(record.writer());
    state.phase = ClaimPhase::kClaimed;
    state.key_created_s = id.key_created_s();
    state.recorded_at = next_offset_ - 1;
  }
  on_change(KeyOf(id));
}

void ClaimFold::FoldOutcome(const wire::Envelope& record,
                            const ChangeCallback& on_change) {
  wire::RequestOutcome outcome;
  if (!outcome.ParseFromString(record.body())) {
    ++damaged_records_;
    return;
  }
  const wire::ClaimId& id = outcome.id();
  const ClaimKey key = KeyOf(id);
  ClaimState& state = states_[key];
  if (id.generation() < state.generation || IsFinal(state.phase))
    return;
  state.body = FingerprintOf(id);
  state.generation = id.generation();
  state.holder = HolderIndex(record.writer());
  state.key_created_s = id.key_created_s();
  state.recorded_at = next_offset_ - 1;
  if (outcome.kind() == wire::OUTCOME_KIND_RELEASED) {
    ++state.generation;
    state.phase = ClaimPhase::kFree;
  } else if (outcome.kind() == wire::OUTCOME_KIND_DONE) {
    state.phase = ClaimPhase::kDone;
    KeepResponse(key, &state, outcome.response());
  } else {
    state.phase = ClaimPhase::kUnknown;
  }
  on_change(key);
}

void ClaimFold::FoldCarry(const wire::Envelope& record,
                          const ChangeCallback& on_change) {
  wire::RequestCarry carry;
  if (!carry.ParseFromString(record.body())) {
    ++damaged_records_;
    return;
  }
  for (const wire::CarriedClaim& it : carry.claims()) {
    MergeCarried(it);
    on_change(KeyOf(it.id()));
  }
}

// Carried state comes from a complete fold. At the same rank it therefore
// replaces state that a reader inferred after starting in the middle of the
// stream. Carried state older than the known state is ignored. For a key in a
// final phase only `recorded_at` changes.
void ClaimFold::MergeCarried(const wire::CarriedClaim& carried) {
  const ClaimKey key = KeyOf(carried.id());
  const ClaimPhase phase = PhaseOf(carried.phase());
  ClaimState& state = states_[key];
  const std::uint32_t generation = carried.id().generation();
  if (generation < state.generation)
    return;
  if (generation == state.generation && RankOf(phase) < RankOf(state.phase))
    return;
  state.recorded_at = next_offset_ - 1;
  if (IsFinal(state.phase))
    return;
  state.body = FingerprintOf(carried.id());
  state.generation = generation;
  state.holder = HolderIndex(carried.holder());
  state.phase = phase;
  state.key_created_s = carried.id().key_created_s();
  if (phase == ClaimPhase::kDone)
    KeepResponse(key, &state, carried.response());
}

void ClaimFold::FoldHorizon(const wire::Envelope& record) {
  wire::RequestHorizon horizon;
  if (!horizon.ParseFromString(record.body())) {
    ++damaged_records_;
    return;
  }
  if (horizon.up_to() <= covered_up_to_)
    return;
  covered_up_to_ = horizon.up_to();
  covered_at_ = WallTime(std::chrono::seconds(horizon.written_at_s()));
}

void ClaimFold::KeepResponse(const ClaimKey& key,
                             ClaimState* state,
                             const wire::RecordedResponse& response) {
  state->status = static_cast<std::uint16_t>(response.status());
  if (!response.body_kept())
    return;
  state->response = std::make_shared<const RecordedResponse>(RecordedResponse{
      response.status(), response.content_type(), response.body(), true});
  response_bytes_ += MemoryBytesOf(*state->response);
  responses_oldest_first_.push_back(key);
  EvictResponses();
}

void ClaimFold::EvictResponses() {
  while (response_bytes_ > limits_.response_bytes) {
    const auto it = states_.find(responses_oldest_first_.front());
    responses_oldest_first_.pop_front();
    if (it == states_.end() || !it->second.response)
      continue;
    response_bytes_ -= MemoryBytesOf(*it->second.response);
    it->second.response.reset();
  }
}

std::uint32_t ClaimFold::HolderIndex(const std::string& name) {
  const auto [it, added] = holder_indexes_.try_emplace(
      WriterId(name), static_cast<std::uint32_t>(holders_.size()));
  if (added)
    holders_.push_back(it->first);
  return it->second;
}

void ClaimFold::DropCreatedBefore(WallTime created_before) {
  const std::int64_t limit = std::chrono::duration_cast<std::chrono::seconds>(
                                 created_before.time_since_epoch())
                                 .count();
  for (auto it = states_.begin(); it != states_.end();) {
    const ClaimState& state = it->second;
    if (state.key_created_s == 0 || state.key_created_s >= limit) {
      ++it;
      continue;
    }
    if (state.response)
      response_bytes_ -= MemoryBytesOf(*state.response);
    it = states_.erase(it);
  }
}

std::vector<ClaimKey> ClaimFold::RecordedBefore(std::uint64_t offset) const {
  std::vector<ClaimKey> keys;
  for (const auto& [key, state] : states_) {
    const bool skipped = MutantEnabled("released_not_carried") &&
                         state.phase == ClaimPhase::kFree;
    if (state.recorded_at < offset && !skipped)
      keys.push_back(key);
  }
  return keys;
}

std::vector<ClaimKey> ClaimFold::ClaimedBy(const WriterId& holder) const {
  std::vector<ClaimKey> keys;
  for (const auto& [key, state] : states_)
    if (state.phase == ClaimPhase::kClaimed && HolderOf(state) == holder)
      keys.push_back(key);
  return keys;
}

wire::ClaimId ToWire(const ClaimKey& key,
                     const RequestFingerprint& body,
                     std::uint32_t generation,
                     std::int64_t key_created_s) {
  wire::ClaimId id;
  id.set_key_high(key.digest.high);
  id.set_key_low(key.digest.low);
  id.set_body_high(body.digest.high);
  id.set_body_low(body.digest.low);
  id.set_generation(generation);
  id.set_key_created_s(key_created_s);
  return id;
}

wire::RecordedResponse ToWire(const RecordedResponse& response) {
  wire::RecordedResponse record;
  record.set_status(response.status);
  record.set_content_type(response.content_type);
  record.set_body(response.body);
  record.set_body_kept(response.body_kept);
  return record;
}

wire::CarriedClaim ToCarried(const ClaimFold& fold,
                             const ClaimKey& key,
                             const ClaimState& state) {
  wire::CarriedClaim carried;
  *carried.mutable_id() =
      ToWire(key, state.body, state.generation, state.key_created_s);
  carried.set_phase(ToWire(state.phase));
  carried.set_holder(fold.HolderOf(state).value());
  if (state.response)
    *carried.mutable_response() = ToWire(*state.response);
  else if (state.phase == ClaimPhase::kDone)
    carried.mutable_response()->set_status(state.status);
  return carried;
}

}  // namespace mangoport
