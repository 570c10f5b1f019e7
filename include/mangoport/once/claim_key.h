#ifndef MANGOPORT_ONCE_CLAIM_KEY_H_
#define MANGOPORT_ONCE_CLAIM_KEY_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// The first 128 bits of a SHA-256.
struct Digest128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const Digest128&, const Digest128&) = default;
};

/// Names one request for good: client account and idempotency key together, so
/// that no client account can meet another one's outcomes.
struct ClaimKey {
  Digest128 digest;

  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

/// What was asked under a key; the same key with another fingerprint is a
/// conflict.
struct BodyFingerprint {
  Digest128 digest;

  friend auto operator<=>(const BodyFingerprint&,
                          const BodyFingerprint&) = default;
};

ClaimKey MakeClaimKey(const AccountId& account,
                      std::string_view idempotency_key);

BodyFingerprint MakeBodyFingerprint(std::string_view method,
                                    std::string_view target,
                                    std::string_view body);

/// How many claim streams there are. Two hosts that disagree on it would claim
/// one key in two streams, so it is no setting.
inline constexpr std::uint32_t kClaimPartitions = 1;

/// The stream of claims that `key` belongs to, below kClaimPartitions.
std::uint32_t PartitionOf(const ClaimKey& key);

/// "claims.<partition>"
StreamId ClaimStream(std::uint32_t partition);

/// When the caller made the key, if the key is a UUID of version 7, which
/// carries its time; otherwise nothing.
std::optional<WallTime> KeyCreatedAt(std::string_view idempotency_key);

/// Longest idempotency key taken, in bytes.
inline constexpr std::size_t kMaxIdempotencyKeyBytes = 200;

/// True if the key is not empty, not too long and of printable ASCII.
bool IsValidIdempotencyKey(std::string_view idempotency_key);

}  // namespace mangoport

template <>
struct std::hash<mangoport::ClaimKey> {
  std::size_t operator()(const mangoport::ClaimKey& key) const noexcept {
    return static_cast<std::size_t>(key.digest.low);
  }
};

#endif  // MANGOPORT_ONCE_CLAIM_KEY_H_
