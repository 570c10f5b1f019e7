#include "mangoport/fleet/evacuations.h"

#include <chrono>
#include <set>
#include <vector>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::seconds;

constexpr MonoTime kStart{seconds(1000)};
const ZoneId kA("a");
const ZoneId kB("b");

EvacuationChange Begun(const ZoneId& zone) {
  return {.zone = zone, .evacuated = true};
}

EvacuationChange Ended(const ZoneId& zone) {
  return {.zone = zone, .evacuated = false};
}

// NOLINTBEGIN: Criterion's macros
// A record that ends an evacuation and begins it again must leave it in force.
Test(evacuations, records_count_in_their_order) {
  Evacuations it;
  it.OnRead(kStart, {1, 5}, /*whole=*/true, {Begun(kA)});
  const EvacuationOutcome outcome =
      it.OnRead(kStart, {1, 8}, /*whole=*/false, {Ended(kA), Begun(kB)});
  cr_assert_eq(outcome.begun.size(), 1);
  cr_assert_eq(outcome.ended.size(), 1);
  cr_assert(it.zones() == std::set<ZoneId>({kB}));
  it.OnRead(kStart, {1, 10}, /*whole=*/false, {Ended(kB), Begun(kB)});
  cr_assert(it.zones() == std::set<ZoneId>({kB}));
}

// A read of all records proves the end of what it does not name.
Test(evacuations, a_whole_read_replaces_the_set) {
  Evacuations it;
  it.OnRead(kStart, {1, 5}, /*whole=*/true, {Begun(kA)});
  it.OnRead(kStart, {1, 9}, /*whole=*/true, {Begun(kB)});
  cr_assert(it.zones() == std::set<ZoneId>({kB}));
}

// Datagrams overtake reads: an older set must not bring a zone back.
Test(evacuations, an_older_set_of_another_host_is_ignored) {
  Evacuations it;
  it.OnRead(kStart, {1, 5}, /*whole=*/true, {Begun(kA)});
  it.OnPeerState(kStart, {.position = {1, 4}, .zones = {}});
  cr_assert(it.zones().contains(kA));
  it.OnPeerState(kStart, {.position = {1, 6}, .zones = {kA, kB}});
  cr_assert_eq(it.zones().size(), 2);
  // This host's read of what came before the set arrives late.
  it.OnRead(kStart, {1, 5}, /*whole=*/false, {Ended(kB)});
  cr_assert_eq(it.zones().size(), 2);
}

// A copy from before the evacuation must not send requests into the zone; the
// operator writes the record again.
Test(evacuations, a_restored_store_without_the_record_ends_nothing_at_once) {
  Evacuations it;
  it.OnRead(kStart, {1, 5}, /*whole=*/true, {Begun(kA)});
  it.OnRead(kStart, {2, 3}, /*whole=*/true, {});
  cr_assert(it.zones().contains(kA));
  // A second read of the same timeline proves no more.
  it.OnRead(kStart + seconds(1), {2, 4}, /*whole=*/true, {});
  cr_assert(it.zones().contains(kA));
  it.OnRead(kStart + seconds(2), {2, 5}, /*whole=*/false, {Begun(kA)});
  it.OnRead(kStart + seconds(60), {2, 6}, /*whole=*/false, {});
  cr_assert(it.zones().contains(kA));
}

// The same copy as another host has read it.
Test(evacuations, another_hosts_restored_set_ends_nothing_at_once) {
  Evacuations it;
  it.OnRead(kStart, {1, 5}, /*whole=*/true, {Begun(kA)});
  it.OnPeerState(kStart, {.position = {2, 3}, .zones = {}});
  cr_assert(it.zones().contains(kA));
}

// An evacuation that nobody writes again doesn't last for ever; but a store
// that can't be read says nothing of it.
Test(evacuations, what_a_restored_store_never_names_ends) {
  Evacuations it;
  it.OnRead(kStart, {1, 5}, /*whole=*/true, {Begun(kA)});
  it.OnRead(kStart, {2, 3}, /*whole=*/true, {});
  it.OnRead(kStart + seconds(9), {2, 3}, /*whole=*/false, {});
  cr_assert(it.zones().contains(kA));
  const EvacuationOutcome outcome =
      it.OnRead(kStart + seconds(10), {2, 3}, /*whole=*/false, {});
  cr_assert_eq(outcome.ended.size(), 1);
  cr_assert(it.zones().empty());
}

// Most hosts read the store only at news, and learn of the end from others.
Test(evacuations, another_hosts_set_ends_what_a_restored_store_never_names) {
  Evacuations it;
  it.OnRead(kStart, {1, 5}, /*whole=*/true, {Begun(kA)});
  it.OnPeerState(kStart, {.position = {2, 3}, .zones = {}});
  it.OnPeerState(kStart + seconds(9), {.position = {2, 3}, .zones = {}});
  cr_assert(it.zones().contains(kA));
  it.OnPeerState(kStart + seconds(10), {.position = {2, 3}, .zones = {}});
  cr_assert(it.zones().empty());
}

// Hosts that passed on what they hold kept each other's grace periods alive,
// and one that never knew of the evacuation ended it for the others.
Test(evacuations, what_is_held_is_not_told_to_other_hosts) {
  Evacuations it;
  it.OnRead(kStart, {1, 5}, /*whole=*/true, {Begun(kA), Begun(kB)});
  it.OnRead(kStart, {2, 3}, /*whole=*/true, {Begun(kB)});
  cr_assert_eq(it.zones().size(), 2);
  cr_assert(it.stated_zones() == std::set<ZoneId>({kB}));
}

// Its end must count at once, also within the grace period.
Test(evacuations, a_record_ends_an_evacuation_within_the_grace_period) {
  Evacuations it;
  it.OnRead(kStart, {1, 5}, /*whole=*/true, {Begun(kA)});
  it.OnRead(kStart, {2, 3}, /*whole=*/true, {});
  it.OnRead(kStart + seconds(1), {2, 5}, /*whole=*/false, {Ended(kA)});
  cr_assert(it.zones().empty());
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
