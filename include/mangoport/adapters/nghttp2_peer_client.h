#ifndef MANGOPORT_ADAPTERS_NGHTTP2_PEER_CLIENT_H_
#define MANGOPORT_ADAPTERS_NGHTTP2_PEER_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "mangoport/core/time.h"
#include "mangoport/ports/peer.h"

namespace mangoport {

struct PeerClientOptions {
  /// Largest request and largest reply, in bytes.
  std::size_t max_body_bytes = std::size_t{4} << 20;
  /// Calls to one peer that may be open or waiting at once.
  std::size_t max_calls_per_peer = 1024;
  Duration connect_timeout = std::chrono::seconds(1);
  /// A connection with open calls that has received nothing for so long is
  /// sent a PING.
  Duration ping_interval = std::chrono::milliseconds(500);
  /// A connection that has received nothing for so long after a PING is
  /// replaced.
  Duration progress_deadline = std::chrono::seconds(1);
  /// A connection without calls is closed after this time.
  Duration idle_timeout = std::chrono::seconds(30);
  /// After a failed connect, calls to the peer are refused for a random time
  /// that doubles from the lower bound to the upper one.
  Duration min_backoff = std::chrono::milliseconds(50);
  Duration max_backoff = std::chrono::seconds(2);
  /// Seed of the random backoff; different on each host.
  std::uint64_t seed = 1;
};

/// What the client has done since its start.
struct PeerClientCounters {
  std::uint64_t connections_opened = 0;
  /// Connections replaced because they had gone silent.
  std::uint64_t connections_silent = 0;
  std::uint64_t calls_ok = 0;
  std::uint64_t calls_refused = 0;
  std::uint64_t calls_unknown = 0;
};

/// HTTP/2 client: one connection a peer, one stream a call, one thread.
class Nghttp2PeerClient : public PeerClient {
 public:
  explicit Nghttp2PeerClient(PeerClientOptions options);

  /// Ends all open calls first. Must not run on the client's own thread, that
  /// is, inside a `done`.
  ~Nghttp2PeerClient() override;

  Nghttp2PeerClient(const Nghttp2PeerClient&) = delete;
  Nghttp2PeerClient& operator=(const Nghttp2PeerClient&) = delete;

  void Call(const PeerAddress& peer,
            std::string_view method,
            std::string body,
            Duration timeout,
            std::function<void(PeerReply)> done) override;

  PeerClientCounters counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ADAPTERS_NGHTTP2_PEER_CLIENT_H_
