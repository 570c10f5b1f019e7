#ifndef MANGOPORT_FLEET_SERVER_RELAY_H_
#define MANGOPORT_FLEET_SERVER_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "mangoport/core/time.h"
#include "mangoport/fleet/server_directory.h"

namespace mangoport {

/// The result of one read of the server list.
struct ServerBatch {
  /// The position after the last entry that was read.
  std::uint64_t next = 0;
  std::vector<ServerChange> changes;
};

/// Buffers the recent changes of the server list that this host has read, to
/// forward them to hosts that do not read the list directly.
class ServerRelay {
 public:
  struct Settings {
    /// Changes older than this are dropped. A host that has missed the updates
    /// about a change for longer reads the list itself.
    Duration keep = std::chrono::milliseconds(2500);
    /// The maximum number of buffered changes; they fit into one datagram.
    std::size_t max_changes = 64;
  };

  explicit ServerRelay(const Settings& settings) : settings_(settings) {}
  ServerRelay() : ServerRelay(Settings{}) {}

  /// Clears the buffer after a read of the whole list up to `next`.
  void Restart(std::uint64_t next);

  /// Adds the result of a read that continued from the previous one. `batch`
  /// may contain no changes.
  void Add(MonoTime now, ServerBatch batch);

  /// Returns the buffered changes that a host at `position` lacks, oldest
  /// first. They are complete only from `complete_from` on.
  std::vector<ServerBatch> Since(MonoTime now, std::uint64_t position);

  std::uint64_t position() const { return position_; }
  /// The position after the newest change that is no longer buffered.
  std::uint64_t complete_from() const { return complete_from_; }
  /// The position after the newest change.
  std::uint64_t changed_at() const { return changed_at_; }

 private:
  struct BufferedBatch {
    MonoTime read_at;
    ServerBatch batch;
  };

  void DropOld(MonoTime now);

  Settings settings_;
  std::deque<BufferedBatch> buffered_;
  std::size_t buffered_changes_ = 0;
  std::uint64_t position_ = 0;
  std::uint64_t complete_from_ = 0;
  std::uint64_t changed_at_ = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_SERVER_RELAY_H_
