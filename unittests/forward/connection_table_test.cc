#include "mangoport/forward/connection_table.h"

#include <array>
#include <chrono>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonoTime kStart{seconds(500)};

/// Keys of connections.
constexpr std::array<char, 4> kKeys{};

// NOLINTBEGIN: Criterion's macros
// A crowd of unfinished requests took all descriptors, and ordinary callers got
// no connection.
Test(connection_table, the_longest_unfinished_request_is_given_up_first) {
  ConnectionTable table;
  table.Set(kStart, &kKeys[0], ConnectionUse::kIdle);
  table.Set(kStart + seconds(2), &kKeys[1], ConnectionUse::kUnfinished);
  table.Set(kStart + seconds(1), &kKeys[2], ConnectionUse::kUnfinished);
  cr_assert_eq(*table.Next(), &kKeys[2]);
  table.Remove(&kKeys[2]);
  cr_assert_eq(*table.Next(), &kKeys[1]);
  table.Remove(&kKeys[1]);
  cr_assert_eq(*table.Next(), &kKeys[0]);
}

// A caller that sends a byte now and then must not seem new each time.
Test(connection_table, a_use_counts_from_its_beginning) {
  ConnectionTable table;
  table.Set(kStart, &kKeys[0], ConnectionUse::kUnfinished);
  table.Set(kStart + milliseconds(10), &kKeys[1], ConnectionUse::kUnfinished);
  table.Set(kStart + seconds(3), &kKeys[0], ConnectionUse::kUnfinished);
  cr_assert_eq(*table.Next(), &kKeys[0]);
}

// Work that is under way would be lost, and run in vain.
Test(connection_table, busy_connections_are_kept) {
  ConnectionTable table;
  table.Set(kStart, &kKeys[0], ConnectionUse::kBusy);
  cr_assert_not(table.Next().has_value());
  table.Set(kStart + seconds(1), &kKeys[1], ConnectionUse::kDelivering);
  cr_assert_eq(*table.Next(), &kKeys[1]);
  table.Set(kStart + seconds(2), &kKeys[1], ConnectionUse::kBusy);
  cr_assert_not(table.Next().has_value());
  cr_assert_eq(table.size(), 2);
}

// A share of the descriptors stays for servers and the store, with any limit.
Test(connection_table, callers_never_get_all_descriptors) {
  cr_assert_eq(MaxCallerConnections(2940), 2205);
  cr_assert_eq(MaxCallerConnections(256), 192);
  cr_assert_eq(MaxCallerConnections(100), 50);
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
