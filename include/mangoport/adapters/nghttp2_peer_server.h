#ifndef MANGOPORT_ADAPTERS_NGHTTP2_PEER_SERVER_H_
#define MANGOPORT_ADAPTERS_NGHTTP2_PEER_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "mangoport/core/error.h"
#include "mangoport/core/time.h"
#include "mangoport/ports/peer.h"

namespace mangoport {

struct PeerServerOptions {
  /// Port zero takes any free port; `port()` tells which.
  PeerAddress listen{"127.0.0.1", 0};
  std::size_t handler_threads = 4;
  /// Largest request and largest reply, in bytes.
  std::size_t max_body_bytes = std::size_t{4} << 20;
  /// Names and values of one request's header, in bytes.
  std::size_t max_header_bytes = std::size_t{8} << 10;
  std::size_t max_connections = 4096;
  std::uint32_t max_streams_per_connection = 256;
  /// Requests that are running or waiting for a thread, over all connections.
  std::size_t max_open_requests = 4096;
  /// A connection that has received nothing for so long is closed.
  Duration idle_timeout = std::chrono::minutes(2);
};

/// HTTP/2 server for `/peer/v1/<method>`: one thread for the connections and a
/// small pool for the handlers.
class Nghttp2PeerServer {
 public:
  /// Binds and starts. Fails with `kUnavailable` if the address can't be used.
  static Result<std::unique_ptr<Nghttp2PeerServer>> Start(
      PeerServerOptions options,
      PeerHandler handler);

  /// Closes all connections at once; waits for running handlers. Must not run
  /// inside a handler.
  ~Nghttp2PeerServer();

  Nghttp2PeerServer(const Nghttp2PeerServer&) = delete;
  Nghttp2PeerServer& operator=(const Nghttp2PeerServer&) = delete;

  /// Graceful stop: takes no new connection or request, and waits at most
  /// `drain` until the open requests are answered. True if all were.
  bool Shutdown(Duration drain);

  std::uint16_t port() const;

 private:
  class Impl;
  explicit Nghttp2PeerServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ADAPTERS_NGHTTP2_PEER_SERVER_H_
