#ifndef MANGOPORT_EDGE_SOFT_STATE_SERVICE_H_
#define MANGOPORT_EDGE_SOFT_STATE_SERVICE_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mangoport/core/time.h"
#include "mangoport/forward/timer_queue.h"
#include "mangoport/gossip/soft_state.h"
#include "mangoport/ports/fleet_platform.h"
#include "mangoport/settings/host_settings.h"
#include "mangoport/telemetry/decision_log.h"

namespace mangoport {

struct SoftStateHooks {
  using Fill = std::function<
      void(MonoTime now, const PeerHost& peer, wire::HostState& message)>;

  /// Adds the state of the feeds to a message for `peer`.
  Fill fill_feeds;
  /// Adds the recent changes of copies, if this host orders engines.
  Fill fill_changes;
  /// Adds the rest of this host's state.
  Fill fill;
  /// A peer's newest state. `sent_after` is a time on this host's clock before
  /// which the message cannot have been sent; none if unknown.
  std::function<void(MonoTime now,
                     std::optional<BootTime> sent_after,
                     const wire::HostState& message)>
      on_state;
  /// Called when this host begins or stops reading the feeds for the others.
  std::function<void(bool reader)> on_reader;
};

/// Exchanges soft state with the other hosts in datagrams.
class SoftStateService {
 public:
  SoftStateService(asio::io_context& io,
                   TimerQueue& timers,
                   DecisionLog& log,
                   const HostId& host,
                   const ZoneId& zone,
                   const Endpoint& address,
                   SoftStateHooks hooks);

  SoftStateService(const SoftStateService&) = delete;
  SoftStateService& operator=(const SoftStateService&) = delete;

  void Start();

  void OnHosts(const std::vector<HostAddress>& hosts);

  /// Sends the full state to one peer now.
  void SendTo(const HostId& host);

  /// Sends the recent changes of copies to all peers within a few milliseconds,
  /// or as soon as `PeerTable::BroadcastInterval` allows. Several calls in that
  /// time cause one datagram per peer.
  void SendChangesSoon();

  /// Does the same for the feeds and the peers of this availability zone.
  void SendFeedsSoon();

  /// Tells every peer that this host is shutting down, now and in all further
  /// datagrams.
  void AnnounceLeaving();

  /// Sets whether this host holds the order lease.
  void SetHoldsOrders(bool holds) { peers_.set_holds_orders(holds); }

  std::uint64_t incarnation() const { return incarnation_; }
  const PeerTable& peers() const { return peers_; }
  /// True if this host reads the store's feeds for the others.
  bool is_reader() const { return readers_.contains(host_); }

 private:
  void Receive();
  void ReadAll();
  void OnDatagram(MonoTime now, std::size_t bytes);
  /// Logs the first datagram that can't be read, then fewer and fewer of them.
  void NoteUnreadable(std::size_t bytes);
  void SendDue(MonoTime now);
  void ChooseReaders(MonoTime now);
  enum class Content { kFeeds, kChanges, kFull };
  void Send(MonoTime now,
            const PeerHost& peer,
            Content content = Content::kFull);

  TimerQueue& timers_;
  DecisionLog& log_;
  HostId host_;
  ZoneId zone_;
  Endpoint address_;
  SoftStateHooks hooks_;
  asio::ip::udp::socket socket_;
  PeerTable peers_;
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  /// Datagrams that could not be read.
  std::uint64_t unreadable_ = 0;
  std::set<HostId> readers_;
  bool send_changes_pending_ = false;
  MonoTime changes_sent_at_;
  bool send_feeds_pending_ = false;
  bool leaving_ = false;
  std::array<char, 65536> buffer_;
};

}  // namespace mangoport

#endif  // MANGOPORT_EDGE_SOFT_STATE_SERVICE_H_
