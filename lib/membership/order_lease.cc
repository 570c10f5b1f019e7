#include "mangoport/membership/order_lease.h"

#include <algorithm>
#include <utility>

#include "mangoport/core/mutant.h"

namespace mangoport {

OrderLease::OrderLease(HostId self,
                       std::uint64_t incarnation,
                       const OrderLeaseSettings& settings,
                       Duration claim_delay)
    : self_(std::move(self)),
      incarnation_(incarnation),
      settings_(settings),
      claim_delay_(claim_delay) {}

bool OrderLease::IsOwn() const {
  return record_ && record_->holder == self_ &&
         record_->incarnation == incarnation_;
}

bool OrderLease::HolderResigned() const {
  return record_ && told_resigned_term_ != 0 &&
         record_->term == told_resigned_term_;
}

BootTime OrderLease::ClaimableAt() const {
  // Nobody holds it, or this machine did before it restarted.
  if (!record_ || record_->holder.empty() || record_->holder == self_ ||
      HolderResigned())
    return end_seen_at_ + claim_delay_;
  return end_seen_at_ + settings_.validity + settings_.takeover_margin +
         claim_delay_;
}

OrderLeaseStep OrderLease::WriteStep(BootTime now, std::uint64_t term) {
  // Orders of other holders left them before now, or before the last one said
  // so. A run of this host that had waited that out has only its own behind it.
  if (!IsOwn()) {
    const bool none_ordered =
        !record_ || (record_->holder == self_ && record_->settled);
    orders_from_ = now;
    if (!none_ordered && !MutantEnabled("order_lease_not_settled"))
      orders_from_ =
          (HolderResigned() ? told_last_order_ : now) + settings_.settle;
  }
  awaiting_ = true;
  write_sent_at_ = now;
  sent_record_ = {.holder = self_,
                  .incarnation = incarnation_,
                  .term = term,
                  .nonce = ++nonce_,
                  .settled = now >= orders_from_};
  return {.kind = OrderLeaseStep::Kind::kWrite,
          .record = sent_record_,
          .expected_end = end_};
}

OrderLeaseStep OrderLease::Next(BootTime now) {
  if (IsOwn() && record_->term != resigned_term_ &&
      now > valid_until_ - settings_.validity + settings_.resign_after)
    resigned_term_ = record_->term;
  if (awaiting_ || released_ || now < next_call_at_)
    return {};
  const bool serves = known_ && IsOwn() && record_->term != resigned_term_;
  if (serves) {
    if (now - write_sent_at_ < settings_.renew_interval)
      return {};
    return WriteStep(now, record_->term);
  }
  const bool holder_is_heard =
      holder_heard_at_ && now - *holder_heard_at_ < settings_.doubt_after;
  if (holder_is_heard)
    return {};
  if (known_ && now < ClaimableAt())
    return {};
  // The claim names the end that has stood for the whole wait; if the holder
  // has written since, the claim loses and the wait begins anew.
  if (known_)
    return WriteStep(now, record_ ? record_->term + 1 : 1);
  awaiting_ = true;
  return {.kind = OrderLeaseStep::Kind::kRead};
}

void OrderLease::OnRead(BootTime now,
                        const std::optional<OrderLeaseRecord>& record,
                        std::uint64_t end) {
  awaiting_ = false;
  if (end != end_ || !end_known_)
    end_seen_at_ = now;
  end_ = end;
  end_known_ = true;
  known_ = true;
  record_ = record;
  // A write whose answer was lost has been done after all.
  if (IsOwn() && record_->nonce == sent_record_.nonce)
    valid_until_ = std::max(valid_until_, write_sent_at_ + settings_.validity);
}

void OrderLease::OnReadFailed(BootTime now) {
  awaiting_ = false;
  next_call_at_ = now + settings_.retry_interval;
}

void OrderLease::OnWritten(BootTime now, std::uint64_t new_end) {
  awaiting_ = false;
  record_ = sent_record_;
  end_ = new_end;
  end_known_ = true;
  end_seen_at_ = now;
  known_ = true;
  valid_until_ = write_sent_at_ + settings_.validity;
}

void OrderLease::OnConflict(BootTime now) {
  awaiting_ = false;
  known_ = false;
  valid_until_ = BootTime();
  next_call_at_ = now;
}

void OrderLease::OnWriteUnknown(BootTime now) {
  awaiting_ = false;
  known_ = false;
  next_call_at_ = now + settings_.retry_interval;
}

void OrderLease::OnHolderHeard(BootTime now,
                               const HostId& host,
                               std::uint64_t term) {
  if (host == self_ || (record_ && term < record_->term))
    return;
  holder_heard_at_ = now;
  // The log has moved since; it is read again when the holder falls silent.
  known_ = known_ && IsOwn();
}

void OrderLease::OnHolderResigned(BootTime now,
                                  const HostId& host,
                                  std::uint64_t term,
                                  BootTime last_order) {
  if (host == self_ || term <= told_resigned_term_)
    return;
  told_resigned_term_ = term;
  told_last_order_ = std::min(now, last_order);
  holder_heard_at_.reset();
  known_ = known_ && IsOwn();
}

BootTime OrderLease::last_order_bound() const {
  return std::max(last_order_, orders_from_ - settings_.settle);
}

bool OrderLease::holds(BootTime now) const {
  return !released_ && IsOwn() && record_->term != resigned_term_ &&
         now < valid_until_;
}

std::optional<std::uint64_t> OrderLease::MayOrder(BootTime now) const {
  if (!holds(now) || now < orders_from_)
    return std::nullopt;
  return record_->term;
}

std::optional<OrderLeaseStep> OrderLease::Release(BootTime now) {
  const bool own = known_ && !awaiting_ && holds(now);
  released_ = true;
  if (!own)
    return std::nullopt;
  OrderLeaseStep step = WriteStep(now, record_->term);
  step.record.holder = HostId();
  return step;
}

}  // namespace mangoport
