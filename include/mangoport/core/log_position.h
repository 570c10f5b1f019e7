#ifndef MANGOPORT_CORE_LOG_POSITION_H_
#define MANGOPORT_CORE_LOG_POSITION_H_

#include <compare>
#include <cstdint>
#include <string>

namespace mangoport {

/// The place of one record in one stream of the platform's log.
///
/// The log numbers its entries; an entry holds the records that were appended
/// together, so a record is named by entry offset and index. The order of
/// positions is the only agreement between hosts, and the position of a claim
/// serves as the epoch of the lease it wins.
struct LogPosition {
  std::uint64_t offset = 0;
  std::uint32_t index = 0;

  friend auto operator<=>(const LogPosition&, const LogPosition&) = default;
};

/// "offset.index"
inline std::string ToString(const LogPosition& position) {
  return std::to_string(position.offset) + "." + std::to_string(position.index);
}

}  // namespace mangoport

#endif  // MANGOPORT_CORE_LOG_POSITION_H_
