// The list of hosts when the store is restored from an older copy.
#include <chrono>
#include <string>
#include <thread>

#include <criterion/criterion.h>
#include <httplib.h>

#include "unittests/support/edge_fixture.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

bool IsListed(const EdgeFixture& it) {
  httplib::Client client("http://" + it.store_.address());
  const auto reply =
      client.Get("/mangoport/log-newest?Topic=keyed.hosts&part=0");
  return reply && reply->body.find("edge-1") != std::string::npos;
}

Test(restored_hosts, host_announces_itself_again, .timeout = 60) {
  EdgeFixture it;
  cr_assert(EdgeFixture::Within(seconds(2), [&it] { return IsListed(it); }));
  // The store was never copied, so it comes back empty.
  it.store_.Restore();
  cr_assert_not(IsListed(it));
  cr_assert(EdgeFixture::Within(seconds(4), [&it] { return IsListed(it); }));
}

// The restore is seen while a read of the list is under way or has failed.
Test(restored_hosts, each_of_several_restores_is_noticed, .timeout = 60) {
  EdgeFixture it;
  for (int i = 0; i < 4; ++i) {
    it.store_.Restore();
    std::this_thread::sleep_for(milliseconds(100 * i));
    it.store_.set_down(i % 2 == 1);
    std::this_thread::sleep_for(milliseconds(200));
  }
  it.store_.set_down(false);
  cr_assert(EdgeFixture::Within(seconds(6), [&it] { return IsListed(it); }));
}

}  // namespace
}  // namespace mangoport
