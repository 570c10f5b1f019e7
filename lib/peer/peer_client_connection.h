#ifndef MANGOPORT_LIB_PEER_PEER_CLIENT_CONNECTION_H_
#define MANGOPORT_LIB_PEER_PEER_CLIENT_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "lib/peer/http2_connection.h"
#include "mangoport/adapters/nghttp2_peer_client.h"

namespace mangoport {

class ClientConnection;

/// One call from its start to `done`.
struct OpenCall {
  OpenCall(asio::io_context& context, Duration timeout)
      : deadline(context, timeout) {}

  std::string authority;
  std::string path;
  std::string body;
  std::function<void(PeerReply)> done;
  asio::steady_timer deadline;
  /// Where the call was last submitted.
  std::weak_ptr<ClientConnection> connection;
  std::int32_t stream = -1;
  int connections_tried = 0;
  std::size_t sent = 0;
  /// The peer may have the whole request.
  bool sent_whole = false;
  int status = 0;
  std::string reply;
  /// The peer has ended its side of the stream behind the reply.
  bool reply_whole = false;
  bool finished = false;
};

using OpenCallPtr = std::shared_ptr<OpenCall>;

/// Callbacks of a connection to the link that owns it.
struct ConnectionHooks {
  std::function<void(const OpenCallPtr&, PeerReply)> finish;
  std::function<void(std::string_view reason,
                     const std::vector<OpenCallPtr>& left)>
      closed;
  std::function<void()> silent;
};

/// The client's end of one connection, with the calls that are open on it.
class ClientConnection : public Http2Connection {
 public:
  ClientConnection(asio::io_context& context,
                   asio::ip::tcp::socket socket,
                   const PeerClientOptions& options,
                   ConnectionHooks hooks);

  bool accepts_calls() {
    return !closed() && !draining_ &&
           nghttp2_session_check_request_allowed(session()) != 0;
  }

  void Submit(const OpenCallPtr& call);

  /// Cancels the call and resets its stream, so that the peer stops too.
  void Abandon(const OpenCallPtr& call);

  /// Checks progress and idleness at regular times until the connection is
  /// closed.
  void Watch();

 protected:
  void OnHeader(std::int32_t stream,
                std::string_view name,
                std::string_view value) override;
  void OnData(std::int32_t stream, std::string_view data) override;
  void OnEndStream(std::int32_t stream) override;
  void OnStreamClosed(std::int32_t stream, std::uint32_t error) override;
  void OnGoaway() override { draining_ = true; }
  void OnClosed(std::string_view reason) override;

 private:
  /// Sends a PING when the other end has been quiet, and closes when it has
  /// not reacted to one.
  void CheckProgress(MonoTime now);
  std::shared_ptr<ClientConnection> Self() {
    return std::static_pointer_cast<ClientConnection>(shared_from_this());
  }
  OpenCallPtr Take(std::int32_t stream);
  PeerReply ReplyOf(const OpenCall& call, std::uint32_t error) const;

  const PeerClientOptions& options_;
  ConnectionHooks hooks_;
  std::unordered_map<std::int32_t, OpenCallPtr> calls_;
  asio::steady_timer watch_timer_;
  std::optional<MonoTime> ping_sent_;
  MonoTime last_submitted_{};
  bool draining_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_LIB_PEER_PEER_CLIENT_CONNECTION_H_
