#include "mangoport/membership/config_replica.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "mangoport/core/invariant.h"
#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

/// The clocks of two hosts drift apart by at most 1 part in 1000.
constexpr Duration::rep kClockDriftDivisor = 1000;

}  // namespace

ConfigReplica::ConfigReplica(ReplicaHooks hooks, ReplicaLimits limits)
    : hooks_(std::move(hooks)), limits_(limits) {
  position_ = hooks_.position();
  highest_known_ = position_.next_offset;
}

void ConfigReplica::NoteOffset(std::uint64_t offset) {
  highest_known_ = std::max(highest_known_, offset);
}

bool ConfigReplica::UpdatePosition() {
  const ReplicaPosition before = std::exchange(position_, hooks_.position());
  CheckInvariant(position_.next_offset >= before.next_offset,
                 "the applied offset never decreases", [&] {
                   return std::to_string(before.next_offset) + " to " +
                          std::to_string(position_.next_offset);
                 });
  NoteOffset(position_.next_offset);
  return position_.next_offset > before.next_offset;
}

void ConfigReplica::AddToWindow(const EntryView& entry) {
  const bool follows =
      window_.empty() || entry.offset == window_.back().offset() + 1;
  const bool already_in_window =
      !window_.empty() && entry.offset <= window_.back().offset();
  if (already_in_window)
    return;
  if (!follows) {
    window_.clear();
    window_bytes_ = 0;
  }
  wire::ConfigEntry& added = window_.emplace_back();
  added.set_offset(entry.offset);
  added.set_payload(std::string(entry.payload));
  window_bytes_ += entry.payload.size();
  while (window_bytes_ > limits_.window_bytes && window_.size() > 1) {
    window_bytes_ -= window_.front().payload().size();
    window_.pop_front();
  }
}

bool ConfigReplica::ApplyEntries(std::uint64_t first_retained,
                                 const std::vector<EntryView>& entries) {
  hooks_.read_entries(first_retained, entries);
  const bool advanced = UpdatePosition();
  for (const EntryView& it : entries) {
    if (it.offset < position_.next_offset)
      AddToWindow(it);
  }
  return advanced;
}

bool ConfigReplica::OnLogReadResult(const LogReadResult& result) {
  if (!result.ok)
    return false;
  const bool advanced = ApplyEntries(result.first_retained, result.entries);
  std::uint64_t end = position_.read_from;
  if (!result.entries.empty())
    end = std::max(end, result.entries.back().offset + 1);
  NoteOffset(end);
  if (result.reached_end || MutantEnabled("evidence_of_partial_page"))
    AcceptEvidence(end, result.requested_at);
  return advanced;
}

bool ConfigReplica::OnPushedEntries(
    const google::protobuf::RepeatedPtrField<wire::ConfigEntry>& entries) {
  std::vector<EntryView> next;
  std::uint64_t expected = position_.next_offset;
  for (const wire::ConfigEntry& it : entries) {
    NoteOffset(it.offset() + 1);
    const bool follows =
        it.offset() == expected ||
        (MutantEnabled("gap_skipped") && it.offset() > expected);
    if (!follows)
      continue;
    next.push_back({it.offset(), it.payload()});
    expected = it.offset() + 1;
  }
  if (next.empty())
    return false;
  return ApplyEntries(next.front().offset, next);
}

bool ConfigReplica::OnReply(MonoTime requested_at,
                            const wire::SyncReply& reply) {
  NoteOffset(reply.next_offset());
  bool advanced = OnPushedEntries(reply.entries());
  const bool snapshot_is_newer = reply.next_offset() > position_.next_offset ||
                                 MutantEnabled("offset_goes_back");
  if (!reply.snapshot().empty() && snapshot_is_newer) {
    hooks_.load_snapshot(reply.snapshot());
    advanced |= UpdatePosition();
    window_.clear();
    window_bytes_ = 0;
  }
  if (!reply.has_evidence())
    return advanced;
  const auto age = std::chrono::microseconds(reply.evidence().age_us());
  // The peer measured the age after the request was sent. Counting from the
  // send time therefore includes the network delay of the reply.
  AcceptEvidence(
      reply.evidence().offset(),
      requested_at -
          (MutantEnabled("evidence_age_dropped") ? Duration{} : age));
  return advanced;
}

void ConfigReplica::AcceptEvidence(std::uint64_t end, MonoTime not_before) {
  const bool applied =
      end <= position_.next_offset || MutantEnabled("evidence_before_entries");
  if (applied && (!confirmed_newest_at_ || not_before > *confirmed_newest_at_))
    confirmed_newest_at_ = not_before;
}

void ConfigReplica::FillReply(std::uint64_t from,
                              wire::SyncReply& reply) const {
  reply.set_next_offset(position_.next_offset);
  reply.set_highest_known(highest_known_);
  if (from >= position_.next_offset)
    return;
  if (window_.empty() || from < window_.front().offset()) {
    reply.set_snapshot(hooks_.make_snapshot());
    return;
  }
  std::size_t bytes = 0;
  for (std::size_t i = from - window_.front().offset();
       i < window_.size() && bytes < limits_.reply_bytes; ++i) {
    *reply.add_entries() = window_[i];
    bytes += window_[i].payload().size();
  }
}

void ConfigReplica::FillPush(std::uint64_t from,
                             wire::SyncRequest& request) const {
  if (window_.empty() || from < window_.front().offset())
    return;
  std::size_t bytes = 0;
  for (std::size_t i = from - window_.front().offset(); i < window_.size();
       ++i) {
    bytes += window_[i].payload().size();
    if (bytes > limits_.push_bytes)
      return request.clear_entries();
    *request.add_entries() = window_[i];
  }
}

std::optional<Duration> ConfigReplica::EvidenceAge(MonoTime now) const {
  if (!confirmed_newest_at_)
    return std::nullopt;
  const Duration age = now - *confirmed_newest_at_;
  return age + age / kClockDriftDivisor;
}

std::optional<wire::ConfigEvidence> ConfigReplica::MakeEvidence(
    MonoTime now) const {
  const std::optional<Duration> age = EvidenceAge(now);
  if (!age)
    return std::nullopt;
  wire::ConfigEvidence evidence;
  evidence.set_offset(position_.next_offset);
  evidence.set_age_us(static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::microseconds>(*age).count()));
  return evidence;
}

}  // namespace mangoport
