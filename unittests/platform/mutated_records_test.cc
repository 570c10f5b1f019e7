// Records with random faults through everything that reads the store's and the
// engines' answers.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>

#include <criterion/criterion.h>

#include "mangoport/settings/host_settings.h"
#include "platform/decode.h"

namespace mangoport::platform {
namespace {

constexpr std::uint64_t kSeed = 1;
constexpr int kRecords = 20000;

constexpr std::array<std::string_view, 5> kRecordsBefore = {
    R"({"Service":"s","Addr":"10.0.0.9:8080","Zone":"z","Slots":48,)"
    R"("State":"ready","RemainingMs":1500,"Models":[{"Name":"m",)"
    R"("Version":1,"Adapters":["a1",{"Name":"a2"}]}],"Available":)"
    R"({"InMemory":["m"],"OnDisk":["n"]},"born":1775933501028})",
    R"({"Busy":false,"Seq":2,"Models":[{"Name":"m","Version":1}],)"
    R"("Pending":["m/a1@3"],"Queued":1,"Active":12,"born":1775933501028})",
    R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/a/",)"
    R"("RouteKind":"stream","TimeoutMs":20000,"GoalMs":3000,"Split":)"
    R"([{"Service":"s","Weight":90}]}],"Services":[{"Name":"s","Engine":)"
    R"({"Slots":48,"LoadsPerS":2.2,"Models":[{"Name":"m","WeightsMb":65.9,)"
    R"("LoadS":4.2}]}}],"Tenants":[{"Name":"t","ApiKeys":["k"],"Burst":9}]})",
    R"({"items":[{"Key":"a","Value":"YQ==","Offset":4}],)"
    R"("Truncated":true,"End":6})",
    R"({"holder":"edge-1","incarnation":5,"term":6,"nonce":7,"settled":true})",
};

constexpr std::array<std::string_view, 16> kOddPieces = {
    "4294967296", "18446744073709551616",
    "1e400",      "-1",
    "-0.0",       "null",
    "[[[[",       "{\"a\":",
    "\"",         "\\",
    "\xff",       ":99999",
    ":0",         "\\u0000",
    "1e18",       "[],{}"};

using Random = std::mt19937_64;

/// Replaces, drops or inserts bytes at up to three places.
std::string Mutated(Random& random, std::string text) {
  for (std::uint64_t i = random() % 3; i < 3; ++i) {
    const std::size_t at = random() % (text.size() + 1);
    const std::size_t dropped = random() % 2 == 0 ? 0 : random() % 12;
    const std::string_view piece = kOddPieces[random() % kOddPieces.size()];
    const std::string inserted =
        random() % 4 == 0 ? std::string(1, static_cast<char>(random()))
                          : std::string(piece);
    text.replace(at, std::min(dropped, text.size() - at), inserted);
  }
  return text;
}

template <typename T>
void RequireReason(const std::optional<T>& parsed, const std::string& problem) {
  cr_assert(parsed || !problem.empty());
  cr_assert_lt(problem.size(), 300, "%s", problem.c_str());
}

void ParseAsEntry(const std::string& text) {
  std::string problem;
  const auto entry = ParseServerEntry("i-1", text, problem);
  RequireReason(entry, problem);
  if (!entry)
    return;
  Endpoint endpoint;
  cr_assert(ParseEndpoint(entry->address, endpoint), "%s", text.c_str());
  cr_assert_neq(endpoint.port, 0, "%s", text.c_str());
  cr_assert_geq(entry->batch_size, 1, "%s", text.c_str());
  cr_assert(entry->remaining.value_or(Duration()) >= Duration::zero(), "%s",
            text.c_str());
}

void ParseAsConfig(const std::string& text) {
  std::string problem;
  const auto config = ParseConfig(text, problem);
  RequireReason(config, problem);
  if (!config)
    return;
  for (const RouteSpec& it : config->routes) {
    cr_assert(it.timeout >= Duration::zero(), "%s", text.c_str());
    cr_assert(it.latency_objective >= Duration::zero(), "%s", text.c_str());
    cr_assert_not(it.targets.empty());
  }
}

void ParseAsOthers(const std::string& text) {
  std::string problem;
  RequireReason(ParseEngineReport(text, problem), problem);
  problem.clear();
  RequireReason(ParseNewestPage(text, problem), problem);
  problem.clear();
  RequireReason(ParseOrderLease(text, problem), problem);
  problem.clear();
  RequireReason(ParseAppendEnd(text, problem), problem);
  problem.clear();
  RequireReason(ParseHostAddress("edge-1", text, problem), problem);
  problem.clear();
  RequireReason(ParseLogSlice(text, 0, problem), problem);
}

// NOLINTBEGIN: Criterion's macros
Test(mutated_records, come_to_a_usable_value_or_a_reason, .timeout = 60) {
  Random random(kSeed);
  for (int i = 0; i < kRecords; ++i) {
    const std::string_view before =
        kRecordsBefore[random() % kRecordsBefore.size()];
    const std::string text = Mutated(random, std::string(before));
    ParseAsEntry(text);
    ParseAsConfig(text);
    ParseAsOthers(text);
  }
}

Test(mutated_records, of_a_slice_keep_its_position, .timeout = 60) {
  Random random(kSeed);
  const std::string whole =
      std::string(16, '\0') + EncodeKeyedRecord("a", "1") +
      EncodeKeyedRecord("b", "") + EncodeKeyedRecord("c", "333");
  for (int i = 0; i < kRecords; ++i) {
    std::string problem;
    const auto slice = ParseLogSlice(Mutated(random, whole), 7, problem);
    RequireReason(slice, problem);
    if (slice)
      cr_assert_eq(slice->next,
                   7 + slice->records.size() + slice->problems.size());
  }
}
// NOLINTEND

}  // namespace
}  // namespace mangoport::platform
