#ifndef MANGOPORT_LIB_EDGE_FEED_WIRE_H_
#define MANGOPORT_LIB_EDGE_FEED_WIRE_H_

#include <optional>

#include "mangoport/edge/feed_service.h"
#include "mangoport/soft_state.pb.h"

namespace mangoport {

/// Writes what this host has read of the store into a datagram.
void WriteFeeds(BootTime now, const FeedWords& words, wire::HostState& message);

/// What another host has read, dated by this host's clock: the datagram was
/// sent after `sent_after`, so its ages count from there. Without that moment
/// the words prove nothing about their age, only where the feeds stand.
FeedWords ReadFeeds(std::optional<BootTime> sent_after,
                    const wire::HostState& message);

}  // namespace mangoport

#endif  // MANGOPORT_LIB_EDGE_FEED_WIRE_H_
