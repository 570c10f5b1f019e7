#include "mangoport/membership/order_lease.h"

#include <algorithm>
#include <utility>

#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

/// The lower bits of a term are from the end of the log; at one renewal a
/// second they last for 136 years.
constexpr int kOffsetBits = 32;

}  // namespace

std::uint64_t OrderTerm(const StorePosition& expected_end) {
  if (MutantEnabled("order_terms_without_timeline"))
    return expected_end.offset + 1;
  return (expected_end.timeline << kOffsetBits) + expected_end.offset + 1;
}

StoreTimeline TermTimeline(std::uint64_t term) {
  return term >> kOffsetBits;
}

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

bool OrderLease::IsOfTimeline() const {
  return record_ && TermTimeline(record_->term) == timeline_.timeline;
}

bool OrderLease::MayBeUnrecorded() const {
  return !record_ && timeline_.timeline != 0 &&
         !MutantEnabled("empty_log_is_trusted");
}

void OrderLease::DropEarlierRecord(BootTime now) {
  if (!IsOfTimeline() && !holds(now) &&
      !MutantEnabled("restored_record_counts"))
    record_.reset();
}

void OrderLease::OnTimeline(StoreTimeline timeline, BootTime known_since) {
  if (timeline > timeline_.timeline) {
    store_state_known_ = false;
    next_call_at_ = BootTime();
  }
  timeline_.Note(timeline, known_since);
}

bool OrderLease::HolderResigned() const {
  return record_ && reported_resigned_term_ != 0 &&
         record_->term == reported_resigned_term_;
}

BootTime OrderLease::ClaimableAt() const {
  const Duration takeover = settings_.validity + settings_.takeover_margin;
  if (MayBeUnrecorded())
    return std::max(timeline_.known_since, end_observed_at_) + takeover +
           claim_delay_;
  // No host holds the lease, the holder resigned, or this host held it before
  // it restarted.
  if (!record_ || record_->holder.empty() || record_->holder == self_ ||
      HolderResigned())
    return end_observed_at_ + claim_delay_;
  return end_observed_at_ + takeover + claim_delay_;
}

Duration OrderLease::OrderTransit() const {
  return MutantEnabled("order_arrives_when_sent") ? Duration::zero()
                                                  : settings_.order_transit;
}

BootTime OrderLease::OrdersEndAt() const {
  // `valid_until_ - validity` is the send time of the latest successful write.
  // A write conflict sets `valid_until_` to zero.
  return valid_until_ - settings_.validity + settings_.resign_after;
}

BootTime OrderLease::EarlierOrderBound(BootTime now) const {
  const Duration transit = OrderTransit();
  if (HolderResigned())
    return reported_last_order_;
  if (MayBeUnrecorded())
    return std::max(now, std::max(timeline_.known_since, end_observed_at_) +
                             settings_.resign_after + transit);
  if (record_ && record_->holder.empty())
    return record_->orders_arrived ? now
                                   : std::max(now, end_observed_at_ + transit);
  // An earlier run of this host had not waited for the holder before it, about
  // which nothing is known any more.
  if (!record_ || record_->holder == self_)
    return now + transit;
  return std::max(now, end_observed_at_ + settings_.resign_after + transit);
}

OrderLeaseStep OrderLease::WriteStep(BootTime now, std::uint64_t term) {
  // No waiting is needed if no host held the lease, or if an earlier run of
  // this host had already waited.
  if (!IsOwn()) {
    const bool never_held = !record_ && !MayBeUnrecorded();
    const bool no_other_orders =
        never_held || (record_ && record_->holder == self_ && record_->settled);
    may_order_from_ = now;
    if (!no_other_orders && !MutantEnabled("order_lease_not_settled"))
      may_order_from_ = EarlierOrderBound(now) + settings_.settle;
  }
  result_pending_ = true;
  write_sent_at_ = now;
  sent_record_ = {.holder = self_,
                  .incarnation = incarnation_,
                  .term = term,
                  .nonce = ++nonce_,
                  .settled = now >= may_order_from_};
  return {.kind = OrderLeaseStep::Kind::kWrite,
          .record = sent_record_,
          .expected_end = end_};
}

OrderLeaseStep OrderLease::Next(BootTime now) {
  if (IsOwn() && record_->term != resigned_term_ && now > OrdersEndAt())
    resigned_term_ = record_->term;
  if (result_pending_ || released_ || now < next_call_at_)
    return {};
  if (store_state_known_)
    DropEarlierRecord(now);
  const bool renews =
      store_state_known_ && IsOwn() && record_->term != resigned_term_;
  if (renews && !IsOfTimeline())
    return WriteStep(now, OrderTerm(end_));
  if (renews) {
    if (now - write_sent_at_ < settings_.renew_interval)
      return {};
    return WriteStep(now, record_->term);
  }
  const bool holder_seen_recently =
      last_holder_update_at_ &&
      now - *last_holder_update_at_ < settings_.suspicion_timeout;
  if (holder_seen_recently)
    return {};
  if (store_state_known_ && now < ClaimableAt())
    return {};
  // The claim names the end of the log that was observed for the whole wait. If
  // the holder has appended since, the claim fails and the wait starts over.
  if (store_state_known_)
    return WriteStep(now, OrderTerm(end_));
  result_pending_ = true;
  return {.kind = OrderLeaseStep::Kind::kRead};
}

void OrderLease::OnRead(BootTime now,
                        const std::optional<OrderLeaseRecord>& record,
                        const StorePosition& end) {
  result_pending_ = false;
  OnTimeline(end.timeline, now);
  if (end.timeline < timeline_.timeline) {
    // The store answered before it was restored.
    next_call_at_ = now;
    return;
  }
  if (end != end_ || !end_known_)
    end_observed_at_ = now;
  end_ = end;
  end_known_ = true;
  store_state_known_ = true;
  const bool counts =
      record && (TermTimeline(record->term) == timeline_.timeline ||
                 MutantEnabled("restored_record_counts"));
  if (counts)
    record_ = record;
  else if (IsOfTimeline())
    record_.reset();
  else
    DropEarlierRecord(now);
  // The write whose response was lost has succeeded. The lease is valid from
  // the time that write was sent.
  if (IsOwn() && record_->nonce == sent_record_.nonce)
    valid_until_ = std::max(valid_until_, write_sent_at_ + settings_.validity);
}

void OrderLease::OnReadFailed(BootTime now) {
  result_pending_ = false;
  next_call_at_ = now + settings_.retry_interval;
}

void OrderLease::OnWritten(BootTime now, const StorePosition& new_end) {
  result_pending_ = false;
  OnTimeline(new_end.timeline, now);
  if (new_end.timeline != end_.timeline) {
    // The expected end is of another timeline and matched by chance.
    store_state_known_ = false;
    next_call_at_ = now;
    return;
  }
  record_ = sent_record_;
  end_ = new_end;
  end_known_ = true;
  end_observed_at_ = now;
  store_state_known_ = new_end.timeline == timeline_.timeline;
  valid_until_ = write_sent_at_ + settings_.validity;
}

void OrderLease::OnConflict(BootTime now, StoreTimeline timeline) {
  result_pending_ = false;
  store_state_known_ = false;
  // After a restore the log has another end although nobody took over.
  if (timeline == end_.timeline)
    valid_until_ = BootTime();
  OnTimeline(timeline, now);
  next_call_at_ = now;
}

void OrderLease::OnWriteUnknown(BootTime now) {
  result_pending_ = false;
  store_state_known_ = false;
  next_call_at_ = now + settings_.retry_interval;
}

void OrderLease::OnHolderUpdate(BootTime now,
                                const HostId& host,
                                std::uint64_t term) {
  if (host == self_ || (record_ && term < record_->term))
    return;
  last_holder_update_at_ = now;
  // The holder's renewals have advanced the log. It is read again once the
  // holder becomes unresponsive.
  store_state_known_ = store_state_known_ && IsOwn();
}

void OrderLease::OnHolderResigned(BootTime now,
                                  const HostId& host,
                                  std::uint64_t term,
                                  BootTime last_order) {
  if (host == self_ || term <= reported_resigned_term_)
    return;
  reported_resigned_term_ = term;
  reported_last_order_ = std::min(now, last_order);
  last_holder_update_at_.reset();
  store_state_known_ = store_state_known_ && IsOwn();
}

void OrderLease::NoteOrderEnd(BootTime now, BootTime sent, bool answered) {
  const auto it = unanswered_orders_.find(sent);
  if (it != unanswered_orders_.end())
    unanswered_orders_.erase(it);
  ended_orders_bound_ =
      std::max(ended_orders_bound_, answered ? now : sent + OrderTransit());
}

BootTime OrderLease::last_order_bound() const {
  BootTime out =
      std::max(ended_orders_bound_, may_order_from_ - settings_.settle);
  if (!unanswered_orders_.empty())
    out = std::max(out, *unanswered_orders_.rbegin() + OrderTransit());
  return out;
}

bool OrderLease::holds(BootTime now) const {
  return !released_ && IsOwn() && record_->term != resigned_term_ &&
         now < valid_until_;
}

std::optional<std::uint64_t> OrderLease::MayOrder(BootTime now) const {
  if (!holds(now) || now < may_order_from_ || now > OrdersEndAt())
    return std::nullopt;
  return record_->term;
}

std::optional<OrderLeaseStep> OrderLease::Release(BootTime now) {
  const bool own = store_state_known_ && !result_pending_ && holds(now);
  released_ = true;
  if (!own)
    return std::nullopt;
  OrderLeaseStep step = WriteStep(now, record_->term);
  step.record.holder = HostId();
  step.record.orders_arrived = last_order_bound() <= now;
  return step;
}

}  // namespace mangoport
