#ifndef MANGOPORT_ROUTING_FAIR_QUEUE_H_
#define MANGOPORT_ROUTING_FAIR_QUEUE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mangoport/core/error.h"
#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// A request that waits for a backend server with free capacity.
struct QueuedRequest {
  /// Unique; increases in the order of arrival.
  std::uint64_t ticket = 0;
  AccountId account;
  ModelId model;
  /// Relative share of the client account under contention.
  double weight = 1;
  /// Expected cost of the request, in tokens.
  double tokens = 1;
  /// When the first token is due.
  MonoTime deadline = MonoTime::max();
};

struct FairQueueSettings {
  std::size_t max_queued = 4096;
  std::size_t max_queued_per_account = 512;
};

/// The result of a push.
struct PushResult {
  /// Set if the request was refused; its `not_run` is always true.
  std::optional<Error> refusal;
  /// Expected wait, if the request was refused.
  Duration retry_after{};
  /// The request that was evicted because the queue was full, from the account
  /// with the longest queue.
  std::optional<QueuedRequest> evicted;
};

/// Divides an entry host's dispatches among client accounts, counted in tokens.
///
/// Uses start-time fair queueing: the next request comes from the account with
/// the least service over its weight, and an account that was idle starts at
/// the current virtual time. A request that cannot meet its deadline is refused
/// on arrival, based on the expected wait of its own account, so that an
/// account far above its share sheds only its own load. Not synchronised.
class FairQueue {
 public:
  using HasCapacity = std::function<bool(const ModelId&)>;

  explicit FairQueue(FairQueueSettings settings) : settings_(settings) {}
  FairQueue() : FairQueue(FairQueueSettings{}) {}

  /// Queues `request`, or refuses it if the expected wait exceeds its deadline
  /// or its account has too many queued requests.
  PushResult Push(MonoTime now, QueuedRequest request);

  /// Removes and returns the next request whose model has free capacity, if
  /// any.
  std::optional<QueuedRequest> Pop(MonoTime now,
                                   const HasCapacity& has_capacity);

  /// Removes and returns the requests whose deadline has passed.
  std::vector<QueuedRequest> TakeExpired(MonoTime now);

  /// Removes the request of a disconnected caller; false if it is not queued.
  bool Remove(const AccountId& account, std::uint64_t ticket);

  /// Replaces the estimated charge of a finished request by its `actual`
  /// tokens.
  void OnFinished(const QueuedRequest& request, double actual);

  /// Expected queueing delay of a new request of `account`; zero if unknown.
  Duration ExpectedWait(const AccountId& account,
                        double weight,
                        double tokens) const;

  /// Priority for the engine: a lower number for accounts above their share.
  std::int32_t EnginePriority(const AccountId& account) const;

  std::size_t size() const { return size_; }

 private:
  struct Account {
    /// Tokens served over weight, in the virtual time of the queue.
    double normalized_service = 0;
    double weight = 1;
    double queued_tokens = 0;
    std::size_t queued = 0;
    std::unordered_map<ModelId, std::deque<QueuedRequest>> by_model;
  };

  /// Adds `tokens` to the service received by the account.
  void Charge(Account& account, double tokens);
  void MeasureDrainRate(MonoTime now, double tokens);
  std::optional<QueuedRequest> EvictFromLongestQueue();
  /// Subtracts `request` from the totals of queued requests and tokens; the
  /// caller removes it from its queue.
  void SubtractQueued(Account& account, const QueuedRequest& request);

  FairQueueSettings settings_;
  std::unordered_map<AccountId, Account> accounts_;
  std::size_t size_ = 0;
  double virtual_time_ = 0;
  /// Tokens dispatched per second while requests waited; zero if unknown.
  double drain_rate_ = 0;
  /// Tokens dispatched since `window_start_`.
  double window_tokens_ = 0;
  std::optional<MonoTime> window_start_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_FAIR_QUEUE_H_
