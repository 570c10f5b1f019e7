#include "mangoport/entryhost/access.h"

#include <optional>

#include "mangoport/ledger/key_digest.h"

namespace mangoport {
namespace {

constexpr std::string_view kBearer = "Bearer ";

Error NotRun(ErrorCode code, const char* message) {
  return {code, message, /*not_run=*/true};
}

bool IsFresh(MonoTime now, const KeyEvidence& evidence) {
  return now - evidence.newest <= evidence.max_staleness;
}

bool IsWithdrawn(const wire::KeyConfig& stored,
                 const KeyId& id,
                 const KeyEvidence& evidence) {
  return stored.withdrawn() ||
         (evidence.withdrawn && evidence.withdrawn->count(id) != 0);
}

}  // namespace

std::variant<Identity, Error> Authenticate(MonoTime now,
                                           const ConfigView& view,
                                           const KeyEvidence& evidence,
                                           std::string_view authorization) {
  if (!authorization.starts_with(kBearer))
    return NotRun(ErrorCode::kUnauthorized, "a key is needed");
  const std::optional<CallerKey> shown =
      ParseCallerKey(authorization.substr(kBearer.size()));
  if (!shown)
    return NotRun(ErrorCode::kUnauthorized, "the key is not valid");
  const wire::KeyConfig* stored = view.FindKey(shown->id);
  if (!stored || IsWithdrawn(*stored, shown->id, evidence) ||
      !MatchesDigest(shown->secret, *stored))
    return NotRun(ErrorCode::kUnauthorized, "the key is not valid");
  if (!IsFresh(now, evidence)) {
    return NotRun(ErrorCode::kUnavailable,
                  "this host has been out of touch for too long to trust keys");
  }
  AccountId account(stored->account());
  if (!view.FindAccount(account))
    return NotRun(ErrorCode::kForbidden, "the client account is closed");
  return Identity{std::move(account), shown->id};
}

bool StillValid(MonoTime now,
                const ConfigView& view,
                const KeyEvidence& evidence,
                const Identity& identity) {
  const wire::KeyConfig* stored = view.FindKey(identity.key);
  return stored && !IsWithdrawn(*stored, identity.key, evidence) &&
         stored->account() == identity.account.value() &&
         IsFresh(now, evidence);
}

}  // namespace mangoport
