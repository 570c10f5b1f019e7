#ifndef MANGOPORT_MEMBERSHIP_WITHDRAWAL_OVERLAY_H_
#define MANGOPORT_MEMBERSHIP_WITHDRAWAL_OVERLAY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/peer.pb.h"

namespace mangoport {

/// Keys withdrawn by word of an operator before the log says so.
///
/// Entries are only added, until the configuration applied here shows the key
/// as withdrawn itself; no message takes one away. Key ids are never reused.
class WithdrawalOverlay {
 public:
  /// True if the applied configuration shows the key as withdrawn.
  using Recorded = std::function<bool(const KeyId&)>;

  explicit WithdrawalOverlay(Recorded recorded)
      : recorded_(std::move(recorded)) {}

  /// True if this is news. Ignored when the configuration shows it already or
  /// the overlay is full.
  bool Add(const wire::KeyWithdrawal& withdrawal);

  /// True if the key is withdrawn here or in the applied configuration.
  bool IsWithdrawn(const KeyId& key) const;

  /// Drops what the applied configuration shows; called after it has moved.
  void DropRecorded();

  /// Equal for equal sets, whatever the order they came in.
  std::uint64_t digest() const { return digest_; }

  const std::map<KeyId, wire::KeyWithdrawal>& entries() const {
    return entries_;
  }

 private:
  Recorded recorded_;
  std::map<KeyId, wire::KeyWithdrawal> entries_;
  std::uint64_t digest_ = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_MEMBERSHIP_WITHDRAWAL_OVERLAY_H_
