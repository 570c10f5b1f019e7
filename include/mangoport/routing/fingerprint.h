#ifndef MANGOPORT_ROUTING_FINGERPRINT_H_
#define MANGOPORT_ROUTING_FINGERPRINT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "mangoport/core/ids.h"

namespace mangoport {

/// Names a request by what it asks, within its client account.
///
/// The account is compared in full, so that no account can craft a request
/// that gets another account's quarantined.
struct Fingerprint {
  AccountId account;
  std::uint64_t hash = 0;

  friend bool operator==(const Fingerprint&, const Fingerprint&) = default;
};

/// What a fingerprint is made of. Request id, idempotency key, sampling
/// parameters and token limit are left out: a caller's repeat may change them.
struct FingerprintInput {
  AccountId account;
  ModelId model;
  AdapterId adapter;
  std::string_view prompt;
};

/// The prompt without ASCII white space, punctuation, control and letter case,
/// and without the zero-width and no-break characters of Unicode.
std::string NormalizePrompt(std::string_view prompt);

Fingerprint FingerprintOf(const FingerprintInput& input);

/// A locality-sensitive digest (SimHash over shingles of the normalised
/// prompt): prompts that share most of their text differ in few bits.
std::uint64_t SketchOf(std::string_view prompt);

/// True if two sketches of one account are likely edits of the same text.
bool AreNear(std::uint64_t a, std::uint64_t b);

}  // namespace mangoport

template <>
struct std::hash<mangoport::Fingerprint> {
  std::size_t operator()(const mangoport::Fingerprint& it) const noexcept {
    return std::hash<mangoport::AccountId>{}(it.account) ^ it.hash;
  }
};

#endif  // MANGOPORT_ROUTING_FINGERPRINT_H_
