#ifndef MANGOPORT_FLEET_SERVER_RELAY_H_
#define MANGOPORT_FLEET_SERVER_RELAY_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "mangoport/core/store_position.h"
#include "mangoport/core/time.h"
#include "mangoport/fleet/server_directory.h"

namespace mangoport {

/// The result of one read of the server list.
struct ServerBatch {
  /// The position after the last entry that was read.
  StorePosition next;
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
  void Restart(const StorePosition& next);

  /// Adds the result of a read that continued from the previous one. `batch`
  /// may contain no changes.
  void Add(MonoTime now, ServerBatch batch);

  /// Returns the buffered changes that a host at `position` lacks, oldest
  /// first. They are complete only from `complete_from` on. None for a host in
  /// another timeline, which has to read the whole list.
  std::vector<ServerBatch> Since(MonoTime now, const StorePosition& position);

  const StorePosition& position() const { return position_; }
  /// The position after the newest change that is no longer buffered.
  const StorePosition& complete_from() const { return complete_from_; }
  /// The position after the newest change.
  const StorePosition& changed_at() const { return changed_at_; }

 private:
  struct BufferedBatch {
    MonoTime read_at;
    ServerBatch batch;
  };

  void DropOld(MonoTime now);

  Settings settings_;
  std::deque<BufferedBatch> buffered_;
  std::size_t buffered_changes_ = 0;
  StorePosition position_;
  StorePosition complete_from_;
  StorePosition changed_at_;
};

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_SERVER_RELAY_H_
