// Any record must come to a value or to a reason why it has none.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "platform/decode.h"

namespace {

template <typename T>
void Check(const T& parsed, std::string& problem) {
  if (!parsed && problem.empty())
    std::abort();
  problem.clear();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace platform = mangoport::platform;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  std::string problem;
  Check(platform::ParseServerEntry("i-1", text, problem), problem);
  Check(platform::ParseEngineReport(text, problem), problem);
  Check(platform::ParseConfig(text, problem), problem);
  Check(platform::ParseNewestPage(text, problem), problem);
  Check(platform::ParseOrderLease(text, problem), problem);
  Check(platform::ParseHostAddress("edge-1", text, problem), problem);
  Check(platform::ParseLogSlice(text, 0, problem), problem);
  return 0;
}
