#include "mangoport/membership/lease.h"

#include <utility>

#include "mangoport/core/invariant.h"
#include "mangoport/core/mutant.h"
#include "mangoport/lease.pb.h"

namespace mangoport {
namespace {

/// Bits of a fencing number that hold the index of the log position.
constexpr unsigned kIndexBits = 16;

LogPosition FromWire(const wire::LeasePosition& position) {
  return {position.offset(), position.index()};
}

void ToWire(const LogPosition& position, wire::LeasePosition* out) {
  out->set_offset(position.offset);
  out->set_index(position.index);
}

}  // namespace

bool LeaseFold::Apply(const LogPosition& position,
                      const wire::Envelope& record) {
  if (record.kind() == wire::RECORD_KIND_LEASE_CLAIM)
    return ApplyClaim(position, record);
  if (record.kind() == wire::RECORD_KIND_LEASE_RELEASE)
    return ApplyRelease(record);
  return false;
}

bool LeaseFold::ApplyClaim(const LogPosition& position,
                           const wire::Envelope& record) {
  wire::LeaseClaim claim;
  if (!claim.ParseFromString(record.body()))
    return false;
  const WriterId writer(record.writer());
  const auto found = leases_.find(claim.resource());
  Lease next{.holder = writer,
             .epoch = position,
             .last_record = position,
             .last_attempt = claim.attempt(),
             .duration = std::chrono::milliseconds(claim.duration_ms())};
  if (claim.has_epoch()) {
    next.epoch = FromWire(claim.epoch());
    if (!IsCurrent(claim.resource(), writer, next.epoch))
      return false;
  } else if (found == leases_.end()) {
    // The holder that this claim observed has released its lease since. Ignore
    // the claim; the claimant reads the release and claims again.
    if (claim.has_observed())
      return false;
  } else {
    const bool matches = claim.has_observed() && FromWire(claim.observed()) ==
                                                     found->second.last_record;
    if (!matches && !MutantEnabled("lease_claim_not_compared"))
      return false;
  }
  leases_[claim.resource()] = next;
  return true;
}

bool LeaseFold::ApplyRelease(const wire::Envelope& record) {
  wire::LeaseRelease release;
  if (!release.ParseFromString(record.body()))
    return false;
  if (!IsCurrent(release.resource(), WriterId(record.writer()),
                 FromWire(release.epoch())))
    return false;
  leases_.erase(release.resource());
  return true;
}

const Lease* LeaseFold::Find(const std::string& resource) const {
  const auto it = leases_.find(resource);
  return it == leases_.end() ? nullptr : &it->second;
}

bool LeaseFold::IsCurrent(const std::string& resource,
                          const WriterId& writer,
                          const LogPosition& epoch) const {
  const Lease* lease = Find(resource);
  return lease != nullptr && lease->holder == writer && lease->epoch == epoch;
}

void LeaseContender::Observe(MonoTime now, const LeaseFold& fold) {
  const Lease* current = fold.Find(config_.resource);
  const bool changed =
      !observed_at_ || (current != nullptr) != lease_.has_value() ||
      (current != nullptr && current->last_record != lease_->last_record);
  if (!changed)
    return;
  observed_at_ = now;
  lease_ = current == nullptr ? std::nullopt : std::optional<Lease>(*current);
  if (!IsHolder())
    return;
  const auto sent = send_times_.find(lease_->last_attempt);
  if (sent == send_times_.end())
    return;
  const MonoTime from =
      MutantEnabled("lease_counted_from_read") ? now : sent->second;
  held_until_ = from + lease_->duration;
  send_times_.erase(send_times_.begin(), std::next(sent));
}

bool LeaseContender::IsHolder() const {
  return lease_ && lease_->holder == self_;
}

std::optional<std::string> LeaseContender::NextClaim(MonoTime now) {
  if (released_ || !observed_at_)
    return std::nullopt;
  if (last_sent_at_ && now < *last_sent_at_ + config_.retry_interval)
    return std::nullopt;
  if (IsHolder()) {
    const MonoTime sent_at = held_until_ - lease_->duration;
    if (now < sent_at + config_.renew_interval)
      return std::nullopt;
    return MakeClaim(now);
  }
  Duration wait = config_.claim_delay;
  if (lease_ && !MutantEnabled("lease_not_waited_out"))
    wait += lease_->duration + config_.takeover_margin;
  if (now < *observed_at_ + wait)
    return std::nullopt;
  return MakeClaim(now);
}

std::string LeaseContender::MakeClaim(MonoTime now) {
  wire::LeaseClaim claim;
  claim.set_resource(config_.resource);
  claim.set_attempt(next_attempt_);
  claim.set_duration_ms(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(config_.duration)
          .count()));
  if (IsHolder())
    ToWire(lease_->epoch, claim.mutable_epoch());
  else if (lease_)
    ToWire(lease_->last_record, claim.mutable_observed());
  send_times_[next_attempt_++] = now;
  last_sent_at_ = now;
  return claim.SerializeAsString();
}

std::optional<std::string> LeaseContender::Release() {
  released_ = true;
  if (!IsHolder())
    return std::nullopt;
  wire::LeaseRelease release;
  release.set_resource(config_.resource);
  ToWire(lease_->epoch, release.mutable_epoch());
  return release.SerializeAsString();
}

std::optional<LogPosition> LeaseContender::HeldEpoch(MonoTime now) const {
  if (released_ || !IsHolder())
    return std::nullopt;
  if (now >= held_until_ && !MutantEnabled("lease_not_checked_at_effect"))
    return std::nullopt;
  return lease_->epoch;
}

std::uint64_t FencingNumber(const LogPosition& epoch) {
  CheckInvariant(epoch.index < (1U << kIndexBits) &&
                     epoch.offset < (std::uint64_t{1} << (64 - kIndexBits)),
                 "an epoch fits in a fencing number",
                 [&epoch] { return ToString(epoch); });
  return (epoch.offset << kIndexBits) | epoch.index;
}

}  // namespace mangoport
