#include "mangoport/core/invariant.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace mangoport {
namespace {

InvariantHandler& Handler() {
  static InvariantHandler handler;
  return handler;
}

}  // namespace

void SetInvariantHandler(InvariantHandler handler) {
  Handler() = std::move(handler);
}

void ReportBrokenInvariant(std::string_view name, std::string_view detail) {
  if (Handler()) {
    Handler()(name, detail);
    return;
  }
  std::fprintf(stderr, "invariant broken: %.*s: %.*s\n",
               static_cast<int>(name.size()), name.data(),
               static_cast<int>(detail.size()), detail.data());
  std::abort();
}

}  // namespace mangoport
