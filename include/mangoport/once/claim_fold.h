#ifndef MANGOPORT_ONCE_CLAIM_FOLD_H_
#define MANGOPORT_ONCE_CLAIM_FOLD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/ledger.pb.h"
#include "mangoport/once.pb.h"
#include "mangoport/once/claim_key.h"

namespace mangoport {

/// The response of a backend server, as recorded in the log.
struct RecordedResponse {
  /// HTTP status code.
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;
  /// False if the body was too large to record.
  bool body_kept = true;

  friend bool operator==(const RecordedResponse&,
                         const RecordedResponse&) = default;
};

/// The phase of an idempotency key's request.
enum class ClaimPhase : std::uint8_t {
  /// Not claimed in this generation; the first claim takes the key.
  kFree,
  /// Claimed; the holder may have dispatched the request.
  kClaimed,
  /// The request ran and its response was recorded.
  kDone,
  /// The request was dispatched but its outcome can't be determined.
  kUnknown,
};

/// The state of one key, folded from the claim stream.
struct ClaimState {
  /// Fingerprint of the request that claimed the key.
  RequestFingerprint body;
  /// Number of times the key was released. A request may run only in the
  /// generation in which it arrived.
  std::uint32_t generation = 0;
  /// The holder of the claim, as an index into the fold's table of holders.
  std::uint32_t holder = 0;
  ClaimPhase phase = ClaimPhase::kFree;
  /// HTTP status of the response; set in kDone only.
  std::uint16_t status = 0;
  /// Creation time in seconds since the Unix epoch, or zero if the key contains
  /// no time.
  std::int64_t key_created_s = 0;
  /// Offset of the newest entry that records the key's complete state.
  std::uint64_t recorded_at = 0;
  /// Set in kDone only, while the body is kept in memory.
  std::shared_ptr<const RecordedResponse> response;
};

/// Memory limits of a fold.
struct ClaimFoldLimits {
  /// Total bytes of responses kept for repeated requests. The oldest responses
  /// are evicted first.
  std::size_t response_bytes = std::size_t{8} << 20U;
};

/// Folds one claim stream into the state of its keys.
///
/// A claim reserves a key for its holder, the writer that appended the claim.
/// An outcome records the result of the request, or releases the key for its
/// next generation if the request was not sent. A carry repeats the state of
/// keys before the log drops the original records. A horizon records that all
/// state from entries before an offset has been carried.
///
/// The result depends only on the stream. It does not depend on the time, on
/// the reading host or on whether records were appended more than once. The
/// first claim of a key's generation takes the key; records of older
/// generations are ignored. All folds that are `complete()` at one offset hold
/// the same state, regardless of where they began to read.
class ClaimFold {
 public:
  /// Called after each record that may have changed the state of `key`.
  using ChangeCallback = std::function<void(const ClaimKey& key)>;

  explicit ClaimFold(const ClaimFoldLimits& limits = {}) : limits_(limits) {}

  /// Sets the oldest offset that the log retains. Entries dropped before they
  /// were read make the fold incomplete until a horizon record covers them.
  void NoteFirstRetained(std::uint64_t first_retained);

  /// Folds the entry at `offset`. Ignores it if `offset` is below
  /// `next_offset()`.
  void ReadEntry(std::uint64_t offset,
                 std::string_view payload,
                 const ChangeCallback& on_change);

  /// Returns whether the fold covers every claim in the stream's history. A
  /// host may claim a key, or act on its claim, only if this is true.
  bool complete() const;

  /// Returns the state of `key`, or nullptr if no record names the key.
  const ClaimState* Find(const ClaimKey& key) const;

  /// Erases keys created before `created_before`. Callers must already reject
  /// requests with such keys as too old; otherwise such a request could run
  /// again.
  void DropCreatedBefore(WallTime created_before);

  /// Returns the keys whose complete state was last recorded before `offset`.
  std::vector<ClaimKey> RecordedBefore(std::uint64_t offset) const;

  /// Returns the keys that `holder` has claimed and that have no outcome yet.
  std::vector<ClaimKey> ClaimedBy(const WriterId& holder) const;

  const WriterId& HolderOf(const ClaimState& state) const;

  std::uint64_t next_offset() const { return next_offset_; }
  /// The highest `up_to` of all horizon records read. The state from entries
  /// below it is also recorded in entries at or above it.
  std::uint64_t covered_up_to() const { return covered_up_to_; }
  /// When that horizon record was written, by its writer's clock.
  WallTime covered_at() const { return covered_at_; }
  std::size_t size() const { return states_.size(); }
  std::uint64_t damaged_records() const { return damaged_records_; }

 private:
  void FoldRecord(const wire::Envelope& record,
                  const ChangeCallback& on_change);
  void FoldClaim(const wire::Envelope& record, const ChangeCallback& on_change);
  void FoldOutcome(const wire::Envelope& record,
                   const ChangeCallback& on_change);
  void FoldCarry(const wire::Envelope& record, const ChangeCallback& on_change);
  void FoldHorizon(const wire::Envelope& record);
  void MergeCarried(const wire::CarriedClaim& carried);
  void KeepResponse(const ClaimKey& key,
                    ClaimState* state,
                    const wire::RecordedResponse& response);
  void EvictResponses();
  std::uint32_t HolderIndex(const std::string& name);

  ClaimFoldLimits limits_;
  std::unordered_map<ClaimKey, ClaimState> states_;
  std::vector<WriterId> holders_;
  std::unordered_map<WriterId, std::uint32_t> holder_indexes_;
  std::deque<ClaimKey> responses_oldest_first_;
  std::size_t response_bytes_ = 0;
  bool started_ = false;
  std::uint64_t next_offset_ = 0;
  std::uint64_t missing_below_ = 0;
  std::uint64_t covered_up_to_ = 0;
  WallTime covered_at_;
  std::uint64_t damaged_records_ = 0;
};

/// Encodes a key, a body fingerprint and a generation for a record.
wire::ClaimId ToWire(const ClaimKey& key,
                     const RequestFingerprint& body,
                     std::uint32_t generation,
                     std::int64_t key_created_s);

/// Encodes a response for a record.
wire::RecordedResponse ToWire(const RecordedResponse& response);

/// Encodes `state` for re-appending before the log drops the original records.
wire::CarriedClaim ToCarried(const ClaimFold& fold,
                             const ClaimKey& key,
                             const ClaimState& state);

}  // namespace mangoport

#endif  // MANGOPORT_ONCE_CLAIM_FOLD_H_
