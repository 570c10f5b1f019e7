// DEPENDS: ledger
#include <malloc.h>

#include <memory>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "mangoport/ledger/config_fold.h"
#include "mangoport/ledger/key_digest.h"

namespace mangoport {
namespace {

std::string EncodeEntry(RecordWriter& writer,
                        const wire::ConfigChange& change) {
  return EncodeBatch({writer.Wrap(wire::RECORD_KIND_CONFIG_CHANGE,
                                  change.SerializeAsString())});
}

/// Returns a change that puts a template and `accounts` client accounts, each
/// with a key.
wire::ConfigChange MakeInitialChange(std::int64_t accounts) {
  wire::ConfigChange change;
  wire::TemplateConfig* item = change.add_puts()->mutable_template_item();
  item->set_name("standard");
  item->set_rate(100);
  item->set_burst(1000);
  item->set_weight(1);
  item->add_models("*");
  for (std::int64_t i = 0; i < accounts; ++i) {
    const std::string name = "account-" + std::to_string(i);
    wire::AccountConfig* account = change.add_puts()->mutable_account();
    account->set_name(name);
    account->set_template_name("standard");
    wire::KeyConfig* key = change.add_puts()->mutable_key();
    key->set_id("key-" + std::to_string(i));
    key->set_account(name);
    key->set_salt(std::string(16, 's'));
    key->set_digest(std::string(32, 'd'));
  }
  return change;
}

/// Measures the time to fold and apply one change, by number of items.
void BmFoldChange(benchmark::State& state) {
  RecordWriter writer(WriterId("operator/bench"));
  ConfigFold fold;
  const std::string first =
      EncodeEntry(writer, MakeInitialChange(state.range(0) / 2));
  fold.ReadEntries(0, {{0, first}});
  std::uint64_t offset = 1;
  std::size_t bytes = 0;
  for (auto it : state) {
    state.PauseTiming();
    wire::ConfigChange change;
    change.set_based_on(offset);
    wire::AccountConfig* account = change.add_puts()->mutable_account();
    account->set_name("account-1");
    account->set_template_name("standard");
    account->set_rate(static_cast<double>(offset));
    const std::string entry = EncodeEntry(writer, change);
    bytes += entry.size();
    state.ResumeTiming();
    fold.ReadEntries(0, {{offset, entry}});
    ++offset;
  }
  state.counters["entry_bytes"] =
      static_cast<double>(bytes) / static_cast<double>(offset - 1);
}
BENCHMARK(BmFoldChange)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10000)
    ->Arg(30000)
    ->Unit(benchmark::kMicrosecond)
    ->Iterations(50);

/// Measures the heap and snapshot size of the state, by number of items.
void BmStateSize(benchmark::State& state) {
  RecordWriter writer(WriterId("operator/bench"));
  const std::string first =
      EncodeEntry(writer, MakeInitialChange(state.range(0) / 2));
  std::size_t snapshot_bytes = 0;
  std::size_t heap_bytes = 0;
  for (auto it : state) {
    const std::size_t before = mallinfo2().uordblks;
    auto fold = std::make_unique<ConfigFold>();
    fold->ReadEntries(0, {{0, first}});
    heap_bytes = mallinfo2().uordblks - before;
    snapshot_bytes = fold->MakeSnapshot().ByteSizeLong();
  }
  const auto n = static_cast<double>(state.range(0));
  state.counters["heap_bytes_per_item"] = static_cast<double>(heap_bytes) / n;
  state.counters["snapshot_bytes_per_item"] =
      static_cast<double>(snapshot_bytes) / n;
}
BENCHMARK(BmStateSize)->Arg(1000)->Arg(10000)->Arg(30000)->Iterations(1);

/// Measures the time to check one caller's key, by number of items.
void BmCheckKey(benchmark::State& state) {
  RecordWriter writer(WriterId("operator/bench"));
  ConfigFold fold;
  wire::ConfigChange change = MakeInitialChange(state.range(0) / 2);
  const IssuedKey issued = IssueKey(AccountId("account-1"));
  *change.add_puts()->mutable_key() = issued.record;
  const std::string entry = EncodeEntry(writer, change);
  fold.ReadEntries(0, {{0, entry}});
  for (auto it : state) {
    const std::optional<CallerKey> key = ParseCallerKey(issued.text);
    const wire::KeyConfig* stored = fold.view()->FindKey(key->id);
    benchmark::DoNotOptimize(MatchesDigest(key->secret, *stored));
  }
}
BENCHMARK(BmCheckKey)->Arg(1000)->Arg(30000);

}  // namespace
}  // namespace mangoport

BENCHMARK_MAIN();
