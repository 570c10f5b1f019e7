#include "tools/standin/token_text.h"

#include <xxhash.h>

#include <cstdio>

namespace mangoport::standin {

std::string TokenText(std::string_view model,
                      std::string_view adapter,
                      std::string_view prompt,
                      std::uint64_t index) {
  std::string text(model);
  text.append(1, '\n').append(adapter).append(1, '\n').append(prompt);
  const XXH64_hash_t hash = XXH64(text.data(), text.size(), index);
  char buf[8];
  std::snprintf(buf, sizeof(buf), "w%04x ",
                static_cast<unsigned>(hash & 0xffffU));
  return buf;
}

}  // namespace mangoport::standin
