// Records of other writers among those of the engines: each names no server,
// and the others hold.
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <criterion/criterion.h>

#include "platform/decode.h"

namespace mangoport::platform {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kGood =
    R"({"Service":"s","Addr":"10.0.0.9:8080","Zone":"z","Version":"v1",)"
    R"("Slots":48,"State":"ready","ColdLeftMs":0,"RemainingMs":1500,)"
    R"("Models":[{"Name":"m","Version":1,"Adapters":["a1"]}],)"
    R"("Seq":4,"born":1775933501028})";

/// The good entry with `value` in place of that of the field `name`.
std::string With(std::string_view name, std::string_view value) {
  std::string out(kGood);
  const std::string field = "\"" + std::string(name) + "\":";
  const std::size_t from = out.find(field) + field.size();
  const std::size_t length = out.find_first_of(",}", from) - from;
  return out.replace(from, length, value);
}

std::string WithAddress(std::string_view address) {
  return With("Addr", "\"" + std::string(address) + "\"");
}

std::optional<ServerEntry> Parse(std::string_view text,
                                 const std::string& id = "i-1") {
  std::string problem;
  std::optional<ServerEntry> out = ParseServerEntry(id, text, problem);
  cr_assert_neq(out.has_value(), !problem.empty(), "a problem is named: %s",
                problem.c_str());
  // A log line is of use only if it leaves room for others.
  cr_assert_lt(problem.size(), 200);
  return out;
}

// NOLINTBEGIN: Criterion's macros
Test(odd_entries, the_good_entry_is_one) {
  cr_assert(Parse(kGood));
  cr_assert(Parse(With("born", "1775933501028.0")));
  cr_assert(Parse(WithAddress("10.0.0.9:65535")));
  cr_assert_eq(Parse(With("Slots", "0"))->batch_size, 1);
}

Test(odd_entries, an_address_without_a_port_that_exists_names_no_server) {
  for (const char* it :
       {"10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999", "10.0.0.9:-1",
        "10.0.0.9:8080x", "10.0.0.9: 8080", "10.0.0.9:", "10.0.0.9",
        "engine.example:8080", "10.0.0.256:8080", ":8080", "", " 10.0.0.9:8080",
        "10.0.0.9:8080 ", "10.0.0.9:18446744073709551617",
        "10.0.0.9\\u0000.x:8080"})
    cr_assert_not(Parse(WithAddress(it)), "%s", it);
}

Test(odd_entries, a_number_that_is_too_large_names_no_server) {
  for (const char* it : {"4294967296", "4294967297", "18446744073709551615",
                         "18446744073709551616", "1e18", "1e400", "-1",
                         "-9223372036854775808"}) {
    cr_assert_not(Parse(With("Slots", it)), "Slots %s", it);
  }
  for (const char* it : {"18446744073709551615", "9223372036855",
                         "9223372036854775807", "1e17", "1e400", "-1"}) {
    cr_assert_not(Parse(With("RemainingMs", it)), "RemainingMs %s", it);
    cr_assert_not(Parse(With("born", it)), "born %s", it);
  }
  cr_assert_not(Parse(With("born", "1775933501028.5")));
  for (const char* it : {"NaN", "Infinity", "0x10", "\"48\"", "[]", "true"})
    cr_assert_not(Parse(With("Slots", it)), "Slots %s", it);
}

Test(odd_entries, a_very_deeply_nested_entry_names_no_server) {
  for (const std::size_t depth : {100, 8192, 131072, 1000000}) {
    const std::string open(depth, '[');
    const std::string nested = open + std::string(depth, ']');
    cr_assert_not(Parse(open));
    cr_assert_not(Parse(nested));
    cr_assert_not(Parse(With("ColdLeftMs", nested)), "%zu", depth);
    std::string objects;
    for (std::size_t i = 0; i < depth; ++i)
      objects += "{\"a\":";
    cr_assert_not(Parse(objects));
  }
  // Brackets within a text are none.
  cr_assert(Parse(With("Version", "\"" + std::string(500, '[') + "\\\"{\"")));
}

Test(odd_entries, an_id_that_no_header_field_may_have_names_no_server) {
  using std::string_literals::operator""s;
  for (const std::string& it :
       {""s, "i-\xff"s, "i-\xc3\xa9"s, "i-1\r\nX-Tenant: t"s, "i-\0"s, "i 1"s,
        "\x7f"s, std::string(255, '\x01')})
    cr_assert_not(Parse(kGood, it));
  cr_assert(Parse(kGood, std::string(255, 'i')));
}

Test(odd_entries, texts_and_other_types_name_no_server) {
  for (const char* name : {"Service", "Zone", "State", "Addr"}) {
    for (const char* it : {"null", "7", "[]", "{}", "true", "\"\xff\""})
      cr_assert_not(Parse(With(name, it)), "%s %s", name, it);
  }
  cr_assert_not(Parse(With("State", "\"" + std::string(250000, 'x') + "\"")));
  cr_assert_not(Parse(kGood.substr(0, kGood.size() - 1)));
  cr_assert_not(Parse(std::string(256 * 1024, '\0')));
}

// Each counted as a host, for which a share of the quotas was set aside.
Test(odd_entries, a_record_among_the_hosts_that_is_no_address_is_no_host) {
  std::string problem;
  cr_assert(ParseHostAddress("edge-1", "10.0.0.9:8080", problem));
  for (const char* it :
       {"", "10.0.0.9", "10.0.0.9:0", "10.0.0.9:65536", "{}", "edge:1"}) {
    problem.clear();
    cr_assert_not(ParseHostAddress("edge-1", it, problem), "%s", it);
    cr_assert_not(problem.empty());
  }
  cr_assert_not(ParseHostAddress("\xff", "10.0.0.9:8080", problem));
  cr_assert_not(ParseHostAddress("", "10.0.0.9:8080", problem));
  cr_assert_not(ParseHostAddress("edge-1", std::string(250000, 'x'), problem));
  cr_assert_lt(problem.size(), 200);
}

// Hosts that read the whole list lost it again and again.
Test(odd_entries, a_page_keeps_its_other_records_beside_an_odd_item) {
  for (const char* odd :
       {R"({"Key":"odd","Value":"*"})", R"({"Key":"odd","Value":7})",
        R"({"Key":"odd"})", R"({"Key":7,"Value":""})", R"({"Value":""})", "7",
        "[]", "null"}) {
    std::string problem;
    const auto page = ParseNewestPage(
        R"({"items":[{"Key":"a","Value":"YQ=="},)" + std::string(odd) +
            R"(,{"Key":"b","Value":"Yg=="}],"Truncated":true,"End":6})",
        problem);
    cr_assert(page, "%s: %s", odd, problem.c_str());
    cr_assert_eq(page->records.size(), 2);
    cr_assert_eq(*page->records[1].value, "b");
    cr_assert_eq(page->problems.size(), 1);
  }
}

// The next page begins behind the last key, whatever its value is.
Test(odd_entries, a_page_goes_on_behind_an_odd_last_item) {
  std::string problem;
  const auto page = ParseNewestPage(
      R"({"items":[{"Key":"a","Value":"YQ=="},{"Key":"odd","Value":"*"}],)"
      R"("Truncated":true,"End":6})",
      problem);
  cr_assert(page);
  cr_assert_eq(page->last_key, "odd");
}

Test(odd_entries, a_record_without_a_whole_key_is_named) {
  std::string bytes(16, '\0');
  bytes += EncodeKeyedRecord("a", "1");
  // A key of 200 bytes in a record of three.
  bytes += std::string("\0\0\0\3\xc8xy", 7);
  bytes += std::string("\0\0\0\0", 4);
  bytes += EncodeKeyedRecord("b", "2");
  std::string problem;
  const auto slice = ParseLogSlice(bytes, 7, problem);
  cr_assert(slice, "%s", problem.c_str());
  cr_assert_eq(slice->next, 11);
  cr_assert_eq(slice->records.size(), 2);
  cr_assert_eq(slice->problems.size(), 2);
}

Test(odd_entries, the_longest_times_of_a_configuration_can_be_added_up) {
  std::string problem;
  const auto config = ParseConfig(
      R"({"Version":1,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/",)"
      R"("RouteKind":"stream","TimeoutMs":9007199254740991,"Service":"s",)"
      R"("GoalMs":9007199254740991,"GapGoalMs":9007199254740991}]})",
      problem);
  cr_assert(config, "%s", problem.c_str());
  const RouteSpec& route = config->routes[0];
  cr_assert(route.timeout > std::chrono::hours(24));
  cr_assert(route.stall_limit >= route.latency_objective);
  cr_assert(route.stall_limit >= route.event_gap_objective);
  const MonoTime now = std::chrono::steady_clock::now();
  cr_assert(now + route.stall_limit > now);
}
// NOLINTEND

}  // namespace
}  // namespace mangoport::platform
