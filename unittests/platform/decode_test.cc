#include "platform/decode.h"

#include <chrono>
#include <string>
#include <string_view>

#include <criterion/criterion.h>

namespace mangoport::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kConfig = R"({"Version":7,"Routes":[
 {"Name":"r1","Host":"h.example","PathPrefix":"/a/","RouteKind":"stream",
  "TimeoutMs":20000,"GoalMs":3000,"Priority":1,"Service":"s1","Attempts":2,
  "Public":false,"Sticky":true,"Resumable":true,"GapGoalMs":250},
 {"Name":"r2","Host":"h.example","PathPrefix":"/b/","RouteKind":"unsafe",
  "TimeoutMs":1000,"GoalMs":150,"Priority":2,"Attempts":1,"Public":true,
  "Split":[{"Service":"s1","Weight":90},{"Service":"s2","Weight":10}]}],
 "Services":[{"Name":"s1","HealthPath":"/healthz","MaxConns":643,
  "ColdStartS":3.0,"ColdPerS":8.9,
  "Engine":{"Slots":48,"KvCapacity":150587,"WeightsMb":200000.0,
  "AdapterSlots":8,"LoadsPerS":2.2,"Models":[{"Name":"m","WeightsMb":65099.99,
  "LoadS":4.2,"Adapters":24,"AdapterMb":66.0,"WarmS":0.4,"DiskS":0.84}]}}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,
  "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
 "Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Priority":1,"Unit":"tokens",
  "PlainTokens":200,"RatePerS":93452,"Burst":93452}]})";

Test(decode, a_configuration) {
  std::string problem;
  const auto config = ParseConfig(kConfig, problem);
  cr_assert(config.has_value(), "%s", problem.c_str());
  cr_assert_eq(config->version, 7);
  const RouteSpec& stream = config->routes[0];
  cr_assert_eq(stream.kind, RouteKind::kStream);
  cr_assert(stream.idempotent());
  cr_assert(stream.latency_objective == seconds(3));
  // Callers leave a stream after four objectives or eight pauses.
  cr_assert(stream.stall_limit == seconds(12));
  const RouteSpec& split = config->routes[1];
  cr_assert_eq(split.targets.size(), 2);
  cr_assert_eq(split.targets[1].weight, 10);
  cr_assert_not(split.idempotent());
  const EngineCapacity& engine = *config->services[0].engine;
  cr_assert_eq(engine.models[0].weights_mb, 65100);
  cr_assert(engine.models[0].load_from_disk == milliseconds(840));
  cr_assert_eq(config->accounts[0].keys.size(), 2);
  cr_assert(config->accounts[0].counts_tokens);
  const ColdStartSpec& cold = config->services[0].cold_start;
  cr_assert(cold.duration == seconds(3));
  cr_assert_float_eq(cold.requests_per_second, 8.9, 1e-9);
}

Test(decode, what_is_no_configuration_is_named) {
  std::string problem;
  cr_assert_not(ParseConfig("[]", problem).has_value());
  cr_assert_not(ParseConfig("{\"Routes\":[]}", problem).has_value());
  cr_assert_eq(problem, "Version is missing");
  cr_assert_not(ParseConfig("{\"Version\":\"x\"}", problem).has_value());
}

Test(decode, a_servers_entry) {
  std::string problem;
  const auto entry = ParseServerEntry(
      "i-1",
      R"({"Service":"s","Addr":"10.0.0.9:8080","Zone":"z","Version":"v1",
          "Slots":48,"State":"draining","ColdLeftMs":700,"RemainingMs":1500,
          "Models":[{"Name":"m","Version":1,"Adapters":["a2","a1"]}],
          "Available":{"InMemory":["m"],"OnDisk":["m","n"]},
          "Seq":4,"born":1775933501028})",
      problem);
  cr_assert(entry.has_value(), "%s", problem.c_str());
  cr_assert(entry->draining);
  cr_assert(entry->remaining == milliseconds(1500));
  cr_assert(entry->cold_left == milliseconds(700));
  cr_assert_eq(entry->models[0].adapters[0].value(), "a1");
  cr_assert_eq(entry->models_on_disk.size(), 2);
  cr_assert_eq(entry->started_at_ms, 1775933501028);
}

Test(decode, entries_of_other_writers_are_refused) {
  std::string problem;
  for (
      const char* it :
      {"", "nonsense", "{\"Service\":3}",
       R"({"Service":"s","Addr":"10.0.0.9:1","Zone":"z","Slots":1,"State":"new"})",
       R"({"Service":"s","Addr":"10.0.0.9:1","Zone":"z","Slots":"1",
            "State":"ready"})",
       R"({"Service":"s","Addr":"10.0.0.9:1","Zone":"z","Slots":-1,
            "State":"ready"})"}) {
    problem.clear();
    cr_assert_not(ParseServerEntry("i", it, problem).has_value());
    cr_assert_not(problem.empty());
  }
}

Test(decode, a_slice_of_a_log) {
  std::string bytes(7, '\0');
  bytes.push_back(9);
  bytes.append(8, '\0');
  bytes += EncodeKeyedRecord("config", "{}");
  bytes += EncodeKeyedRecord("gone", "");
  std::string problem;
  const auto slice = ParseLogSlice(bytes, 7, problem);
  cr_assert(slice.has_value(), "%s", problem.c_str());
  cr_assert_eq(slice->end, 9);
  cr_assert_eq(slice->next, 9);
  cr_assert_eq(slice->records[0].key, "config");
  cr_assert_eq(*slice->records[0].value, "{}");
  cr_assert_not(slice->records[1].value.has_value());
  cr_assert_not(
      ParseLogSlice(bytes.substr(0, bytes.size() - 1), 7, problem).has_value());
  cr_assert_not(ParseLogSlice("short", 0, problem).has_value());
}

Test(decode, the_newest_records) {
  std::string problem;
  const auto page = ParseNewestPage(
      R"({"items":[{"Key":"config","Value":"eyJhIjoxfQ==","Offset":4}],
          "Truncated":true,"End":6})",
      problem);
  cr_assert(page.has_value(), "%s", problem.c_str());
  cr_assert_eq(*page->records[0].value, "{\"a\":1}");
  cr_assert(page->truncated);
  cr_assert_eq(page->end, 6);
}

Test(decode, the_order_lease_comes_back_as_it_was_written) {
  const OrderLeaseRecord record{.holder = HostId("edge-1"),
                                .incarnation = 5,
                                .term = 6,
                                .nonce = 7,
                                .settled = true};
  std::string problem;
  const auto back = ParseOrderLease(EncodeOrderLease(record), problem);
  cr_assert(back.has_value() && *back == record);
}

}  // namespace
}  // namespace mangoport::platform
