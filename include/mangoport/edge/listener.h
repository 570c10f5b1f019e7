#ifndef MANGOPORT_EDGE_LISTENER_H_
#define MANGOPORT_EDGE_LISTENER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "mangoport/core/time.h"
#include "mangoport/forward/client_session.h"
#include "mangoport/forward/connection_table.h"
#include "mangoport/forward/timer_queue.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {

/// What a listener tells the host.
struct ListenerHooks {
  /// Makes the session of a new connection. `hooks` has those by which the
  /// listener keeps count of it; the host adds its own.
  std::function<std::shared_ptr<ClientSession>(TcpStream::Ptr stream,
                                               ClientSessionHooks hooks)>
      make_session;
  /// A connection was closed since there are too many: the new one itself, or
  /// another one to make room for it.
  std::function<void(bool is_new)> on_given_up;
  /// No connection could be accepted, for want of descriptors or memory.
  std::function<void(const asio::error_code& ec)> on_accept_error;
};

/// A listening socket and the sessions of its connections, of which it keeps a
/// bounded number.
class Listener {
 public:
  Listener(asio::io_context& io,
           TimerQueue& timers,
           const Endpoint& endpoint,
           std::size_t max_connections,
           ListenerHooks hooks);

  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  void Start() { Accept(); }

  /// Returns false for some time after a connection could not be accepted.
  bool Accepts(MonoTime now) const;

  /// The open sessions; any of them may end while the result is in use.
  std::vector<std::shared_ptr<ClientSession>> sessions() const;
  std::size_t size() const { return sessions_.size(); }

 private:
  void Accept();
  void OnAccepted(asio::ip::tcp::socket socket);
  void OnAcceptError(const asio::error_code& ec);
  /// Closes the connection that is given up first; false if there is none.
  bool GiveUpOne();

  TimerQueue& timers_;
  asio::ip::tcp::acceptor acceptor_;
  std::size_t max_connections_;
  ListenerHooks hooks_;
  std::unordered_map<const ClientSession*, std::shared_ptr<ClientSession>>
      sessions_;
  ConnectionTable table_;
  std::optional<MonoTime> accept_failed_at_;
};

}  // namespace mangoport

#endif  // MANGOPORT_EDGE_LISTENER_H_
