// Any body must come to a checked request or to an error.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <variant>

#include "mangoport/entryhost/caller_request.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view body(reinterpret_cast<const char*>(data), size);
  for (const auto shape :
       {mangoport::CompletionShape::kText, mangoport::CompletionShape::kChat}) {
    const auto parsed = mangoport::ParseCompletion(shape, body);
    const auto* error = std::get_if<mangoport::Error>(&parsed);
    if (error && !error->not_run)
      std::abort();
  }
  return 0;
}
