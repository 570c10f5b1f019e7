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

/// What a backend server answered, as far as it is recorded.
struct RecordedResponse {
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;
  /// False if the body was too large to record.
  bool body_kept = true;

  friend bool operator==(const RecordedResponse&,
                         const RecordedResponse&) = default;
};

/// Where a key stands.
enum class ClaimPhase : std::uint8_t {
  /// Not run; the next claim of this generation wins.
  kFree,
  /// One holder may dispatch it, and may have done so.
  kClaimed,
  /// Ran, and the response was recorded.
  kDone,
  /// Dispatched, and whether it ran will never be known.
  kUnknown,
};

/// One key as the claim stream tells it.
struct ClaimState {
  BodyFingerprint body;
  /// How often the key was released. Requests that arrived in a generation
  /// can run in no later one.
  std::uint32_t generation = 0;
  /// The holder of the claim, as an index into the fold's names.
  std::uint32_t holder = 0;
  ClaimPhase phase = ClaimPhase::kFree;
  /// Of the response; set in kDone only.
  std::uint16_t status = 0;
  /// Seconds since the epoch, or zero if the key carries no time.
  std::int64_t key_created_s = 0;
  /// The newest entry that states this key in full.
  std::uint64_t stated_at = 0;
  /// Set in kDone only, and while its body is kept.
  std::shared_ptr<const RecordedResponse> response;
};

/// Bounds on what a fold keeps in memory.
struct ClaimFoldLimits {
  /// Sum over the response bodies kept for repeats; the oldest go first.
  std::size_t response_bytes = std::size_t{8} << 20U;
};

/// Folds one claim stream into the state of its keys.
///
/// The verdict on each record depends on the stream alone: not on time, not on
/// who reads, and not on records having been seen only once. Within a
/// generation of a key the first claim wins; a record of an older generation is
/// void. All folds that are `complete()` at one offset agree, wherever they
/// began to read.
class ClaimFold {
 public:
  /// Called after a record that may have changed what is known of `key`.
  using ChangeHook = std::function<void(const ClaimKey& key)>;

  explicit ClaimFold(const ClaimFoldLimits& limits = {}) : limits_(limits) {}

  /// Takes note that the log keeps entries from `first_retained` on. Entries
  /// that were dropped unread make the fold incomplete until a horizon record
  /// covers them.
  void NoteFirstRetained(std::uint64_t first_retained);

  /// Folds the entry at `offset`; one before `next_offset()` is ignored.
  void ReadEntry(std::uint64_t offset,
                 std::string_view payload,
                 const ChangeHook& on_change);

  /// True if no claim that was ever made can be missing. Only then may a claim
  /// be made or acted on.
  bool complete() const;

  /// The state of `key`, or nullptr if the stream has never named it.
  const ClaimState* Find(const ClaimKey& key) const;

  /// Forgets keys that were created before `created_before`. Requests with
  /// such a key must be refused by their age from well before this.
  void DropCreatedBefore(WallTime created_before);

  /// The keys whose newest full statement lies before `offset`.
  std::vector<ClaimKey> StatedBefore(std::uint64_t offset) const;

  /// The keys that `holder` has claimed without an outcome.
  std::vector<ClaimKey> ClaimedBy(const WriterId& holder) const;

  const WriterId& HolderOf(const ClaimState& state) const;

  std::uint64_t next_offset() const { return next_offset_; }
  /// Up to where the newest horizon record has carried everything.
  std::uint64_t covered_up_to() const { return covered_up_to_; }
  /// When that record was written, by its writer's clock.
  WallTime covered_at() const { return covered_at_; }
  std::size_t size() const { return states_.size(); }
  std::uint64_t damaged_records() const { return damaged_records_; }

 private:
  void FoldRecord(const wire::Envelope& record, const ChangeHook& on_change);
  void FoldClaim(const wire::Envelope& record, const ChangeHook& on_change);
  void FoldOutcome(const wire::Envelope& record, const ChangeHook& on_change);
  void FoldCarry(const wire::Envelope& record, const ChangeHook& on_change);
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
  std::deque<ClaimKey> responses_by_age_;
  std::size_t response_bytes_ = 0;
  bool started_ = false;
  std::uint64_t next_offset_ = 0;
  std::uint64_t missing_below_ = 0;
  std::uint64_t covered_up_to_ = 0;
  WallTime covered_at_;
  std::uint64_t damaged_records_ = 0;
};

/// The record form of a key, a body and a generation.
wire::ClaimId ToWire(const ClaimKey& key,
                     const BodyFingerprint& body,
                     std::uint32_t generation,
                     std::int64_t key_created_s);

/// The record form of a response.
wire::RecordedResponse ToWire(const RecordedResponse& response);

/// The record that carries `state` over the log's retention.
wire::CarriedClaim ToCarried(const ClaimFold& fold,
                             const ClaimKey& key,
                             const ClaimState& state);

}  // namespace mangoport

#endif  // MANGOPORT_ONCE_CLAIM_FOLD_H_
