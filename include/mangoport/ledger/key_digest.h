#ifndef MANGOPORT_LEDGER_KEY_DIGEST_H_
#define MANGOPORT_LEDGER_KEY_DIGEST_H_

#include <optional>
#include <string>
#include <string_view>

#include "mangoport/config.pb.h"
#include "mangoport/core/ids.h"

namespace mangoport {

/// A caller's key, taken apart: "mp_<id>_<secret>".
struct CallerKey {
  KeyId id;
  std::string secret;
};

/// Takes a key apart, or nothing if the text has not the form of one.
std::optional<CallerKey> ParseCallerKey(std::string_view text);

struct IssuedKey {
  /// What the operator hands to the caller; it is shown once and kept nowhere.
  std::string text;
  /// What goes into the log.
  wire::KeyConfig record;
};

/// Makes a key for `account` from the system's random source.
IssuedKey IssueKey(const AccountId& account);

/// Whether `secret` is the one whose digest `record` keeps. Takes the same time
/// for every wrong secret.
bool MatchesDigest(std::string_view secret, const wire::KeyConfig& record);

}  // namespace mangoport

#endif  // MANGOPORT_LEDGER_KEY_DIGEST_H_
