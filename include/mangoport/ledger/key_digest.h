#ifndef MANGOPORT_LEDGER_KEY_DIGEST_H_
#define MANGOPORT_LEDGER_KEY_DIGEST_H_

#include <optional>
#include <string>
#include <string_view>

#include "mangoport/config.pb.h"
#include "mangoport/core/ids.h"

namespace mangoport {

/// The parts of a caller's key, which has the form "mp_<id>_<secret>".
struct CallerKey {
  KeyId id;
  std::string secret;
};

/// Parses a key. Returns std::nullopt if `text` does not have its form.
std::optional<CallerKey> ParseCallerKey(std::string_view text);

/// A new key and its stored form.
struct IssuedKey {
  /// The key for the caller. It is shown to the operator once and never stored.
  std::string text;
  /// The record to publish in the log; holds only a salted digest.
  wire::KeyConfig record;
};

/// Generates a key for `account` from OpenSSL's random number generator.
/// Aborts if that fails.
IssuedKey IssueKey(const AccountId& account);

/// Returns whether `secret` matches the digest in `record`. Compares the
/// digests in constant time.
bool MatchesDigest(std::string_view secret, const wire::KeyConfig& record);

}  // namespace mangoport

#endif  // MANGOPORT_LEDGER_KEY_DIGEST_H_
