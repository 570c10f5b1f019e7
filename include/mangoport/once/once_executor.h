#ifndef MANGOPORT_ONCE_ONCE_EXECUTOR_H_
#define MANGOPORT_ONCE_ONCE_EXECUTOR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/ledger/envelope.h"
#include "mangoport/once/claim_fold.h"
#include "mangoport/once/claim_key.h"
#include "mangoport/once/once_answer.h"
#include "mangoport/ports/log_service.h"

namespace mangoport {

/// Limits and timeouts of an OnceExecutor.
struct OnceSettings {
  /// Minimum time between two appends by this executor.
  Duration append_interval = std::chrono::milliseconds(60);
  /// Delay before retrying an append that was refused or not acknowledged.
  Duration append_retry = std::chrono::milliseconds(250);
  /// Time to wait for an appended record to be read back before appending it
  /// again.
  Duration read_back_timeout = std::chrono::seconds(1);
  /// Maximum time that a done or unknown answer is held back until its outcome
  /// is recorded in the log. Normally no caller receives an unrecorded outcome.
  Duration outcome_wait = std::chrono::milliseconds(500);
  /// Maximum time a caller waits for its key to be claimed.
  Duration claim_wait = std::chrono::seconds(3);
  /// Maximum time a caller waits, even if its own deadline is later.
  Duration max_wait = std::chrono::seconds(20);
  /// Maximum number of claims and outcomes in one entry.
  std::size_t max_batch_records = 256;
  /// Size of claims and outcomes, in bytes, from which no more are added to an
  /// entry. Applies separately to carried claims.
  std::size_t max_batch_bytes = std::size_t{256} << 10U;
  /// Maximum size of a recorded response body, in bytes. Larger bodies are not
  /// available to repeated requests.
  std::size_t max_recorded_body = std::size_t{32} << 10U;
  /// Maximum age of a key that contains its creation time.
  Duration max_key_age = std::chrono::hours(24);
  /// Maximum clock difference between two hosts, and between a host and a
  /// caller. A key is erased once its age exceeds `max_key_age` plus twice this
  /// time.
  Duration max_clock_skew = std::chrono::hours(1);
  /// How often all keys are carried, that is, appended again. Must be well
  /// below the log's retention time.
  Duration carry_interval = std::chrono::hours(4);
  /// Extra delay of this host, in thousandths of `carry_interval`, so that the
  /// hosts do not all carry at the same time.
  std::uint32_t carry_jitter_permille = 0;
  /// How often expired keys are erased.
  Duration sweep_interval = std::chrono::minutes(10);
  ClaimFoldLimits fold;
};

/// A non-idempotent request.
struct OnceRequest {
  RequestId id;
  ClaimKey key;
  RequestFingerprint body;
  /// Set if the idempotency key contains its creation time.
  std::optional<WallTime> key_created;
  MonoTime deadline;
};

/// Tells the caller of `TakeActions` to send the request to a backend server
/// once, over a new connection and without retries at lower layers.
struct DispatchAction {
  RequestId request;
  ClaimKey key;
  std::uint32_t generation = 0;
};

using OnceAction = std::variant<DispatchAction, OnceAnswer>;

/// The result of a dispatch.
struct DispatchResult {
  enum class Kind {
    /// A complete response was received.
    kDone,
    /// No byte of the request was sent, and none will be.
    kNotSent,
    /// Any other result; the request may have run.
    kUnknown,
  };
  Kind kind = Kind::kUnknown;
  /// Set for kDone.
  RecordedResponse response;
};

/// Runs the requests of one claim stream at most once each, on one host.
///
/// Only the host whose claim is the first of the key's generation in the log
/// dispatches the request, and only after it has read that claim back. A claim
/// is released only by its holder's record that no byte was sent; it has no
/// timeout after which another host could dispatch. Append results only affect
/// when records are appended again. The executor treats a record as appended
/// only after it has read the record back.
///
/// Not thread-safe; a host protects each partition's executor with a lock.
class OnceExecutor {
 public:
  /// `self` must be unique across all hosts and process restarts. A restarted
  /// process that reused a name would release the claims of the previous
  /// process, whose requests may have run.
  OnceExecutor(WriterId self, const OnceSettings& settings);

  /// Accepts a request. `TakeActions` later returns exactly one OnceAnswer for
  /// it.
  void OnRequest(MonoTime now, WallTime wall, const OnceRequest& request);

  /// Processes a page of the log read from `next_offset()`.
  void OnPage(MonoTime now, const LogPage& page);

  /// Reports the result of a DispatchAction.
  void OnDispatchResult(MonoTime now,
                        const ClaimKey& key,
                        const DispatchResult& result);

  /// Returns the next entry to append, if one is due and no append is in
  /// progress. The caller must report its result to `OnAppendResult`.
  std::optional<std::string> TakeBatch(MonoTime now, WallTime wall);

  /// Reports the result of appending the entry from `TakeBatch`.
  void OnAppendResult(MonoTime now, AppendStatus status);

  /// Answers requests whose deadline has passed. Must be called every few
  /// milliseconds.
  void OnTick(MonoTime now, WallTime wall);

  /// Returns the pending actions in order and clears them.
  std::vector<OnceAction> TakeActions();

  std::uint64_t next_offset() const { return fold_.next_offset(); }
  const ClaimFold& fold() const { return fold_; }
  /// Number of keys with a waiting caller, a dispatch in progress or an
  /// unrecorded outcome.
  std::size_t open_keys() const { return open_.size(); }
  /// Number of keys whose outcome is known to this host but not yet in the log.
  std::size_t unrecorded_outcomes() const;

 private:
  enum class Phase {
    /// Waits for the outcome of another holder's claim.
    kFollowing,
    /// Waits for its own claim to be appended and read back.
    kClaiming,
    /// Holds the claim; the request was dispatched.
    kDispatched,
    /// Holds the claim; the outcome is known but not yet in the log.
    kResolved,
  };

  struct Waiter {
    RequestId id;
    RequestFingerprint body;
    /// The key's generation when the request arrived.
    std::uint32_t generation = 0;
    MonoTime deadline;
    MonoTime claim_deadline;
  };

  /// A key with waiting callers or with a record to append.
  struct OpenKey {
    Phase phase = Phase::kFollowing;
    std::uint32_t generation = 0;
    RequestFingerprint body;
    std::int64_t key_created_s = 0;
    std::vector<Waiter> waiters;
    wire::OutcomeKind outcome = wire::OUTCOME_KIND_UNSPECIFIED;
    std::shared_ptr<const RecordedResponse> response;
    MonoTime resolved_at;
    MonoTime resend_after;
    bool queued = false;
  };

  /// Progress of re-appending the state of every key last recorded before
  /// `up_to`.
  struct Carry {
    std::uint64_t up_to = 0;
    std::vector<ClaimKey> keys;
    /// Index of the first key that is not yet read back from its new entry.
    std::size_t first = 0;
    MonoTime resend_after;
  };

  using OpenKeys = std::unordered_map<ClaimKey, OpenKey>;

  bool IsKeyOutOfDate(WallTime wall, const OnceRequest& request) const;
  bool AnswerImmediately(const OnceRequest& request, const ClaimState* state);
  void StartClaim(MonoTime now,
                  const OnceRequest& request,
                  std::uint32_t generation,
                  OpenKey* open);
  void OnKeyChanged(MonoTime now, const ClaimKey& key);
  void OnBecameComplete(MonoTime now);
  void OnClaimWon(MonoTime now, const ClaimKey& key, const ClaimState& state);
  void Dispatch(const ClaimKey& key, OpenKey* open, const Waiter& waiter);
  void Resolve(MonoTime now,
               const ClaimKey& key,
               OpenKey* open,
               wire::OutcomeKind outcome);
  void AnswerFromLog(const ClaimState& state, OpenKey* open);
  std::optional<OnceAnswerKind> AnswerKindFromLog(const ClaimState& state,
                                                  const Waiter& waiter) const;
  void AnswerFromOutcome(MonoTime now, OpenKey* open);
  void AnswerExpired(MonoTime now, const ClaimKey& key, OpenKey* open);
  void Answer(const RequestId& id,
              OnceAnswerKind kind,
              std::uint16_t status = 0,
              std::shared_ptr<const RecordedResponse> response = nullptr);
  bool IsIdle(const OpenKey& open) const;
  bool HoldsClaim(const ClaimState& state) const;
  void Enqueue(const ClaimKey& key, OpenKey* open);
  bool NeedsAppend(const OpenKey& open) const;
  void TakeOwnRecords(MonoTime now, std::vector<wire::Envelope>* records);
  wire::Envelope MakeOwnRecord(const ClaimKey& key, const OpenKey& open);
  void StartCarryIfDue(WallTime wall);
  void TakeCarry(MonoTime now,
                 WallTime wall,
                 std::vector<wire::Envelope>* records);
  bool IsCarried(const ClaimKey& key) const;
  wire::RequestCarry NextCarryChunk() const;

  OnceSettings settings_;
  RecordWriter writer_;
  ClaimFold fold_;
  OpenKeys open_;
  std::deque<ClaimKey> outbox_;
  std::vector<ClaimKey> in_flight_;
  bool append_in_progress_ = false;
  MonoTime next_append_;
  std::optional<Carry> carry_;
  std::optional<WallTime> first_carry_wait_start_;
  MonoTime next_sweep_;
  std::vector<OnceAction> actions_;
};

/// Encodes an entry by which an operator declares that the entries before
/// `up_to` may be disregarded. It reopens a stream whose entries were dropped
/// while no remaining host had read them. Requests whose keys were recorded
/// only in those entries can run again.
std::string EncodeOperatorHorizon(const WriterId& operator_name,
                                  std::uint64_t up_to,
                                  WallTime wall);

}  // namespace mangoport

#endif  // MANGOPORT_ONCE_ONCE_EXECUTOR_H_
