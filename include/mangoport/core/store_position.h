#ifndef MANGOPORT_CORE_STORE_POSITION_H_
#define MANGOPORT_CORE_STORE_POSITION_H_

#include <compare>
#include <cstdint>
#include <string>

#include "mangoport/core/time.h"

namespace mangoport {

/// The history that a store's log belongs to. A store that is restored from a
/// backup begins a new, higher timeline: records after the backup are gone, and
/// their offsets are assigned again. Zero if the store names none.
using StoreTimeline = std::uint64_t;

/// Since when a timeline is known. The restore that began it was earlier.
struct TimelineAge {
  StoreTimeline timeline = 0;
  BootTime known_since = {};

  /// Notes that the store was of `seen` at `since` already. Returns false if
  /// that is no news.
  bool Note(StoreTimeline seen, BootTime since) {
    if (seen < timeline || (seen == timeline && since >= known_since))
      return false;
    timeline = seen;
    known_since = since;
    return true;
  }
};

/// A position in one topic of the store's log. Offsets of different timelines
/// are not comparable, so every position that is kept or sent carries its
/// timeline; positions of a later timeline are later.
struct StorePosition {
  StoreTimeline timeline = 0;
  /// The number of records before the position.
  std::uint64_t offset = 0;

  friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

/// "timeline:offset"
inline std::string ToString(const StorePosition& position) {
  return std::to_string(position.timeline) + ":" +
         std::to_string(position.offset);
}

}  // namespace mangoport

#endif  // MANGOPORT_CORE_STORE_POSITION_H_
