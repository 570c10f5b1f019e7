#include "mangoport/membership/withdrawal_overlay.h"

#include <string>
#include <utility>

#include <xxhash.h>

#include "mangoport/core/invariant.h"
#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

/// Bounds memory and message sizes. Operators withdraw only a few keys at a
/// time.
constexpr std::size_t kMaxEntries = 4096;

std::uint64_t DigestOf(const KeyId& key) {
  return XXH64(key.value().data(), key.value().size(), 0);
}

}  // namespace

bool WithdrawalOverlay::Add(const wire::KeyWithdrawal& withdrawal) {
  const KeyId key(withdrawal.key());
  if (key.empty() || is_recorded_(key) || entries_.size() >= kMaxEntries)
    return false;
  if (!entries_.emplace(key, withdrawal).second)
    return false;
  digest_ ^= DigestOf(key);
  return true;
}

bool WithdrawalOverlay::IsWithdrawn(const KeyId& key) const {
  return entries_.count(key) != 0 || is_recorded_(key);
}

void WithdrawalOverlay::DropRecorded() {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool recorded = is_recorded_(it->first);
    if (!recorded && !MutantEnabled("withdrawal_dropped_early")) {
      ++it;
      continue;
    }
    CheckInvariant(recorded, "a withdrawal is kept until the log records it",
                   [&it] { return "key id " + it->first.value(); });
    digest_ ^= DigestOf(it->first);
    it = entries_.erase(it);
  }
}

}  // namespace mangoport
