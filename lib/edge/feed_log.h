#ifndef MANGOPORT_LIB_EDGE_FEED_LOG_H_
#define MANGOPORT_LIB_EDGE_FEED_LOG_H_

#include <string>

#include "mangoport/ports/fleet_platform.h"

namespace mangoport {

/// Returns a position of a feed for a log line, "none" for the present state.
std::string PositionText(const FeedPosition& position);

}  // namespace mangoport

#endif  // MANGOPORT_LIB_EDGE_FEED_LOG_H_
