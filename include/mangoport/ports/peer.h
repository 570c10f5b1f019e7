#ifndef MANGOPORT_PORTS_PEER_H_
#define MANGOPORT_PORTS_PEER_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "mangoport/core/time.h"

namespace mangoport {

/// Where an entry host answers its peers.
struct PeerAddress {
  std::string ip;
  std::uint16_t port = 0;

  friend auto operator<=>(const PeerAddress&, const PeerAddress&) = default;
};

enum class PeerStatus {
  kOk,
  /// The peer's handler has not seen the request and never will.
  kRefused,
  /// The peer's handler may have seen the request, or may yet see it.
  kUnknown,
};

struct PeerReply {
  PeerStatus status = PeerStatus::kUnknown;
  /// The peer's answer with `kOk`, otherwise the reason as text.
  std::string body;
};

/// Calls to other entry hosts.
class PeerClient {
 public:
  virtual ~PeerClient() = default;

  /// Sends `body` to `method` of the peer and hands its reply to `done`, once.
  ///
  /// Never blocks and never repeats a request that the peer may have seen.
  /// `done` runs on a thread of the client, must not block, and is called at
  /// the latest when `timeout` has passed.
  virtual void Call(const PeerAddress& peer,
                    std::string_view method,
                    std::string body,
                    Duration timeout,
                    std::function<void(PeerReply)> done) = 0;
};

/// Answers a peer's request. It runs on a thread of the server's pool and
/// calls `respond` once, there or later on any thread. A reply after the
/// caller has given up is dropped.
using PeerHandler =
    std::function<void(std::string_view method,
                       std::string body,
                       std::function<void(std::string reply)> respond)>;

}  // namespace mangoport

#endif  // MANGOPORT_PORTS_PEER_H_
