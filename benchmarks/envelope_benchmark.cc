// DEPENDS: ledger
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "mangoport/ledger/envelope.h"

namespace mangoport {
namespace {

/// Measures the time to decode a log entry, by number of records.
void BmReadEntry(benchmark::State& state) {
  RecordWriter writer(WriterId("host-a/1"));
  std::vector<wire::Envelope> records;
  for (int i = 0; i < state.range(0); ++i)
    records.push_back(
        writer.Wrap(wire::RECORD_KIND_AUDIT, std::string(100, 'x')));
  const std::string entry = EncodeBatch(records);
  std::uint64_t seen = 0;
  for (auto it : state) {
    RecordReader reader(
        [&seen](const LogPosition&, const wire::Envelope&) { ++seen; });
    reader.ReadEntry(0, entry);
  }
  state.SetItemsProcessed(static_cast<int64_t>(seen));
}
BENCHMARK(BmReadEntry)->Arg(1)->Arg(16)->Arg(256);

}  // namespace
}  // namespace mangoport

BENCHMARK_MAIN();
