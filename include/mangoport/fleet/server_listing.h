#ifndef MANGOPORT_FLEET_SERVER_LISTING_H_
#define MANGOPORT_FLEET_SERVER_LISTING_H_

#include <cstdint>
#include <map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/fleet/server_directory.h"

namespace mangoport {

/// What the store lists at this host's position, without this host's own
/// decisions about it such as grace periods.
///
/// At equal positions every host must have the same listing, so a digest of it
/// shows whether a host has missed a change.
class ServerListing {
 public:
  /// Applies one change. Returns true if it changed the listing.
  bool Apply(const ServerChange& change);

  /// Replaces the listing.
  void Replace(const std::vector<ServerEntry>& entries);

  /// A digest of all entries; independent of their order.
  std::uint64_t digest() const { return digest_; }

 private:
  /// The digest of each listed entry.
  std::map<ServerId, std::uint64_t> entries_;
  std::uint64_t digest_ = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_SERVER_LISTING_H_
