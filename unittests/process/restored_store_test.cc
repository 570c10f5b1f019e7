// A host whose store is restored from an older copy.
#include <chrono>
#include <string>

#include <criterion/criterion.h>

#include "unittests/support/edge_fixture.h"

namespace mangoport {
namespace {

using std::chrono::seconds;

Test(restored_store, a_new_timeline_is_logged) {
  EdgeFixture it;
  it.store_.TakeBackup();
  it.store_.Restore();
  cr_assert(EdgeFixture::Within(seconds(5), [&] {
    return it.Log().find(
               "event=store_timeline timeline=2 earlier=1 "
               "source=store") != std::string::npos;
  }));
}

}  // namespace
}  // namespace mangoport
