#ifndef MANGOPORT_MEMBERSHIP_FEED_READERS_H_
#define MANGOPORT_MEMBERSHIP_FEED_READERS_H_

#include <set>
#include <vector>

#include "mangoport/core/ids.h"

namespace mangoport {

/// A host that is in touch, and where it stands.
struct FleetHost {
  HostId host;
  ZoneId zone;
};

/// The hosts that read the store's feeds for all: one in each availability
/// zone, and three at least, so that neither a host nor a zone that is lost
/// leaves the fleet without news. Hosts that know the same fleet choose the
/// same readers; where they differ for a moment, some more or fewer read.
std::set<HostId> ChooseFeedReaders(const std::vector<FleetHost>& hosts);

}  // namespace mangoport

#endif  // MANGOPORT_MEMBERSHIP_FEED_READERS_H_
