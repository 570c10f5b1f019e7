#ifndef MANGOPORT_CORE_MUTANT_H_
#define MANGOPORT_CORE_MUTANT_H_

#include <string_view>

namespace mangoport {

#ifdef MANGOPORT_MUTANTS

/// Turns one planted fault on for the rest of the process.
void EnableMutant(std::string_view name);

/// True if the planted fault `name` is on.
bool MutantEnabled(std::string_view name);

#else

/// Planted faults exist only in the build that proves that soaks catch them.
constexpr bool MutantEnabled(std::string_view /*name*/) {
  return false;
}

#endif

}  // namespace mangoport

#endif  // MANGOPORT_CORE_MUTANT_H_
