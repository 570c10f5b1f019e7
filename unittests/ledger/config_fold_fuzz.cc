// Checks that arbitrary bytes in the log are folded without a crash.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "mangoport/ledger/config_fold.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  mangoport::ConfigFold fold;
  // The second call starts from a non-empty state and has a gap before it.
  fold.ReadEntries(0, {{0, bytes}, {1, bytes}});
  fold.ReadEntries(7, {{7, bytes}});
  mangoport::wire::ConfigSnapshot snapshot;
  if (snapshot.ParseFromArray(data, static_cast<int>(size)))
    fold.LoadSnapshot(snapshot);
  return 0;
}
