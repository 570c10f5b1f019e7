#include "mangoport/adapters/json.h"

#include <nlohmann/json.hpp>

namespace mangoport {
namespace {

/// Deeper documents overflow the stack of the library's own functions.
constexpr int kMaxJsonDepth = 64;

}  // namespace

nlohmann::json ParseJson(std::string_view text) {
  bool too_deep = false;
  nlohmann::json value = nlohmann::json::parse(
      text,
      [&too_deep](int depth, nlohmann::json::parse_event_t /*event*/,
                  nlohmann::json& /*parsed*/) {
        too_deep = too_deep || depth > kMaxJsonDepth;
        return !too_deep;
      },
      /*allow_exceptions=*/false);
  return too_deep ? nlohmann::json(nlohmann::json::value_t::discarded) : value;
}

}  // namespace mangoport
