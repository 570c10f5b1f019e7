#ifndef MANGOPORT_MEMBERSHIP_FEED_READERS_H_
#define MANGOPORT_MEMBERSHIP_FEED_READERS_H_

#include <set>
#include <vector>

#include "mangoport/core/ids.h"

namespace mangoport {

/// A connected host and its availability zone.
struct FleetHost {
  HostId host;
  ZoneId zone;
};

/// Selects the hosts that read the store's feeds on behalf of the whole fleet:
/// one per availability zone and at least three in total, so that the fleet
/// still receives changes after the loss of a host or a zone. The selection
/// depends only on the set of hosts, so hosts with the same view select the
/// same readers. While views differ, the number of readers may be temporarily
/// higher or lower.
std::set<HostId> ChooseFeedReaders(const std::vector<FleetHost>& hosts);

}  // namespace mangoport

#endif  // MANGOPORT_MEMBERSHIP_FEED_READERS_H_
