// DEPENDS: once
#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include <benchmark/benchmark.h>

#include "mangoport/once/once_executor.h"

namespace mangoport {
namespace {

constexpr std::size_t kRecordsPerEntry = 256;
constexpr std::size_t kResponseBytes = 200;

ClaimKey MakeKey(std::uint64_t n) {
  return MakeClaimKey(AccountId("gallery"), "key-" + std::to_string(n));
}

/// Encodes entries with claims of `keys` keys and, if `outcomes` is set, with
/// their outcomes.
std::vector<std::string> EncodeEntries(std::uint64_t keys, bool outcomes) {
  RecordWriter writer(WriterId("host-17/0123456789abcdef"));
  std::vector<std::string> entries;
  std::vector<wire::Envelope> records;
  for (std::uint64_t i = 0; i < keys; ++i) {
    wire::RequestClaim claim;
    *claim.mutable_id() = ToWire(MakeKey(i), {}, 0, 0);
    records.push_back(writer.Wrap(wire::RECORD_KIND_REQUEST_CLAIM,
                                  claim.SerializeAsString()));
    if (outcomes) {
      wire::RequestOutcome outcome;
      *outcome.mutable_id() = claim.id();
      outcome.set_kind(wire::OUTCOME_KIND_DONE);
      *outcome.mutable_response() =
          ToWire({200, "text/plain", std::string(kResponseBytes, 'x'), true});
      records.push_back(writer.Wrap(wire::RECORD_KIND_REQUEST_OUTCOME,
                                    outcome.SerializeAsString()));
    }
    if (records.size() >= kRecordsPerEntry || i + 1 == keys) {
      entries.push_back(EncodeBatch(records));
      records.clear();
    }
  }
  return entries;
}

void FoldEntries(const std::vector<std::string>& entries, ClaimFold* fold) {
  fold->NoteFirstRetained(0);
  for (std::uint64_t i = 0; i < entries.size(); ++i)
    fold->ReadEntry(i, entries[i], [](const ClaimKey&) {});
}

/// Measures the time to fold a claim, or a claim and its outcome, and the
/// memory per key, by number of keys.
void BmFoldClaims(benchmark::State& state) {
  const auto keys = static_cast<std::uint64_t>(state.range(0));
  const std::vector<std::string> entries =
      EncodeEntries(keys, state.range(1) != 0);
  double bytes_per_key = 0;
  for (auto it : state) {
    const std::size_t before = mallinfo2().uordblks;
    ClaimFold fold({.response_bytes = 0});
    FoldEntries(entries, &fold);
    state.PauseTiming();
    bytes_per_key = static_cast<double>(mallinfo2().uordblks - before) /
                    static_cast<double>(keys);
    state.ResumeTiming();
  }
  state.counters["memory_bytes_per_key"] = bytes_per_key;
  state.counters["time_per_key"] = benchmark::Counter(
      static_cast<double>(keys), benchmark::Counter::kIsIterationInvariantRate |
                                     benchmark::Counter::kInvert);
}
BENCHMARK(BmFoldClaims)
    ->ArgNames({"keys", "outcomes"})
    ->ArgsProduct({{1000, 10000, 100000, 1000000}, {0, 1}})
    ->Unit(benchmark::kMillisecond);

/// Simulates hosts that share the append rate limit of one log. Counts appends,
/// bytes and claims, and the time that claims take.
class SharedLogSimulation {
 public:
  SharedLogSimulation(std::size_t hosts,
                      std::size_t partitions,
                      std::uint64_t requests_per_s,
                      std::uint64_t appends_per_s)
      : requests_per_ms_(static_cast<double>(requests_per_s) / 1000),
        streams_(partitions) {
    OnceSettings settings;
    settings.append_interval = std::chrono::microseconds(
        1'000'000 * hosts * partitions / appends_per_s);
    settings.max_batch_records = 4096;
    settings.max_batch_bytes = std::size_t{1} << 20U;
    for (std::size_t i = 0; i < hosts; ++i) {
      hosts_.emplace_back();
      for (std::size_t p = 0; p < partitions; ++p)
        hosts_.back().emplace_back(WriterId("host-" + std::to_string(i)),
                                   settings);
    }
  }

  void Run(std::uint64_t millis) {
    for (std::uint64_t i = 0; i < millis; ++i) {
      now_ += std::chrono::milliseconds(1);
      SendDueRequests();
      for (std::vector<OnceExecutor>& host : hosts_)
        for (std::size_t p = 0; p < host.size(); ++p)
          RunPartition(&host[p], &streams_[p]);
    }
  }

  std::uint64_t appends = 0;
  std::uint64_t bytes = 0;
  std::uint64_t done = 0;
  Duration claim_wait{};
  std::uint64_t claims = 0;

 private:
  static constexpr Duration kAppendTime = std::chrono::milliseconds(3);

  void SendDueRequests() {
    due_requests_ += requests_per_ms_;
    for (; due_requests_ >= 1; due_requests_ -= 1) {
      const std::uint64_t n = arrival_times_.size();
      const ClaimKey key = MakeKey(n);
      arrival_times_.push_back(now_);
      hosts_[n % hosts_.size()][key.digest.high % streams_.size()].OnRequest(
          now_, WallTime(),
          {RequestId(std::to_string(n)),
           key,
           {},
           std::nullopt,
           now_ + std::chrono::seconds(60)});
    }
  }

  struct Stream {
    std::vector<LogEntry> entries;
    std::deque<MonoTime> completed_at;
  };

  void RunPartition(OnceExecutor* executor, Stream* stream) {
    LogPage page{true, 0, {}};
    for (std::uint64_t i = executor->next_offset();
         i < stream->entries.size() && stream->completed_at[i] <= now_; ++i)
      page.entries.push_back(stream->entries[i]);
    executor->OnPage(now_, page);
    executor->OnTick(now_, WallTime());
    for (const OnceAction& it : executor->TakeActions())
      HandleAction(executor, it);
    if (const auto batch = executor->TakeBatch(now_, WallTime())) {
      ++appends;
      bytes += batch->size();
      stream->entries.push_back({stream->entries.size(), *batch});
      stream->completed_at.push_back(now_ + kAppendTime);
      executor->OnAppendResult(now_, AppendStatus::kAppended);
    }
  }

  void HandleAction(OnceExecutor* executor, const OnceAction& action) {
    const auto* dispatch = std::get_if<DispatchAction>(&action);
    if (!dispatch) {
      ++done;
      return;
    }
    ++claims;
    claim_wait += now_ - arrival_times_[std::stoull(dispatch->request.value())];
    executor->OnDispatchResult(
        now_, dispatch->key,
        {DispatchResult::Kind::kDone,
         {200, "text/plain", std::string(kResponseBytes, 'x'), true}});
  }

  double requests_per_ms_;
  double due_requests_ = 0;
  MonoTime now_{std::chrono::hours(1)};
  std::vector<MonoTime> arrival_times_;
  std::vector<Stream> streams_;
  std::vector<std::vector<OnceExecutor>> hosts_;
};

/// Measures the request throughput of a log with 300 appends per second, by
/// number of appending hosts and of partitions. One host models partition
/// owners that append for all hosts; 20 hosts each append for themselves.
void BmClaimsAtAppendLimit(benchmark::State& state) {
  constexpr std::uint64_t kAppendsPerSecond = 300;
  constexpr std::uint64_t kMillis = 4000;
  for (auto it : state) {
    SharedLogSimulation log(static_cast<std::size_t>(state.range(0)),
                            static_cast<std::size_t>(state.range(1)),
                            static_cast<std::uint64_t>(state.range(2)),
                            kAppendsPerSecond);
    log.Run(kMillis);
    const auto appends = static_cast<double>(log.appends);
    const auto claims = static_cast<double>(log.claims);
    state.counters["appends_per_s"] = appends * 1000 / kMillis;
    state.counters["requests_per_append"] = claims / appends;
    state.counters["claim_wait_ms"] =
        std::chrono::duration<double, std::milli>(log.claim_wait).count() /
        claims;
    state.counters["log_bytes_per_request"] =
        static_cast<double>(log.bytes) / claims;
    state.counters["done_share"] =
        static_cast<double>(log.done) /
        (static_cast<double>(state.range(2)) * kMillis / 1000);
  }
}
BENCHMARK(BmClaimsAtAppendLimit)
    ->ArgNames({"hosts", "partitions", "requests_per_s"})
    ->Args({20, 1, 10})
    ->Args({20, 1, 100})
    ->Args({20, 1, 1000})
    ->Args({20, 4, 10})
    ->Args({20, 4, 100})
    ->Args({20, 4, 1000})
    ->Args({1, 1, 1000})
    ->Args({1, 1, 5000})
    ->Args({1, 4, 5000})
    ->Args({1, 16, 5000})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

/// Measures the log bytes needed to carry one key.
void BmCarryKeys(benchmark::State& state) {
  const auto keys = static_cast<std::uint64_t>(state.range(0));
  ClaimFold fold({.response_bytes = 0});
  FoldEntries(EncodeEntries(keys, true), &fold);
  std::size_t bytes = 0;
  for (auto it : state) {
    bytes = 0;
    for (const ClaimKey& key : fold.RecordedBefore(fold.next_offset()))
      bytes += ToCarried(fold, key, *fold.Find(key)).SerializeAsString().size();
  }
  state.counters["log_bytes_per_key"] =
      static_cast<double>(bytes) / static_cast<double>(keys);
}
BENCHMARK(BmCarryKeys)->Arg(10000)->Arg(100000)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace mangoport

BENCHMARK_MAIN();
