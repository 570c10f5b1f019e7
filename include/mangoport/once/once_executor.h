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

/// Bounds and waits of an OnceExecutor.
struct OnceSettings {
  /// Least time between two appends to the stream.
  Duration append_interval = std::chrono::milliseconds(60);
  /// Wait before what the log refused, or did not answer, is appended again.
  Duration append_retry = std::chrono::milliseconds(250);
  /// Wait for an appended record to be read back before it is appended again.
  Duration read_back_wait = std::chrono::seconds(1);
  /// How long an outcome is withheld from its callers so that it is recorded
  /// before they hear it.
  Duration outcome_wait = std::chrono::milliseconds(500);
  /// How long a caller waits for its key to be claimed.
  Duration claim_wait = std::chrono::seconds(3);
  /// Longest a caller waits, whatever its own deadline.
  Duration max_wait = std::chrono::seconds(20);
  std::size_t max_batch_records = 256;
  std::size_t max_batch_bytes = std::size_t{256} << 10U;
  /// Larger response bodies are not recorded for repeats.
  std::size_t max_recorded_body = std::size_t{32} << 10U;
  /// A key that carries its time is refused when older than this.
  Duration max_key_age = std::chrono::hours(24);
  /// Bound on the difference between any two hosts' clocks, and between a
  /// host's and a caller's. A key is forgotten twice this after its age limit.
  Duration max_clock_skew = std::chrono::hours(1);
  /// How often all keys are carried forward; well under the log's retention.
  Duration carry_interval = std::chrono::hours(4);
  /// Share of the interval, in thousandths, that this host waits on top, so
  /// that hosts do not all carry at once.
  std::uint32_t carry_jitter_permille = 0;
  /// How often keys past their age are looked for and forgotten.
  Duration sweep_interval = std::chrono::minutes(10);
  ClaimFoldLimits fold;
};

/// A request that may not be repeated.
struct OnceRequest {
  RequestId id;
  ClaimKey key;
  BodyFingerprint body;
  /// Set if the idempotency key carries its time of creation.
  std::optional<WallTime> key_created;
  MonoTime deadline;
};

/// Send the request to a backend server, now and once: over a connection opened
/// for it, with no retry below.
struct DispatchAction {
  RequestId request;
  ClaimKey key;
  std::uint32_t generation = 0;
};

using OnceAction = std::variant<DispatchAction, OnceAnswer>;

/// What became of a dispatch.
struct DispatchResult {
  enum class Kind {
    /// A whole response came.
    kDone,
    /// No byte has left, and none can any more.
    kNotSent,
    /// Anything else.
    kUnknown,
  };
  Kind kind = Kind::kUnknown;
  /// Set for kDone.
  RecordedResponse response;
};

/// Runs the requests of one claim stream at most once each, on one host.
///
/// A request is dispatched only by the host whose claim is the first of the
/// key's generation in the log, after that host has read it back there. Nothing
/// frees a claim but its own holder's record that no byte has left; no wait,
/// however long, makes another host dispatch. Append answers serve only to pace
/// appends: what is in the log is learned by reading it.
///
/// Not thread-safe; a host guards each partition's executor by its own lock.
class OnceExecutor {
 public:
  /// `self` must never have been used before, on any host: a restarted process
  /// that took its predecessor's name would free its predecessor's claims.
  OnceExecutor(WriterId self, const OnceSettings& settings);

  void OnRequest(MonoTime now, WallTime wall, const OnceRequest& request);

  /// Takes a page that was read from `next_offset()`.
  void OnPage(MonoTime now, const LogPage& page);

  void OnDispatchResult(MonoTime now,
                        const ClaimKey& key,
                        const DispatchResult& result);

  /// The next entry to append, if one is due and none is under way. It must be
  /// followed by `OnAppendResult`.
  std::optional<std::string> TakeBatch(MonoTime now, WallTime wall);

  void OnAppendResult(MonoTime now, AppendStatus status);

  /// Answers those whose time is up. To be called every few milliseconds.
  void OnTick(MonoTime now, WallTime wall);

  /// What is to be done, in order.
  std::vector<OnceAction> TakeActions();

  std::uint64_t next_offset() const { return fold_.next_offset(); }
  const ClaimFold& fold() const { return fold_; }
  std::size_t open_keys() const { return open_.size(); }
  /// Keys whose outcome is known here and not yet in the log.
  std::size_t unrecorded_outcomes() const;

 private:
  enum class Phase {
    /// Waits for what another holder's claim leads to.
    kFollowing,
    /// Wants the claim.
    kClaiming,
    /// Holds the claim; the request has been sent.
    kDispatched,
    /// Holds the claim and knows the outcome, which is not yet in the log.
    kResolved,
  };

  struct Waiter {
    RequestId id;
    BodyFingerprint body;
    /// The key's generation when the request arrived.
    std::uint32_t generation = 0;
    MonoTime deadline;
    MonoTime claim_by;
  };

  /// A key with callers that wait or a record that must be appended.
  struct OpenKey {
    Phase phase = Phase::kFollowing;
    std::uint32_t generation = 0;
    BodyFingerprint body;
    std::int64_t key_created_s = 0;
    std::vector<Waiter> waiters;
    wire::OutcomeKind outcome = wire::OUTCOME_KIND_UNSPECIFIED;
    std::shared_ptr<const RecordedResponse> response;
    MonoTime resolved_at;
    MonoTime resend_after;
    bool queued = false;
  };

  /// A run of carrying every key's state past the log's retention.
  struct Carry {
    std::uint64_t up_to = 0;
    std::vector<ClaimKey> keys;
    std::size_t first = 0;
    MonoTime resend_after;
  };

  using OpenKeys = std::unordered_map<ClaimKey, OpenKey>;

  bool IsKeyOutOfDate(WallTime wall, const OnceRequest& request) const;
  bool AnswerAtOnce(const OnceRequest& request, const ClaimState* state);
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
  std::optional<OnceAnswerKind> VerdictFromLog(const ClaimState& state,
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
  bool WantsAppend(const OpenKey& open) const;
  void TakeOwnRecords(MonoTime now, std::vector<wire::Envelope>* records);
  wire::Envelope OwnRecord(const ClaimKey& key, const OpenKey& open);
  void StartCarryIfDue(WallTime wall);
  void TakeCarry(MonoTime now,
                 WallTime wall,
                 std::vector<wire::Envelope>* records);
  bool IsCarried(const ClaimKey& key) const;
  wire::RequestCarry NextCarried() const;

  OnceSettings settings_;
  RecordWriter writer_;
  ClaimFold fold_;
  OpenKeys open_;
  std::deque<ClaimKey> outbox_;
  std::vector<ClaimKey> in_flight_;
  bool append_under_way_ = false;
  MonoTime next_append_;
  std::optional<Carry> carry_;
  std::optional<WallTime> first_carry_from_;
  MonoTime next_sweep_;
  std::vector<OnceAction> actions_;
};

/// The entry by which an operator declares that nothing before `up_to` matters
/// any more. It reopens a stream whose entries were dropped with no host left
/// that had read them; keys that only those entries named can run again.
std::string EncodeOperatorHorizon(const WriterId& operator_name,
                                  std::uint64_t up_to,
                                  WallTime wall);

}  // namespace mangoport

#endif  // MANGOPORT_ONCE_ONCE_EXECUTOR_H_
