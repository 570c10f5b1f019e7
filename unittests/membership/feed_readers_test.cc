#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "mangoport/membership/feed_readers.h"

namespace mangoport {
namespace {

std::vector<FleetHost> Fleet(int hosts, int zones) {
  std::vector<FleetHost> out;
  for (int i = 0; i < hosts; ++i)
    out.push_back({.host = HostId("h" + std::to_string(i)),
                   .zone = ZoneId("z" + std::to_string(i % zones))});
  return out;
}

Test(feed_readers, one_reader_per_zone_and_at_least_three_in_total) {
  cr_assert_eq(ChooseFeedReaders(Fleet(100, 1)).size(), 3);
  cr_assert_eq(ChooseFeedReaders(Fleet(100, 3)).size(), 3);
  cr_assert_eq(ChooseFeedReaders(Fleet(100, 5)).size(), 5);
  cr_assert_eq(ChooseFeedReaders(Fleet(2, 2)).size(), 2);
  std::set<ZoneId> zones;
  const std::vector<FleetHost> fleet = Fleet(100, 4);
  const std::set<HostId> readers = ChooseFeedReaders(fleet);
  for (const FleetHost& it : fleet) {
    if (readers.contains(it.host))
      zones.insert(it.zone);
  }
  cr_assert_eq(zones.size(), 4);
}

Test(feed_readers, selection_is_independent_of_host_order) {
  const std::vector<FleetHost> fleet = Fleet(50, 3);
  const std::vector<FleetHost> reversed(fleet.rbegin(), fleet.rend());
  cr_assert(ChooseFeedReaders(fleet) == ChooseFeedReaders(reversed));
}

Test(feed_readers, lost_reader_is_replaced_and_others_remain) {
  std::vector<FleetHost> fleet = Fleet(50, 3);
  const std::set<HostId> before = ChooseFeedReaders(fleet);
  std::erase_if(
      fleet, [&](const FleetHost& it) { return it.host == *before.begin(); });
  const std::set<HostId> after = ChooseFeedReaders(fleet);
  cr_assert_eq(after.size(), 3);
  std::size_t kept = 0;
  for (const HostId& it : before)
    kept += after.contains(it) ? 1 : 0;
  cr_assert_eq(kept, 2);
}

}  // namespace
}  // namespace mangoport
