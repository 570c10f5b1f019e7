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

/// A request that waits for a backend server with room.
struct QueuedRequest {
  /// Unique, and rising in the order of arrival.
  std::uint64_t ticket = 0;
  AccountId account;
  ModelId model;
  /// Share of the client account under contention.
  double weight = 1;
  /// Tokens that the request is expected to cost.
  double tokens = 1;
  /// When the first token is due.
  MonoTime deadline = MonoTime::max();
};

struct FairQueueSettings {
  std::size_t max_queued = 4096;
  std::size_t max_queued_per_account = 512;
};

/// What became of a pushed request.
struct PushResult {
  /// Set if the request was refused; always `not_run`.
  std::optional<Error> refusal;
  Duration retry_after{};
  /// Pushed out to make room, from the account with the longest queue.
  std::optional<QueuedRequest> evicted;
};

/// Shares an entry host's dispatches among client accounts by tokens.
///
/// Start-time fair queueing: the account that has received the least, by its
/// weight, goes next, and one that was idle starts level with the others. A
/// request that cannot meet its deadline is refused when it arrives, by its own
/// account's wait, so that an account far over its share sheds its own work.
/// Not synchronised.
class FairQueue {
 public:
  using HasRoom = std::function<bool(const ModelId&)>;

  explicit FairQueue(FairQueueSettings settings) : settings_(settings) {}
  FairQueue() : FairQueue(FairQueueSettings{}) {}

  PushResult Push(MonoTime now, QueuedRequest request);

  /// The next request whose model has room, or none.
  std::optional<QueuedRequest> Pop(MonoTime now, const HasRoom& has_room);

  /// Takes out what can no longer meet its deadline.
  std::vector<QueuedRequest> TakeExpired(MonoTime now);

  /// The caller has left; false if the request is not queued.
  bool Remove(const AccountId& account, std::uint64_t ticket);

  /// Corrects the account's charge once its request has used `actual` tokens.
  void OnFinished(const QueuedRequest& request, double actual);

  /// How long a request of `account` would wait now.
  Duration ExpectedWait(const AccountId& account,
                        double weight,
                        double tokens) const;

  /// Priority for the engine: lower for accounts beyond their share.
  std::int32_t EnginePriority(const AccountId& account) const;

  std::size_t size() const { return size_; }

 private:
  struct Account {
    /// Tokens received over weight, on the queue's virtual clock.
    double received = 0;
    double weight = 1;
    double queued_tokens = 0;
    std::size_t queued = 0;
    std::unordered_map<ModelId, std::deque<QueuedRequest>> by_model;
  };

  void Charge(Account& account, double tokens);
  void Measure(MonoTime now, double tokens);
  std::optional<QueuedRequest> EvictFromLongest();
  void Unlink(Account& account, const QueuedRequest& request);

  FairQueueSettings settings_;
  std::unordered_map<AccountId, Account> accounts_;
  std::size_t size_ = 0;
  double virtual_time_ = 0;
  /// Tokens dispatched per second while requests waited; zero if unknown.
  double drain_rate_ = 0;
  double window_tokens_ = 0;
  std::optional<MonoTime> window_start_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_FAIR_QUEUE_H_
