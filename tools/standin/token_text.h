#ifndef MANGOPORT_TOOLS_STANDIN_TOKEN_TEXT_H_
#define MANGOPORT_TOOLS_STANDIN_TOKEN_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace mangoport::standin {

/// The text of token `index` of an answer: "w", four hexadecimal digits and a
/// space. It depends on nothing else, so that a test can compute the whole
/// answer and a resumed stream goes on exactly where it stopped.
std::string TokenText(std::string_view model,
                      std::string_view adapter,
                      std::string_view prompt,
                      std::uint64_t index);

}  // namespace mangoport::standin

#endif  // MANGOPORT_TOOLS_STANDIN_TOKEN_TEXT_H_
