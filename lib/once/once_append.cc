// The claims and outcomes that an executor appends to the log, and the state of
// keys that it appends again before the log drops it.
#include <algorithm>
#include <utility>

#include "lib/once/wall_time.h"
#include "mangoport/core/mutant.h"
#include "mangoport/once/once_executor.h"

namespace mangoport {
namespace {

wire::Envelope HorizonRecord(RecordWriter* writer,
                             std::uint64_t up_to,
                             WallTime wall) {
  wire::RequestHorizon horizon;
  horizon.set_up_to(up_to);
  horizon.set_written_at_s(UnixSeconds(wall));
  return writer->Wrap(wire::RECORD_KIND_REQUEST_HORIZON,
                      horizon.SerializeAsString());
}

}  // namespace

// --- Claims and outcomes

bool OnceExecutor::NeedsAppend(const OpenKey& open) const {
  return open.phase == Phase::kClaiming || open.phase == Phase::kResolved;
}

void OnceExecutor::Enqueue(const ClaimKey& key, OpenKey* open) {
  if (std::exchange(open->queued, true))
    return;
  outbox_.push_back(key);
}

std::optional<std::string> OnceExecutor::TakeBatch(MonoTime now,
                                                   WallTime wall) {
  if (append_in_progress_ || now < next_append_)
    return std::nullopt;
  std::vector<wire::Envelope> records;
  TakeOwnRecords(now, &records);
  StartCarryIfDue(wall);
  TakeCarry(now, wall, &records);
  if (records.empty())
    return std::nullopt;
  append_in_progress_ = true;
  next_append_ = now + settings_.append_interval;
  return EncodeBatch(records);
}

// Takes the claims and outcomes that are due, up to the limits of a batch. They
// stay in the outbox until they are read back from the log.
void OnceExecutor::TakeOwnRecords(MonoTime now,
                                  std::vector<wire::Envelope>* records) {
  in_flight_.clear();
  std::size_t bytes = 0;
  for (std::size_t n = outbox_.size(); n > 0; --n) {
    const ClaimKey key = outbox_.front();
    outbox_.pop_front();
    const auto it = open_.find(key);
    if (it == open_.end())
      continue;
    OpenKey& open = it->second;
    open.queued = NeedsAppend(open);
    if (!open.queued)
      continue;
    outbox_.push_back(key);
    const bool may_miss_claims =
        open.phase == Phase::kClaiming && !fold_.complete();
    const bool batch_full = records->size() >= settings_.max_batch_records ||
                            bytes >= settings_.max_batch_bytes;
    if (may_miss_claims || batch_full || now < open.resend_after)
      continue;
    open.resend_after = now + settings_.read_back_timeout;
    in_flight_.push_back(key);
    records->push_back(MakeOwnRecord(key, open));
    bytes += records->back().body().size();
  }
}

wire::Envelope OnceExecutor::MakeOwnRecord(const ClaimKey& key,
                                           const OpenKey& open) {
  const wire::ClaimId id =
      ToWire(key, open.body, open.generation, open.key_created_s);
  if (open.phase == Phase::kClaiming) {
    wire::RequestClaim claim;
    *claim.mutable_id() = id;
    return writer_.Wrap(wire::RECORD_KIND_REQUEST_CLAIM,
                        claim.SerializeAsString());
  }
  wire::RequestOutcome outcome;
  *outcome.mutable_id() = id;
  outcome.set_kind(open.outcome);
  if (open.outcome == wire::OUTCOME_KIND_DONE) {
    *outcome.mutable_response() = ToWire(*open.response);
    if (open.response->body.size() > settings_.max_recorded_body) {
      outcome.mutable_response()->clear_body();
      outcome.mutable_response()->set_body_kept(false);
    }
  }
  return writer_.Wrap(wire::RECORD_KIND_REQUEST_OUTCOME,
                      outcome.SerializeAsString());
}

void OnceExecutor::OnAppendResult(MonoTime now, AppendStatus status) {
  append_in_progress_ = false;
  if (status != AppendStatus::kAppended) {
    next_append_ = std::max(next_append_, now + settings_.append_retry);
    if (carry_)
      carry_->resend_after = now;
  }
  for (const ClaimKey& it : in_flight_) {
    const auto open = open_.find(it);
    if (open == open_.end())
      continue;
    if (status != AppendStatus::kAppended)
      open->second.resend_after = now;
    else if (MutantEnabled("claim_not_read_back") &&
             open->second.phase == Phase::kClaiming)
      Dispatch(it, &open->second, open->second.waiters.front());
  }
}

// --- Re-appending key state before the log drops it

void OnceExecutor::StartCarryIfDue(WallTime wall) {
  if (!first_carry_wait_start_)
    first_carry_wait_start_ = wall;
  if (carry_ && fold_.covered_up_to() >= carry_->up_to)
    carry_.reset();
  if (carry_ || !fold_.complete())
    return;
  constexpr int kPermille = 1000;
  const WallTime wait_start =
      fold_.covered_up_to() > 0 ? fold_.covered_at() : *first_carry_wait_start_;
  const Duration wait =
      settings_.carry_interval +
      settings_.carry_interval / kPermille * settings_.carry_jitter_permille;
  if (wall - wait_start < ToWall(wait))
    return;
  carry_ = Carry{.up_to = fold_.next_offset(),
                 .keys = fold_.RecordedBefore(fold_.next_offset()),
                 .first = 0,
                 .resend_after = {}};
}

// Returns whether an entry at or after `up_to` records the key's complete
// state, or the key has been erased.
bool OnceExecutor::IsCarried(const ClaimKey& key) const {
  const ClaimState* state = fold_.Find(key);
  return !state || state->recorded_at >= carry_->up_to;
}

void OnceExecutor::TakeCarry(MonoTime now,
                             WallTime wall,
                             std::vector<wire::Envelope>* records) {
  if (!carry_)
    return;
  const std::size_t before = carry_->first;
  while (carry_->first < carry_->keys.size() &&
         IsCarried(carry_->keys[carry_->first]))
    ++carry_->first;
  if (carry_->first == before && now < carry_->resend_after)
    return;
  carry_->resend_after = now + settings_.read_back_timeout;
  if (carry_->first < carry_->keys.size())
    records->push_back(writer_.Wrap(wire::RECORD_KIND_REQUEST_CARRY,
                                    NextCarryChunk().SerializeAsString()));
  // Append the horizon only after every key was read back from its new entry.
  if (carry_->first < carry_->keys.size() &&
      !MutantEnabled("horizon_before_carried"))
    return;
  records->push_back(HorizonRecord(&writer_, carry_->up_to, wall));
}

wire::RequestCarry OnceExecutor::NextCarryChunk() const {
  wire::RequestCarry chunk;
  std::size_t bytes = 0;
  for (std::size_t i = carry_->first;
       i < carry_->keys.size() && bytes < settings_.max_batch_bytes; ++i) {
    const ClaimKey& key = carry_->keys[i];
    if (IsCarried(key))
      continue;
    *chunk.add_claims() = ToCarried(fold_, key, *fold_.Find(key));
    bytes += chunk.claims().rbegin()->ByteSizeLong();
  }
  return chunk;
}

std::string EncodeOperatorHorizon(const WriterId& operator_name,
                                  std::uint64_t up_to,
                                  WallTime wall) {
  RecordWriter writer(operator_name);
  return EncodeBatch({HorizonRecord(&writer, up_to, wall)});
}

}  // namespace mangoport
