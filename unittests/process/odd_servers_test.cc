// Records of other writers among those of the servers, and a host that follows
// the list.
#include <chrono>
#include <string>

#include <criterion/criterion.h>

#include "unittests/support/edge_fixture.h"

namespace mangoport {
namespace {

using std::chrono::seconds;

std::string EntryAt(const std::string& address) {
  return BackendEntry("s", address, "ready");
}

std::string Replaced(std::string text,
                     const std::string& what,
                     const std::string& by) {
  return text.replace(text.find(what), what.size(), by);
}

/// Writes odd records under keys of their own and under that of a server.
void PutOddRecords(EdgeFixture& it) {
  const std::string good = EntryAt("127.0.0.1:1");
  const std::string deep(200000, '[');
  const auto put = [&it](const std::string& key, const std::string& value) {
    it.store_.Put("keyed.servers", key, value);
  };
  put("odd-deep", deep);
  put("odd-deep-field",
      Replaced(good, "\"ColdLeftMs\":0",
               "\"ColdLeftMs\":" + deep + std::string(deep.size(), ']')));
  put("odd-slots", Replaced(good, "\"Slots\":8", "\"Slots\":4294967296"));
  put("odd-number", Replaced(good, "\"Slots\":8", "\"Slots\":1e400"));
  put("odd-born",
      Replaced(good, "\"born\":1", "\"born\":18446744073709551615"));
  put("odd-text", Replaced(good, "ready", std::string(250000, 'x')));
  for (const char* address : {"127.0.0.1:0", "127.0.0.1:65536",
                              "127.0.0.1:99999", "127.0.0.1", "engine:80", ""})
    put("odd-" + std::string(address), EntryAt(address));
  put(it.a_.id(), EntryAt("127.0.0.1:99999"));
}

/// Lists a server and requires that it gets requests.
void RequireFollowed(EdgeFixture& it, const BackendStandin& server) {
  it.List(server, "ready");
  cr_assert(EdgeFixture::Within(seconds(5),
                                [&] {
                                  it.Ask("/read/x");
                                  return !server.seen().empty();
                                }),
            "the list is not followed:\n%s", it.Log().c_str());
}

void RequireAllServed(const EdgeFixture& it) {
  constexpr int kAsks = 60;
  for (int i = 0; i < kAsks; ++i) {
    const auto reply = it.Ask("/read/x");
    cr_assert(reply);
    cr_assert_eq(reply->status, 200, "%d %s", reply->status,
                 reply->body.c_str());
  }
  const std::string log = it.Log();
  const std::size_t taken = log.find("event=server_list server=odd");
  cr_assert_eq(taken, std::string::npos, "an odd record names a server: %s",
               log.substr(taken, log.find('\n', taken) - taken).c_str());
}

// NOLINTBEGIN: Criterion's macros
Test(odd_servers, the_list_is_followed_beside_odd_records, .timeout = 60) {
  EdgeFixture it;
  BackendStandin c("i-c");
  PutOddRecords(it);
  RequireFollowed(it, c);
  RequireAllServed(it);
  // The log is written with a delay.
  cr_assert(EdgeFixture::Within(seconds(2), [&] {
    return it.Log().find("event=record_passed_over feed=servers") !=
           std::string::npos;
  }));
}

// The whole list is read again, and the odd records with it.
Test(odd_servers, the_list_is_read_anew_beside_odd_records, .timeout = 60) {
  EdgeFixture it;
  BackendStandin c("i-c");
  it.store_.set_down(true);
  PutOddRecords(it);
  it.store_.Compact();
  it.store_.set_down(false);
  RequireFollowed(it, c);
  RequireAllServed(it);
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
