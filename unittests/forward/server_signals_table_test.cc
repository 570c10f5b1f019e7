#include "mangoport/forward/server_signals.h"

#include <chrono>
#include <string>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr MonoTime kStart{seconds(500)};
const ServerId kServer("s1");
const ServerStart kFirst{.server = kServer, .started_at_ms = 1};
const ServerStart kSecond{.server = kServer, .started_at_ms = 2};

HttpHead HeadWith(const std::string& value) {
  HttpHead head;
  head.fields = {{"Gone-Soon", value}};
  return head;
}

// The name is the deployment's, and only "1" says that the server leaves.
Test(server_signals_table, reads_the_field_that_the_dialect_names) {
  ForwardDialect dialect;
  dialect.server_leaving = "gone-soon";
  cr_assert(ReadServerSignals(dialect, HeadWith("1")).leaving);
  cr_assert_not(ReadServerSignals(dialect, HeadWith("0")).leaving);
  cr_assert_not(ReadServerSignals(dialect, HttpHead()).leaving);
}

// A late word of an earlier start must not take the present process out.
Test(server_signals_table, a_word_of_an_earlier_start_is_ignored) {
  ServerSignalTable table;
  cr_assert(table.NoteLeaving(kStart, kFirst));
  cr_assert_not(table.NoteLeaving(kStart, kFirst));
  cr_assert(table.IsLeaving(kFirst));
  cr_assert_not(table.IsLeaving(kSecond));
  cr_assert(table.NoteLeaving(kStart, kSecond));
  cr_assert_not(table.NoteLeaving(kStart, kFirst));
  cr_assert(table.IsLeaving(kSecond));
}

// A listed server's word holds as long as it runs; an unlisted one's holds for
// longer than an entry can lapse, and does not stay for good.
Test(server_signals_table, words_last_while_the_process_may_come_back) {
  ServerSignalTable table;
  table.NoteLeaving(kStart, kFirst);
  table.Prune(kStart + minutes(60), {kServer});
  cr_assert(table.IsLeaving(kFirst));
  table.Prune(kStart + minutes(5), {});
  cr_assert(table.IsLeaving(kFirst));
  table.Prune(kStart + minutes(11), {});
  cr_assert_not(table.IsLeaving(kFirst));
}

// Only a 503 asks for a rest, in seconds; what can't be read is told apart.
Test(server_signals_table, reads_how_long_a_server_wants_to_be_spared) {
  const auto read = [](int status, const std::string& value) {
    HttpHead head;
    head.status = status;
    head.fields = {{"Retry-After", value}};
    return ReadServerSignals(ForwardDialect(), head);
  };
  cr_assert(read(503, "3").hold == seconds(3));
  cr_assert(read(503, "0.25").hold == milliseconds(250));
  cr_assert(read(503, "1e300").hold == std::chrono::hours(1));
  cr_assert_not(read(200, "3").hold.has_value());
  for (const char* value : {"", "-1", "nan", "inf", "soon", "3 s",
                            "Fri, 31 Dec 1999 23:59:59 GMT"}) {
    const ServerSignals signals = read(503, value);
    cr_assert(!signals.hold && signals.unreadable_hold, "%s", value);
  }
}

// A shorter wish doesn't end a longer one; a new start has none.
Test(server_signals_table, a_hold_lasts_until_its_latest_end) {
  ServerSignalTable table;
  cr_assert(table.NoteHold(kStart, kFirst, kStart + seconds(5)));
  cr_assert_not(table.NoteHold(kStart, kFirst, kStart + seconds(2)));
  cr_assert(table.HeldUntil(kFirst) == kStart + seconds(5));
  cr_assert(table.HeldUntil(kSecond) == MonoTime());
  cr_assert(table.NoteHold(kStart, kSecond, kStart + seconds(1)));
  cr_assert_not(table.NoteHold(kStart, kFirst, kStart + seconds(9)));
  cr_assert(table.HeldUntil(kSecond) == kStart + seconds(1));
}

}  // namespace
}  // namespace mangoport
