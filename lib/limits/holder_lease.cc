#include "mangoport/limits/holder_lease.h"

#include <algorithm>
#include <utility>

#include "mangoport/core/mutant.h"
#include "mangoport/limits/grantee_session.h"

namespace mangoport {
namespace {

/// Minimum time between two appended records of one holder.
constexpr Duration kMinAppendInterval = std::chrono::milliseconds(50);

/// Claims of different hosts after a lease has expired are distributed over
/// this time.
constexpr std::chrono::milliseconds kClaimJitter(500);

}  // namespace

bool BudgetFold::Apply(const LogPosition& position,
                       const wire::BudgetRecord& record) {
  if (record.kind() == wire::BudgetRecord::CLAIM)
    return ApplyClaim(position, record);
  if (after_gap_)
    AdoptAfterGap(record);
  const bool current = epoch_ && record.has_basis() &&
                       FromWire(record.basis()) == *epoch_ &&
                       record.holder() == holder_;
  if (!current || record.nonce() <= nonce_)
    return false;
  nonce_ = record.nonce();
  last_valid_ = position;
  for (const wire::BudgetReserve& it : record.reserves())
    reserves_[AccountId(it.account())] = it.tokens();
  if (record.kind() == wire::BudgetRecord::RELEASE)
    holder_.clear();
  return true;
}

bool BudgetFold::ApplyClaim(const LogPosition& position,
                            const wire::BudgetRecord& record) {
  std::optional<LogPosition> basis;
  if (record.has_basis())
    basis = FromWire(record.basis());
  if (basis != last_valid_ || (after_gap_ && !epoch_))
    return false;
  inheritance_.fresh = !epoch_ || MutantEnabled("burst_granted_at_takeover");
  // Only this claimant inherits the reserves. If it fails before it records
  // what is left of them, its successor must not use them again.
  inheritance_.reserves = MutantEnabled("reserve_inherited_twice")
                              ? reserves_
                              : std::exchange(reserves_, {});
  epoch_ = position;
  last_valid_ = position;
  holder_ = record.holder();
  holder_address_ = record.address();
  nonce_ = record.nonce();
  return true;
}

void BudgetFold::AdoptAfterGap(const wire::BudgetRecord& record) {
  if (!record.has_basis())
    return;
  const LogPosition epoch = FromWire(record.basis());
  if (epoch_ && epoch <= *epoch_)
    return;
  epoch_ = epoch;
  holder_ = record.holder();
  holder_address_ = record.address();
  nonce_ = 0;
  reserves_.clear();
}

HolderLease::HolderLease(std::string self,
                         std::string address,
                         const BudgetSettings& settings,
                         Duration lease)
    : self_(std::move(self)),
      address_(std::move(address)),
      settings_(settings),
      lease_(lease),
      claim_delay_(std::chrono::milliseconds(std::hash<std::string>{}(self_) %
                                             kClaimJitter.count())) {}

bool HolderLease::OnRecord(MonoTime now,
                           const LogPosition& position,
                           const wire::BudgetRecord& record) {
  if (!fold_.Apply(position, record))
    return false;
  last_valid_at_ = now;
  if (record.holder() != self_)
    return true;
  const auto it = std::find_if(sent_records_.begin(), sent_records_.end(),
                               [&record](const SentRecord& sent) {
                                 return sent.nonce == record.nonce();
                               });
  if (it == sent_records_.end())
    return true;
  if (record.kind() != wire::BudgetRecord::RELEASE)
    held_until_ = std::max(held_until_, it->at + lease_);
  sent_records_.erase(sent_records_.begin(), it + 1);
  return true;
}

void HolderLease::OnCaughtUp(MonoTime now) {
  if (!std::exchange(caught_up_, true))
    last_valid_at_ = now;
}

std::optional<wire::BudgetRecord> HolderLease::MakeRecord(MonoTime now,
                                                          bool early) {
  if (!caught_up_ || released_)
    return std::nullopt;
  if (last_sent_at_ != MonoTime::min() &&
      now - last_sent_at_ < kMinAppendInterval)
    return std::nullopt;
  if (fold_.holder() == self_) {
    const bool due = last_sent_at_ == MonoTime::min() ||
                     now - last_sent_at_ >= settings_.holder_renew_interval;
    if (!due && !early)
      return std::nullopt;
    wire::BudgetRecord record = NewRecord(now, wire::BudgetRecord::RENEWAL);
    *record.mutable_basis() = ToWire(*fold_.epoch());
    return record;
  }
  if (!MayClaim(now))
    return std::nullopt;
  wire::BudgetRecord record = NewRecord(now, wire::BudgetRecord::CLAIM);
  if (fold_.last_valid())
    *record.mutable_basis() = ToWire(*fold_.last_valid());
  return record;
}

std::optional<wire::BudgetRecord> HolderLease::MakeRelease(MonoTime now) {
  released_ = true;
  held_until_ = MonoTime::min();
  if (fold_.holder() != self_)
    return std::nullopt;
  wire::BudgetRecord record = NewRecord(now, wire::BudgetRecord::RELEASE);
  *record.mutable_basis() = ToWire(*fold_.epoch());
  return record;
}

MonoTime HolderLease::held_until() const {
  if (released_ || fold_.holder() != self_)
    return MonoTime::min();
  return held_until_;
}

wire::BudgetRecord HolderLease::NewRecord(MonoTime now,
                                          wire::BudgetRecord::Kind kind) {
  wire::BudgetRecord record;
  record.set_kind(kind);
  record.set_holder(self_);
  record.set_address(address_);
  record.set_nonce(++nonce_);
  sent_records_.push_back({nonce_, now});
  last_sent_at_ = now;
  return record;
}

bool HolderLease::MayClaim(MonoTime now) const {
  if (last_sent_at_ != MonoTime::min() &&
      now - last_sent_at_ < settings_.holder_renew_interval)
    return false;
  if (!fold_.last_valid() || fold_.holder().empty())
    return true;
  return now >=
         last_valid_at_ + StretchForDrift(lease_, settings_) + claim_delay_;
}

}  // namespace mangoport
