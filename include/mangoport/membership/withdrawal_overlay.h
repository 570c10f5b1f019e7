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

/// Keys that an operator has withdrawn but that the log does not yet record as
/// withdrawn.
///
/// An entry is removed only once the applied configuration shows the key as
/// withdrawn; no message removes one. Key ids are never reused.
class WithdrawalOverlay {
 public:
  /// True if the applied configuration shows the key as withdrawn.
  using IsRecorded = std::function<bool(const KeyId&)>;

  explicit WithdrawalOverlay(IsRecorded is_recorded)
      : is_recorded_(std::move(is_recorded)) {}

  /// Adds a withdrawal and returns true if it is new. Ignored if the applied
  /// configuration already shows it or the overlay is full.
  bool Add(const wire::KeyWithdrawal& withdrawal);

  /// True if the key is withdrawn in the overlay or the applied configuration.
  bool IsWithdrawn(const KeyId& key) const;

  /// Removes entries that the applied configuration shows as withdrawn. Call it
  /// after the applied offset has advanced.
  void DropRecorded();

  /// A digest of the keys that does not depend on the order of insertion.
  std::uint64_t digest() const { return digest_; }

  const std::map<KeyId, wire::KeyWithdrawal>& entries() const {
    return entries_;
  }

 private:
  IsRecorded is_recorded_;
  std::map<KeyId, wire::KeyWithdrawal> entries_;
  std::uint64_t digest_ = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_MEMBERSHIP_WITHDRAWAL_OVERLAY_H_
