#ifndef MANGOPORT_FLEET_SERVER_RELAY_H_
#define MANGOPORT_FLEET_SERVER_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "mangoport/core/time.h"
#include "mangoport/fleet/server_directory.h"

namespace mangoport {

/// What one read of the list of servers brought.
struct ServerBatch {
  /// The position behind what was read.
  std::uint64_t next = 0;
  std::vector<ServerChange> changes;
};

/// The newest changes of the list of servers as this host has read them, for
/// those that don't read it themselves.
class ServerRelay {
 public:
  struct Settings {
    /// A host that misses the word of a change for longer reads it itself.
    Duration keep = std::chrono::milliseconds(2500);
    /// What fits well into a datagram.
    std::size_t most_changes = 64;
  };

  explicit ServerRelay(const Settings& settings) : settings_(settings) {}
  ServerRelay() : ServerRelay(Settings{}) {}

  /// The whole list was read, up to `next`.
  void Restart(std::uint64_t next);

  /// A read that went on from the last one brought `batch`, whose changes may
  /// be none.
  void Add(MonoTime now, ServerBatch batch);

  /// The changes from `complete_from` on that a host at `position` lacks,
  /// oldest first.
  std::vector<ServerBatch> Since(MonoTime now, std::uint64_t position);

  std::uint64_t position() const { return position_; }
  /// The position behind the oldest change that is not kept.
  std::uint64_t complete_from() const { return complete_from_; }
  /// The position behind the newest change.
  std::uint64_t changed_at() const { return changed_at_; }

 private:
  struct Kept {
    MonoTime read_at;
    ServerBatch batch;
  };

  void DropOld(MonoTime now);

  Settings settings_;
  std::deque<Kept> kept_;
  std::size_t kept_changes_ = 0;
  std::uint64_t position_ = 0;
  std::uint64_t complete_from_ = 0;
  std::uint64_t changed_at_ = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_SERVER_RELAY_H_
