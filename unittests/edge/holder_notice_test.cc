#include "mangoport/edge/holder_notice.h"

#include <chrono>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonoTime kStart{seconds(500)};

Test(holder_notice, nothing_is_due_without_demand) {
  HolderNotice notice;
  cr_assert_not(notice.DueAt(/*holder_known=*/true));
  notice.OnDemand();
  notice.OnSent(kStart);
  cr_assert_not(notice.DueAt(/*holder_known=*/true));
}

// Demand that arose within 15 ms of the last report was dropped; at 295 hosts
// the holder learned of it seconds later, with the next round of datagrams.
Test(holder_notice, demand_shortly_after_a_report_is_sent_later) {
  HolderNotice notice;
  notice.OnDemand();
  notice.OnSent(kStart);
  notice.OnDemand();
  const auto due = notice.DueAt(/*holder_known=*/true);
  cr_assert(due.has_value());
  cr_assert_gt(*due, kStart);
  cr_assert_leq(*due, kStart + milliseconds(50));
}

// Demand that arose before the holder was heard was dropped, too.
Test(holder_notice, demand_is_kept_until_the_holder_is_known) {
  HolderNotice notice;
  notice.OnDemand();
  cr_assert_not(notice.DueAt(/*holder_known=*/false));
  cr_assert(notice.DueAt(/*holder_known=*/true).has_value());
}

}  // namespace
}  // namespace mangoport
