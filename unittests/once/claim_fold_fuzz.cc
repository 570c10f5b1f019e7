// Checks that arbitrary bytes in a claim stream are folded without a crash and
// that the resulting state can be encoded as carried claims.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "mangoport/once/claim_fold.h"

// NOLINTNEXTLINE
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using mangoport::ClaimKey;
  mangoport::ClaimFold fold({.response_bytes = 64});
  fold.NoteFirstRetained(0);
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto carry = [&fold](const ClaimKey& key) {
    if (const auto* state = fold.Find(key))
      ToCarried(fold, key, *state).SerializeAsString();
  };
  fold.ReadEntry(0, text.substr(0, size / 2), carry);
  fold.ReadEntry(1, text.substr(size / 2), carry);
  fold.ReadEntry(2, text, carry);
  fold.DropCreatedBefore(mangoport::WallTime(std::chrono::seconds(1000)));
  for (const ClaimKey& it : fold.RecordedBefore(fold.next_offset()))
    carry(it);
  return 0;
}
