#ifndef MANGOPORT_FORWARD_CONNECTION_TABLE_H_
#define MANGOPORT_FORWARD_CONNECTION_TABLE_H_

#include <cstddef>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

#include "mangoport/core/time.h"

namespace mangoport {

/// What a caller's connection is used for, in the order in which connections
/// are given up for new ones.
enum class ConnectionUse {
  /// A request has begun to arrive and is not whole.
  kUnfinished,
  /// Nothing has arrived, and nothing is leaving.
  kIdle,
  /// An answer has ended and has not been taken by its caller.
  kDelivering,
  /// A request is under way. Such a connection is not given up.
  kBusy,
};

/// Decides which of a listener's connections is closed when there are too many.
/// Callers that open connections and finish no request must not keep others
/// out, and must not take the descriptors that servers, the store and other
/// hosts need.
class ConnectionTable {
 public:
  /// Identifies a connection.
  using Key = const void*;

  /// Adds a connection, or states that its use is another one from `now` on.
  void Set(MonoTime now, Key key, ConnectionUse use);
  void Remove(Key key);

  /// Returns the connection to give up: the one that costs most and earns
  /// least, of those the one that has been so for longest. None if all are
  /// busy.
  std::optional<Key> Next() const;

  std::size_t size() const { return connections_.size(); }

 private:
  struct Connection {
    ConnectionUse use = ConnectionUse::kIdle;
    MonoTime since;
  };
  using Rank = std::tuple<ConnectionUse, MonoTime, Key>;

  std::unordered_map<Key, Connection> connections_;
  /// Those that can be given up.
  std::set<Rank> ranks_;
};

/// Returns how many connections callers may have in a process that may have
/// `descriptors` open. The rest is for servers, the store, other hosts,
/// readiness and metrics.
std::size_t MaxCallerConnections(std::size_t descriptors);

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_CONNECTION_TABLE_H_
