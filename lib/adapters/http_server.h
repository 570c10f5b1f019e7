#ifndef MANGOPORT_LIB_ADAPTERS_HTTP_SERVER_H_
#define MANGOPORT_LIB_ADAPTERS_HTTP_SERVER_H_

#include <httplib.h>
#include <sys/socket.h>

#include <cstdint>
#include <memory>

#include "mangoport/settings/host_settings.h"

namespace mangoport {

/// Connections that may wait to be accepted. The library asks for five and
/// offers no setting; a burst beyond that is dropped by the kernel after the
/// callers believe themselves connected.
inline constexpr int kListenBacklog = 4096;

/// Binds `server` with a queue of `kListenBacklog`. Returns the port, or 0 if
/// that failed.
inline std::uint16_t BindServer(httplib::Server& server,
                                const Endpoint& endpoint) {
  const auto bound = std::make_shared<socket_t>(INVALID_SOCKET);
  server.set_socket_options([bound](socket_t socket) {
    httplib::default_socket_options(socket);
    *bound = socket;
  });
  int port = endpoint.port;
  if (port == 0) {
    port = server.bind_to_any_port(endpoint.ip);
  } else if (!server.bind_to_port(endpoint.ip, port)) {
    port = 0;
  }
  // Listening again on a socket that listens sets the length of its queue.
  if (port <= 0 || listen(*bound, kListenBacklog) != 0)
    return 0;
  return static_cast<std::uint16_t>(port);
}

}  // namespace mangoport

#endif  // MANGOPORT_LIB_ADAPTERS_HTTP_SERVER_H_
