#ifndef MANGOPORT_LEDGER_CONFIG_RULES_H_
#define MANGOPORT_LEDGER_CONFIG_RULES_H_

#include <string>
#include <vector>

#include "mangoport/config.pb.h"
#include "mangoport/ledger/config_view.h"

namespace mangoport {

/// Every item that a change puts or removes.
std::vector<ItemKey> TouchedItems(const wire::ConfigChange& change);

/// Whether a change does nothing but withdraw keys. Such a change can't lose a
/// race: a withdrawal must hold whatever else was published meanwhile.
bool OnlyWithdrawsKeys(const wire::ConfigChange& change);

/// What would be wrong with the configuration after `change`, in plain
/// sentences. The fold refuses a change with problems; `check` and `publish`
/// ask before they append it.
std::vector<std::string> FindProblems(const ItemMap& items,
                                      const wire::ConfigChange& change);

/// Puts and removes the items of a change that has no problems. `offset` is
/// the change's place in the log.
void ApplyChange(const wire::ConfigChange& change,
                 std::uint64_t offset,
                 ItemMap& items);

}  // namespace mangoport

#endif  // MANGOPORT_LEDGER_CONFIG_RULES_H_
