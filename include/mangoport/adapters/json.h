#ifndef MANGOPORT_ADAPTERS_JSON_H_
#define MANGOPORT_ADAPTERS_JSON_H_

#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace mangoport {

/// Parses JSON of at most 64 levels; the value is discarded if the text is
/// malformed or deeper.
nlohmann::json ParseJson(std::string_view text);

}  // namespace mangoport

#endif  // MANGOPORT_ADAPTERS_JSON_H_
