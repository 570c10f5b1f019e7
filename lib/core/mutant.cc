#include "mangoport/core/mutant.h"

#ifdef MANGOPORT_MUTANTS

#include <string>

namespace mangoport {
namespace {

std::string& Enabled() {
  static std::string name;
  return name;
}

}  // namespace

void EnableMutant(std::string_view name) {
  Enabled() = name;
}

bool MutantEnabled(std::string_view name) {
  return Enabled() == name;
}

}  // namespace mangoport

#endif
