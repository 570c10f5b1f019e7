#ifndef MANGOPORT_LIB_EDGE_FEED_WIRE_H_
#define MANGOPORT_LIB_EDGE_FEED_WIRE_H_

#include <optional>

#include "mangoport/edge/feed_service.h"
#include "mangoport/soft_state.pb.h"

namespace mangoport {

/// Adds the state of the feeds to a datagram.
void WriteFeeds(BootTime now,
                const FeedUpdates& updates,
                wire::HostState& message);

/// Parses the state of another host's feeds. The ages in the datagram are
/// converted to times on this host's clock, counted from `sent_after`, a time
/// before which it cannot have been sent. Without it, the result has positions
/// but no confirmation times.
FeedUpdates ReadFeeds(std::optional<BootTime> sent_after,
                      const wire::HostState& message);

}  // namespace mangoport

#endif  // MANGOPORT_LIB_EDGE_FEED_WIRE_H_
