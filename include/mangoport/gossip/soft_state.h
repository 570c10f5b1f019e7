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
#include "mangoport/core/time.h"
#include "mangoport/soft_state.pb.h"

namespace mangoport {

/// Another host, as its datagrams and the store's list of hosts tell.
struct PeerHost {
  HostId host;
  ZoneId zone;
  /// "ip:port" for datagrams.
  std::string address;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  /// When a datagram arrived last; none if it is only listed.
  std::optional<MonoTime> heard_at;
  /// The newest reading of its clock that it has sent.
  std::uint64_t clock_us = 0;
  /// How far it knows the list of servers.
  std::uint64_t servers_position = 0;
  /// When this host told it last.
  std::optional<MonoTime> told_at;
  bool leaving = false;
};

/// A peer to tell now.
struct DuePeer {
  PeerHost peer;
  /// Its turn has come; otherwise only the news of the feeds is due.
  bool whole = true;
};

struct SoftStateSettings {
  /// How often each peer is told, in a small fleet.
  Duration interval = std::chrono::milliseconds(200);
  /// In a large fleet, the datagrams that a host sends a second.
  double datagrams_per_second = 80;
  /// How often a feed reader and the others of its availability zone tell each
  /// other, even where a round takes longer.
  Duration reader_interval = std::chrono::milliseconds(400);
  /// A peer that was silent for longer is out of touch, in a small fleet.
  Duration in_touch = std::chrono::milliseconds(1200);
  /// A peer that was silent for longer is told no more, unless it is listed
  /// anew.
  Duration forget_after = std::chrono::seconds(45);
};

/// A moment of this host's clock that `message` was sent after: its sender had
/// the reading by then. None if the echo is not of this run of the host, whose
/// clock may have been another.
std::optional<BootTime> SentAfter(const wire::HostState& message,
                                  std::uint64_t own_incarnation);

/// Which peers there are and when each is told this host's state. The state
/// itself is soft: counters since the start, whole each time.
class PeerTable {
 public:
  PeerTable(HostId self, ZoneId zone, const SoftStateSettings& settings)
      : self_(std::move(self)), zone_(std::move(zone)), settings_(settings) {}

  /// Takes a host from the store's list.
  void OnListed(MonoTime now, const HostId& host, const std::string& address);

  /// Takes in a datagram. False if it is old, a repeat or this host's own: it
  /// must not be used.
  bool OnMessage(MonoTime now, const wire::HostState& message);

  /// The hosts that read the store's feeds for all, and whether this one does.
  void SetReaders(const std::set<HostId>& readers);

  /// Whether this host holds the order lease, so that the readers, who look
  /// out for its loss, hear it often.
  void set_holds_orders(bool holds) { holds_orders_ = holds; }

  /// How long it takes until each peer has been told once.
  Duration Round() const;

  /// The peers that were heard lately and don't stop.
  std::vector<PeerHost> InTouch(MonoTime now) const;

  /// The peers to tell now, in turn, so that the rate of datagrams is bounded.
  std::vector<DuePeer> DuePeers(MonoTime now);

  /// The peers in this host's availability zone, to be told news of the feeds.
  std::vector<PeerHost> ZonePeers() const;

  /// When `DuePeers` has something to do next.
  MonoTime next_due() const { return next_due_; }

  const std::map<HostId, PeerHost>& peers() const { return peers_; }

 private:
  /// The ordinary peers whose turn it is.
  std::set<HostId> NextInTurn();
  /// True if one of the two reads the feeds for the zone of both.
  bool SharesReader(const PeerHost& peer) const;

  HostId self_;
  ZoneId zone_;
  SoftStateSettings settings_;
  std::map<HostId, PeerHost> peers_;
  std::map<HostId, MonoTime> listed_at_;
  std::optional<HostId> last_told_;
  std::set<HostId> readers_;
  bool holds_orders_ = false;
  MonoTime next_due_;
};

}  // namespace mangoport

#endif  // MANGOPORT_GOSSIP_SOFT_STATE_H_
