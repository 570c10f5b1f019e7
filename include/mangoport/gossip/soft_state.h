#ifndef MANGOPORT_GOSSIP_SOFT_STATE_H_
#define MANGOPORT_GOSSIP_SOFT_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/soft_state.pb.h"

namespace mangoport {

/// Another host, as its datagrams and the store's list of hosts tell.
struct PeerHost {
  HostId host;
  /// "ip:port" for datagrams.
  std::string address;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  /// When a datagram arrived last; none if it is only listed.
  std::optional<MonoTime> heard_at;
  bool leaving = false;
};

struct SoftStateSettings {
  /// How often each peer is told, in a small fleet.
  Duration interval = std::chrono::milliseconds(200);
  /// In a large fleet, the datagrams that a host sends a second.
  double datagrams_per_second = 80;
  /// A peer that was silent for longer is told no more, unless it is listed
  /// anew.
  Duration forget_after = std::chrono::seconds(45);
};

/// Which peers there are and when each is told this host's state. The state
/// itself is soft: counters since the start, whole each time.
class PeerTable {
 public:
  PeerTable(HostId self, const SoftStateSettings& settings)
      : self_(std::move(self)), settings_(settings) {}

  /// Takes a host from the store's list.
  void OnListed(MonoTime now, const HostId& host, const std::string& address);

  /// Takes in a datagram. False if it is old, a repeat or this host's own: it
  /// must not be used.
  bool OnMessage(MonoTime now, const wire::HostState& message);

  /// The peers to tell now, in turn, so that the rate of datagrams is bounded.
  std::vector<PeerHost> DuePeers(MonoTime now);

  /// When `DuePeers` has something to do next.
  MonoTime next_due() const { return next_due_; }

  const std::map<HostId, PeerHost>& peers() const { return peers_; }

 private:
  Duration Period() const;

  HostId self_;
  SoftStateSettings settings_;
  std::map<HostId, PeerHost> peers_;
  std::map<HostId, MonoTime> listed_at_;
  std::optional<HostId> last_told_;
  MonoTime next_due_;
};

}  // namespace mangoport

#endif  // MANGOPORT_GOSSIP_SOFT_STATE_H_
