#ifndef MANGOPORT_ENTRYHOST_ACCESS_H_
#define MANGOPORT_ENTRYHOST_ACCESS_H_

#include <memory>
#include <set>
#include <string_view>
#include <variant>

#include "mangoport/core/error.h"
#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/ledger/config_view.h"

namespace mangoport {

/// The client account that a key opened. The key itself goes no further.
struct Identity {
  AccountId account;
  KeyId key;
};

/// How fresh the configuration is that keys are judged by.
struct KeyEvidence {
  MonoTime newest;
  Duration max_staleness{};
  /// Keys that an operator has withdrawn directly, beside the configuration.
  std::shared_ptr<const std::set<KeyId>> withdrawn;
};

/// Finds the client account of an "Authorization" header's value, or says why
/// there is none.
std::variant<Identity, Error> Authenticate(MonoTime now,
                                           const ConfigView& view,
                                           const KeyEvidence& evidence,
                                           std::string_view authorization);

/// Whether a key that opened a request earlier still does. Running streams ask
/// before each token that they hand on.
bool StillValid(MonoTime now,
                const ConfigView& view,
                const KeyEvidence& evidence,
                const Identity& identity);

}  // namespace mangoport

#endif  // MANGOPORT_ENTRYHOST_ACCESS_H_
