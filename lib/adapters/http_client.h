#ifndef MANGOPORT_LIB_ADAPTERS_HTTP_CLIENT_H_
#define MANGOPORT_LIB_ADAPTERS_HTTP_CLIENT_H_

#include <httplib.h>

#include "mangoport/core/time.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {

/// A client with a connection of its own and the given bounds on silence.
inline httplib::Client MakeHttpClient(const Endpoint& endpoint,
                                      Duration connect_timeout,
                                      Duration read_timeout) {
  httplib::Client client(endpoint.ip, endpoint.port);
  client.set_tcp_nodelay(true);
  client.set_keep_alive(false);
  client.set_connection_timeout(connect_timeout);
  client.set_read_timeout(read_timeout);
  client.set_write_timeout(read_timeout);
  return client;
}

/// Whether a failed call certainly sent nothing.
inline bool NothingSent(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

}  // namespace mangoport

#endif  // MANGOPORT_LIB_ADAPTERS_HTTP_CLIENT_H_
