#ifndef MANGOPORT_FORWARD_CONNECTION_POOL_H_
#define MANGOPORT_FORWARD_CONNECTION_POOL_H_

#include <asio/io_context.hpp>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "mangoport/forward/http_connection.h"
#include "mangoport/forward/timer_queue.h"

namespace mangoport {

/// Kept connections to the processes that this host calls, by name. The name
/// is that of a process, not of its address, which another may take over.
class ConnectionPool {
 public:
  ConnectionPool(asio::io_context& io, TimerQueue& timers)
      : io_(io), timers_(timers) {}

  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// A connection for one exchange: the one that was used last, or a new one.
  /// `fresh` asks for a new one. It comes back by itself once it is idle.
  HttpConnection::Ptr Acquire(MonoTime now,
                              const std::string& peer,
                              const asio::ip::tcp::endpoint& endpoint,
                              bool fresh);

  /// Closes the idle connections to a process that is gone.
  void Forget(const std::string& peer);

  /// Connections to the process, idle ones among them.
  std::size_t open(const std::string& peer) const;
  std::uint64_t opened_total() const { return opened_total_; }

 private:
  struct Peer {
    std::vector<HttpConnection::Ptr> idle;
    std::size_t open = 0;
  };

  void OnState(const std::string& peer,
               const HttpConnection::Ptr& connection,
               bool reusable);

  asio::io_context& io_;
  TimerQueue& timers_;
  std::unordered_map<std::string, Peer> peers_;
  std::uint64_t opened_total_ = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_CONNECTION_POOL_H_
