#ifndef MANGOPORT_ENTRYHOST_CALLER_REQUEST_H_
#define MANGOPORT_ENTRYHOST_CALLER_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "mangoport/core/error.h"
#include "mangoport/core/ids.h"

namespace mangoport {

/// The two shapes in which callers ask for completions.
enum class CompletionShape { kText, kChat };

/// A caller's completion request, checked.
struct CallerCompletion {
  ModelId model;
  AdapterId adapter;
  std::string prompt;
  std::uint32_t max_tokens = 0;
  bool stream = false;
};

/// Parses the JSON body of a completion request. The error names the member
/// that is wrong.
std::variant<CallerCompletion, Error> ParseCompletion(CompletionShape shape,
                                                      std::string_view body);

/// Tokens that a request may use at most: its prompt's, by a rough count of
/// four bytes each, and its answer's.
std::uint64_t WorstCaseTokens(const CallerCompletion& request);

}  // namespace mangoport

#endif  // MANGOPORT_ENTRYHOST_CALLER_REQUEST_H_
