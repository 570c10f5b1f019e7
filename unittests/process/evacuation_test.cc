// A host whose operators evacuate zones, by records in the store.
#include <chrono>
#include <string>

#include <criterion/criterion.h>

#include "unittests/support/edge_fixture.h"

namespace mangoport {
namespace {

using std::chrono::seconds;

constexpr int kAsks = 20;

void Evacuate(EdgeFixture& it, const std::string& zone) {
  it.store_.Put("keyed.op", "evacuate/" + zone, "{}");
}

void EndEvacuation(EdgeFixture& it, const std::string& zone) {
  it.store_.Put("keyed.op", "evacuate/" + zone, "");
}

/// Waits until the host has logged an evacuation line with `text`.
bool Logged(const EdgeFixture& it, const std::string& text) {
  return EdgeFixture::Within(seconds(5), [&] {
    return it.Log().find("event=evacuation " + text) != std::string::npos;
  });
}

/// True once the host serves in spite of the evacuation: its list of servers
/// is read less often than the evacuation.
bool ServesAgain(EdgeFixture& it) {
  return EdgeFixture::Within(seconds(5), [&] {
    const auto reply = it.Ask("/read/x");
    return reply && reply->status == 200;
  });
}

/// Lists the fixture's second server in the zone "z2".
void MoveToOtherZone(EdgeFixture& it) {
  std::string entry = it.b_.Entry("s", "ready");
  const std::string zone = "\"Zone\":\"z1\"";
  entry.replace(entry.find(zone), zone.size(), "\"Zone\":\"z2\"");
  it.store_.Put("keyed.servers", it.b_.id(), entry);
}

int Served(EdgeFixture& it) {
  int out = 0;
  for (int i = 0; i < kAsks; ++i) {
    const auto reply = it.Ask("/read/x");
    out += reply && reply->status == 200 ? 1 : 0;
  }
  return out;
}

// NOLINTBEGIN: Criterion's macros
// The operators' request was not read: requests went on to the zone.
Test(evacuation, an_evacuated_zone_gets_nothing_until_it_ends, .timeout = 60) {
  EdgeFixture it;
  MoveToOtherZone(it);
  cr_assert(EdgeFixture::Within(seconds(5), [&] {
    it.Ask("/read/x");
    return !it.a_.seen().empty();
  }));
  Evacuate(it, "z1");
  cr_assert(Logged(it, "begun=z1"));
  cr_assert(ServesAgain(it));
  const std::size_t before = it.a_.seen().size();
  cr_assert_eq(Served(it), kAsks);
  cr_assert_eq(it.a_.seen().size(), before);
  EndEvacuation(it, "z1");
  cr_assert(Logged(it, "begun=\"\" ended=z1") || Logged(it, "begun= ended=z1"),
            "%s", it.Log().c_str());
  cr_assert(EdgeFixture::Within(seconds(5), [&] {
    it.Ask("/read/x");
    return it.a_.seen().size() > before;
  }));
}

// A host that starts, or whose store goes away, must know of it too.
Test(evacuation, it_is_in_force_while_the_store_is_away, .timeout = 60) {
  EdgeFixture it;
  MoveToOtherZone(it);
  Evacuate(it, "z1");
  cr_assert(Logged(it, "begun=z1"));
  cr_assert(ServesAgain(it));
  it.store_.set_down(true);
  const std::size_t before = it.a_.seen().size();
  cr_assert_eq(Served(it), kAsks);
  cr_assert_eq(it.a_.seen().size(), before);
}

// The refusal says why, and that nothing has run.
Test(evacuation, with_all_zones_evacuated_requests_are_refused, .timeout = 60) {
  EdgeFixture it;
  Evacuate(it, "z1");
  cr_assert(Logged(it, "begun=z1"));
  const std::size_t before = it.SeenInAll();
  const auto reply = it.Ask("/once/x");
  cr_assert(reply && reply->status == 503);
  cr_assert_eq(it.SeenInAll(), before);
  cr_assert(EdgeFixture::Within(seconds(2), [&] {
    return it.Log().find("reason=evacuated") != std::string::npos;
  }));
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
