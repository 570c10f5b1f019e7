#ifndef MANGOPORT_GOSSIP_SOFT_STATE_H_
#define MANGOPORT_GOSSIP_SOFT_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/store_position.h"
#include "mangoport/core/time.h"
#include "mangoport/soft_state.pb.h"

namespace mangoport {

/// Another host, as known from its datagrams and the store's list of hosts.
struct PeerHost {
  HostId host;
  ZoneId zone;
  /// "ip:port" for datagrams.
  std::string address;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  /// When the last datagram arrived; none if the host is only listed.
  std::optional<MonoTime> last_received_at;
  /// The newest clock reading that the peer has sent.
  std::uint64_t clock_us = 0;
  /// The peer's position in the server list.
  StorePosition servers_position = {};
  /// When this host last sent it a datagram.
  std::optional<MonoTime> last_sent_at;
  /// The peer is shutting down in order.
  bool leaving = false;
};

/// A peer that is due for a datagram.
struct DuePeer {
  PeerHost peer;
  /// True if the full state is due; otherwise only the feed changes are.
  bool full_state = true;
};

struct SoftStateSettings {
  /// The interval between datagrams to each peer, in a small fleet.
  Duration interval = std::chrono::milliseconds(200);
  /// The number of full-state datagrams per second that a host sends in
  /// rotation in a large fleet.
  double datagrams_per_second = 80;
  /// The number of datagrams per second in which a host announces changes to
  /// all peers at once.
  double broadcast_datagrams_per_second = 2000;
  /// The interval at which a feed reader and the other hosts of its
  /// availability zone send each other datagrams, even if a round takes longer.
  Duration reader_interval = std::chrono::milliseconds(400);
  /// A peer that has sent nothing for longer is unreachable, in a small fleet.
  Duration reachable_timeout = std::chrono::milliseconds(1200);
  /// A peer that has sent nothing for longer is removed, unless it was listed
  /// again in that time.
  Duration forget_after = std::chrono::seconds(45);
};

/// Returns a time on this host's clock before which `message` cannot have been
/// sent, taken from the clock reading that its sender echoes. None without an
/// echo, or if the echo is from another run of this host, whose clock may have
/// differed.
std::optional<BootTime> SentAfter(const wire::HostState& message,
                                  std::uint64_t own_incarnation);

/// The known peers and the schedule on which this host sends them its state.
/// The state is soft: each datagram contains complete counters since the start
/// of the host, so a lost one needs no retransmission.
class PeerTable {
 public:
  PeerTable(HostId self, ZoneId zone, const SoftStateSettings& settings)
      : self_(std::move(self)), zone_(std::move(zone)), settings_(settings) {}

  /// Adds a host from the store's list, or refreshes it.
  void OnListed(MonoTime now, const HostId& host, const std::string& address);

  /// Records a datagram. Returns false if it is outdated, a duplicate or this
  /// host's own; the caller must then ignore it.
  bool OnMessage(MonoTime now, const wire::HostState& message);

  /// Sets the hosts that read the store's feeds; they may include this host.
  void SetReaders(const std::set<HostId>& readers);

  /// Sets whether this host holds the order lease. If so, it sends its state to
  /// the readers often, because they monitor the holder for failure.
  void set_holds_orders(bool holds) { holds_orders_ = holds; }

  /// Returns the time in which each peer is sent the full state once.
  Duration RoundDuration() const;

  /// Returns the minimum time between two announcements to all peers.
  Duration BroadcastInterval() const;

  /// Returns the peers that sent a datagram recently and are not shutting down.
  std::vector<PeerHost> ReachablePeers(MonoTime now) const;

  /// Returns the peers to send a datagram to now and marks them as sent. Takes
  /// the peers in rotation to bound the rate of datagrams. Also removes peers
  /// that have sent nothing for `forget_after`.
  std::vector<DuePeer> DuePeers(MonoTime now);

  /// Returns the peers in this host's availability zone, which receive feed
  /// changes from it.
  std::vector<PeerHost> ZonePeers() const;

  /// When to call `DuePeers` next.
  MonoTime next_due() const { return next_due_; }

  const std::map<HostId, PeerHost>& peers() const { return peers_; }

 private:
  /// Advances the rotation and returns the peers whose turn it is.
  std::set<HostId> NextInTurn();
  /// Returns true if `peer` is in this host's zone and at least one of the two
  /// is a feed reader.
  bool SharesReader(const PeerHost& peer) const;

  HostId self_;
  ZoneId zone_;
  SoftStateSettings settings_;
  std::map<HostId, PeerHost> peers_;
  std::map<HostId, MonoTime> listed_at_;
  std::optional<HostId> last_in_turn_;
  std::set<HostId> readers_;
  bool holds_orders_ = false;
  MonoTime next_due_;
};

}  // namespace mangoport

#endif  // MANGOPORT_GOSSIP_SOFT_STATE_H_
