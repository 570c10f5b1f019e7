#ifndef MANGOPORT_ROUTING_FINGERPRINT_H_
#define MANGOPORT_ROUTING_FINGERPRINT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "mangoport/core/ids.h"

namespace mangoport {

/// Identifies a request by its content, within its client account.
///
/// The account is compared in full, not by hash, so that no account can craft a
/// request that causes the quarantine of another account's request.
struct Fingerprint {
  AccountId account;
  std::uint64_t hash = 0;

  friend bool operator==(const Fingerprint&, const Fingerprint&) = default;
};

/// The parts of a request that its fingerprint covers. Request id, idempotency
/// key, sampling parameters and token limit are excluded, because a caller may
/// change them when it resends a request.
struct FingerprintInput {
  AccountId account;
  ModelId model;
  AdapterId adapter;
  std::string_view prompt;
};

/// Returns the prompt in lower case, without ASCII white space, punctuation and
/// control characters and without Unicode zero-width and no-break characters.
/// A prompt that consists only of such characters is returned unchanged.
std::string NormalizePrompt(std::string_view prompt);

/// Returns the fingerprint of a request.
Fingerprint FingerprintOf(const FingerprintInput& input);

/// Returns a locality-sensitive digest (SimHash over shingles of the normalised
/// prompt). The digests of prompts that share most of their text differ in few
/// bits.
std::uint64_t SketchOf(std::string_view prompt);

/// True if two sketches of one account likely belong to edits of the same text.
bool AreSimilar(std::uint64_t a, std::uint64_t b);

}  // namespace mangoport

template <>
struct std::hash<mangoport::Fingerprint> {
  std::size_t operator()(const mangoport::Fingerprint& it) const noexcept {
    return std::hash<mangoport::AccountId>{}(it.account) ^ it.hash;
  }
};

#endif  // MANGOPORT_ROUTING_FINGERPRINT_H_
