// A host whose store is restored from an older copy.
#include <chrono>
#include <string>
#include <thread>

#include <criterion/criterion.h>

#include "unittests/support/edge_fixture.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Beyond the time for which the store holds a host's call.
constexpr Duration kCallEnds = milliseconds(300);

void Publish(EdgeFixture& it, int version) {
  it.store_.Put("keyed.op", "config", Config(version, "\"k1\""));
}

bool Applied(const EdgeFixture& it, int version) {
  const std::string line =
      "event=config_applied version=" + std::to_string(version) + " ";
  return it.Log().find(line) != std::string::npos;
}

bool AppliedSoon(const EdgeFixture& it, int version) {
  return EdgeFixture::Within(seconds(4), [&] { return Applied(it, version); });
}

// NOLINTBEGIN: Criterion's macros
Test(restored_store, a_new_timeline_is_logged) {
  EdgeFixture it;
  it.store_.TakeBackup();
  it.store_.Restore();
  cr_assert(EdgeFixture::Within(seconds(5), [&] {
    return it.Log().find(
               "event=store_timeline timeline=1 earlier=0 "
               "source=store") != std::string::npos;
  }));
}

// The record had the offset of a lost one, so the host asked for what follows.
Test(restored_store,
     a_record_at_an_offset_given_out_again_is_applied,
     .timeout = 60) {
  EdgeFixture it;
  it.store_.TakeBackup();
  Publish(it, 100);
  cr_assert(AppliedSoon(it, 100));
  it.store_.set_down(true);
  std::this_thread::sleep_for(kCallEnds);
  it.store_.Restore();
  Publish(it, 101);
  it.store_.set_down(false);
  cr_assert(AppliedSoon(it, 101), "%s", it.Log().c_str());
  cr_assert(it.Log().find("event=feed_restarted feed=config position=0:") !=
            std::string::npos);
}

Test(restored_store,
     a_lower_version_after_a_restore_is_not_applied,
     .timeout = 60) {
  EdgeFixture it;
  Publish(it, 100);
  cr_assert(AppliedSoon(it, 100));
  it.store_.TakeBackup();
  Publish(it, 101);
  cr_assert(AppliedSoon(it, 101));
  it.store_.Restore();
  cr_assert(EdgeFixture::Within(seconds(4), [&] {
    return it.Log().find(
               "event=config_not_newer version=100 applied=101 "
               "position=1:") != std::string::npos;
  }));
  Publish(it, 101);
  Publish(it, 102);
  cr_assert(AppliedSoon(it, 102));
}

// Several restores in a row, the later ones while no call is made.
Test(restored_store,
     a_record_after_several_restores_is_applied,
     .timeout = 60) {
  EdgeFixture it;
  it.store_.TakeBackup();
  for (int version = 100; version < 103; ++version) {
    it.store_.set_down(true);
    std::this_thread::sleep_for(kCallEnds);
    it.store_.Restore();
    it.store_.Restore();
    Publish(it, version);
    it.store_.set_down(false);
    cr_assert(AppliedSoon(it, version), "%s", it.Log().c_str());
  }
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
