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

/// The first 128 bits of a SHA-256 digest.
struct Digest128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const Digest128&, const Digest128&) = default;
};

/// Identifies a request by client account and idempotency key. The account is
/// included so that accounts never see each other's outcomes.
struct ClaimKey {
  Digest128 digest;

  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

/// Digest of a request's method, target and body. Reuse of a key with another
/// fingerprint is a conflict.
struct RequestFingerprint {
  Digest128 digest;

  friend auto operator<=>(const RequestFingerprint&,
                          const RequestFingerprint&) = default;
};

/// Returns the digest of the client account and the idempotency key.
ClaimKey MakeClaimKey(const AccountId& account,
                      std::string_view idempotency_key);

RequestFingerprint MakeRequestFingerprint(std::string_view method,
                                          std::string_view target,
                                          std::string_view body);

/// Number of claim streams. It is not configurable: hosts with different values
/// could claim the same key in two streams.
inline constexpr std::uint32_t kClaimPartitions = 1;

/// Returns the partition of `key`, below kClaimPartitions.
std::uint32_t PartitionOf(const ClaimKey& key);

/// Returns the name of a partition's stream, "claims.<partition>".
StreamId ClaimStream(std::uint32_t partition);

/// Returns the creation time of a UUID version 7 key, which contains a
/// timestamp, or std::nullopt for other keys.
std::optional<WallTime> KeyCreatedAt(std::string_view idempotency_key);

/// Maximum length of an idempotency key, in bytes.
inline constexpr std::size_t kMaxIdempotencyKeyBytes = 200;

/// Returns whether the key is non-empty, not too long and printable ASCII.
bool IsValidIdempotencyKey(std::string_view idempotency_key);

}  // namespace mangoport

template <>
struct std::hash<mangoport::ClaimKey> {
  std::size_t operator()(const mangoport::ClaimKey& key) const noexcept {
    return static_cast<std::size_t>(key.digest.low);
  }
};

#endif  // MANGOPORT_ONCE_CLAIM_KEY_H_
