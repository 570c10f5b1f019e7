// Any text must come to settings or to findings with their places.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "mangoport/settings/fleet_file.h"
#include "mangoport/settings/host_settings.h"
#include "mangoport/settings/operator_settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  mangoport::Findings findings;
  mangoport::ParseHostSettings(text, "host.toml", findings);
  mangoport::ParseOperatorSettings(text, "operator.toml", findings);
  mangoport::ParseFleetFile(text, "fleet.toml", findings);
  for (const mangoport::Finding& it : findings) {
    if (it.message.empty())
      std::abort();
  }
  return 0;
}
