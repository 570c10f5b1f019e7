#ifndef MANGOPORT_LEDGER_CONFIG_RULES_H_
#define MANGOPORT_LEDGER_CONFIG_RULES_H_

#include <string>
#include <vector>

#include "mangoport/config.pb.h"
#include "mangoport/ledger/config_view.h"

namespace mangoport {

/// Returns the key of every item that `change` puts or removes.
std::vector<ItemKey> TouchedItems(const wire::ConfigChange& change);

/// Returns whether `change` only withdraws keys. Such a change is exempt from
/// conflict detection, so that concurrent changes never block a withdrawal.
bool OnlyWithdrawsKeys(const wire::ConfigChange& change);

/// Returns the problems that the configuration would have after `change`, as
/// messages for operators. The fold rejects a change with problems; the
/// commands `check` and `publish` report them before the change is appended.
std::vector<std::string> FindProblems(const ItemMap& items,
                                      const wire::ConfigChange& change);

/// Applies a change that has no problems to `items`. `offset` is the log
/// offset of the change.
void ApplyChange(const wire::ConfigChange& change,
                 std::uint64_t offset,
                 ItemMap& items);

}  // namespace mangoport

#endif  // MANGOPORT_LEDGER_CONFIG_RULES_H_
