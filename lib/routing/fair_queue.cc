#include "mangoport/routing/fair_queue.h"

#include <algorithm>
#include <string>
#include <utility>

#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

/// Minimum time over which the drain rate is measured.
constexpr Duration kMeasureWindow = std::chrono::milliseconds(500);
/// Weight of one measurement in the moving average of the drain rate.
constexpr double kRateGain = 0.3;
/// An account is above its share when it is ahead of the virtual time by more
/// than this many tokens over its weight.
constexpr double kShareSlackTokens = 4000;
constexpr std::int32_t kPriorityWithinShare = 1;
constexpr std::int32_t kPriorityAboveShare = 0;
/// Idle accounts are removed when there are more than this many accounts.
constexpr std::size_t kMaxIdleAccounts = 4096;

Error Overloaded(std::string message) {
  return Error{.code = ErrorCode::kOverloaded,
               .message = std::move(message),
               .not_run = true};
}

}  // namespace

Duration FairQueue::ExpectedWait(const AccountId& account,
                                 double weight,
                                 double tokens) const {
  if (drain_rate_ <= 0 || size_ == 0)
    return Duration::zero();
  const auto account_it = accounts_.find(account);
  double start = virtual_time_;
  double own = 0;
  if (account_it != accounts_.end()) {
    own = account_it->second.queued_tokens;
    start = std::max(start, account_it->second.normalized_service);
  }
  // Virtual time at which the request would be served completely. Tokens that
  // other accounts are due before then are ahead of it.
  const double finish = start + (own + tokens) / weight;
  double ahead = own;
  for (const auto& [id, it] : accounts_) {
    if (id == account || it.queued == 0)
      continue;
    const double before = (finish - it.normalized_service) * it.weight;
    ahead += std::clamp(before, 0.0, it.queued_tokens);
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(ahead / drain_rate_));
}

PushResult FairQueue::Push(MonoTime now, QueuedRequest request) {
  PushResult result;
  // Tokens are divided by the weight, which must therefore be positive.
  request.weight = std::max(request.weight, 1e-3);
  const Duration wait =
      ExpectedWait(request.account, request.weight, request.tokens);
  if (request.deadline != MonoTime::max() && now + wait > request.deadline) {
    result.refusal = Overloaded("the wait is longer than the deadline");
    result.retry_after = wait;
    return result;
  }
  if (accounts_.size() > kMaxIdleAccounts) {
    std::erase_if(accounts_, [this](const auto& it) {
      return it.second.queued == 0 &&
             it.second.normalized_service <= virtual_time_;
    });
  }
  Account& account = accounts_[request.account];
  if (account.queued >= settings_.max_queued_per_account) {
    result.refusal = Overloaded("too many requests of this account wait");
    result.retry_after = wait;
    return result;
  }
  if (account.queued == 0)
    account.normalized_service =
        std::max(account.normalized_service, virtual_time_);
  account.weight = request.weight;
  account.queued_tokens += request.tokens;
  ++account.queued;
  ++size_;
  std::deque<QueuedRequest>& queue = account.by_model[request.model];
  queue.push_back(std::move(request));
  if (size_ > settings_.max_queued)
    result.evicted = EvictFromLongestQueue();
  return result;
}

void FairQueue::SubtractQueued(Account& account, const QueuedRequest& request) {
  account.queued_tokens -= request.tokens;
  --account.queued;
  --size_;
}

std::optional<QueuedRequest> FairQueue::EvictFromLongestQueue() {
  Account* longest = nullptr;
  for (auto& [id, it] : accounts_) {
    if (longest == nullptr ||
        it.queued_tokens / it.weight > longest->queued_tokens / longest->weight)
      longest = &it;
  }
  auto queue =
      std::max_element(longest->by_model.begin(), longest->by_model.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.size() < b.second.size();
                       });
  QueuedRequest evicted = std::move(queue->second.back());
  queue->second.pop_back();
  if (queue->second.empty())
    longest->by_model.erase(queue);
  SubtractQueued(*longest, evicted);
  return evicted;
}

void FairQueue::Charge(Account& account, double tokens) {
  account.normalized_service += tokens / account.weight;
}

void FairQueue::MeasureDrainRate(MonoTime now, double tokens) {
  if (size_ == 0) {
    window_start_.reset();
    return;
  }
  if (!window_start_) {
    window_start_ = now;
    window_tokens_ = 0;
  }
  window_tokens_ += tokens;
  const Duration passed = now - *window_start_;
  if (passed < kMeasureWindow)
    return;
  const double rate =
      window_tokens_ / std::chrono::duration<double>(passed).count();
  drain_rate_ += (rate - drain_rate_) * (drain_rate_ > 0 ? kRateGain : 1.0);
  window_start_ = now;
  window_tokens_ = 0;
}

std::optional<QueuedRequest> FairQueue::Pop(MonoTime now,
                                            const HasCapacity& has_capacity) {
  std::vector<Account*> order;
  for (auto& [id, it] : accounts_) {
    if (it.queued > 0)
      order.push_back(&it);
  }
  std::sort(order.begin(), order.end(), [](const Account* a, const Account* b) {
    return a->normalized_service < b->normalized_service;
  });
  for (Account* account : order) {
    auto oldest = account->by_model.end();
    for (auto it = account->by_model.begin(); it != account->by_model.end();
         ++it) {
      const bool older =
          oldest == account->by_model.end() ||
          it->second.front().ticket < oldest->second.front().ticket;
      if (older && has_capacity(it->first))
        oldest = it;
    }
    if (oldest == account->by_model.end())
      continue;
    QueuedRequest request = std::move(oldest->second.front());
    oldest->second.pop_front();
    if (oldest->second.empty())
      account->by_model.erase(oldest);
    SubtractQueued(*account, request);
    virtual_time_ = std::max(virtual_time_, account->normalized_service);
    if (!MutantEnabled("share_uncharged"))
      Charge(*account, request.tokens);
    MeasureDrainRate(now, request.tokens);
    return request;
  }
  return std::nullopt;
}

std::vector<QueuedRequest> FairQueue::TakeExpired(MonoTime now) {
  std::vector<QueuedRequest> expired;
  for (auto& entry : accounts_) {
    Account& account = entry.second;
    for (auto& [model, queue] : account.by_model) {
      std::erase_if(queue, [&](const QueuedRequest& it) {
        if (it.deadline > now)
          return false;
        SubtractQueued(account, it);
        expired.push_back(it);
        return true;
      });
    }
    std::erase_if(account.by_model,
                  [](const auto& it) { return it.second.empty(); });
  }
  return expired;
}

bool FairQueue::Remove(const AccountId& account, std::uint64_t ticket) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end())
    return false;
  for (auto& [model, queue] : found->second.by_model) {
    const auto it = std::find_if(queue.begin(), queue.end(),
                                 [ticket](const QueuedRequest& queued) {
                                   return queued.ticket == ticket;
                                 });
    if (it == queue.end())
      continue;
    SubtractQueued(found->second, *it);
    queue.erase(it);
    std::erase_if(found->second.by_model,
                  [](const auto& entry) { return entry.second.empty(); });
    return true;
  }
  return false;
}

void FairQueue::OnFinished(const QueuedRequest& request, double actual) {
  const auto it = accounts_.find(request.account);
  if (it != accounts_.end())
    Charge(it->second, actual - request.tokens);
}

std::int32_t FairQueue::EnginePriority(const AccountId& account) const {
  const auto it = accounts_.find(account);
  const bool above_share =
      it != accounts_.end() &&
      it->second.normalized_service >
          virtual_time_ + kShareSlackTokens / it->second.weight;
  return above_share ? kPriorityAboveShare : kPriorityWithinShare;
}

}  // namespace mangoport
