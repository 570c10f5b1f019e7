#ifndef MANGOPORT_LIB_ADAPTERS_HTTP_CLIENT_H_
#define MANGOPORT_LIB_ADAPTERS_HTTP_CLIENT_H_

#include <httplib.h>

#include <string>

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

/// True if the head of an answer is HTTP/1.1, as far as cpp-httplib shows it:
/// a final status, names and values that fields can have, and one framing.
bool HasSoundHead(const httplib::Response& response);

/// Sends a request. The call fails, after its request has been sent, if the
/// head of the answer isn't sound.
httplib::Result Send(httplib::Client& client, httplib::Request request);

/// The same for a request without a body.
httplib::Result Get(httplib::Client& client, const std::string& path);

/// The same for a request with a body.
httplib::Result Post(httplib::Client& client,
                     const std::string& path,
                     std::string body,
                     const std::string& content_type);

}  // namespace mangoport

#endif  // MANGOPORT_LIB_ADAPTERS_HTTP_CLIENT_H_
