#include "mangoport/edge/soft_state_service.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <bit>
#include <utility>

#include "mangoport/membership/feed_readers.h"

namespace mangoport {
namespace {

MonoTime Now() {
  return std::chrono::steady_clock::now();
}

/// Delay before changes are sent, so that several share a datagram.
constexpr Duration kBatchingDelay = std::chrono::milliseconds(10);

/// Uses the time of day, so that later starts of a host have higher numbers.
std::uint64_t NewIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

SoftStateService::SoftStateService(asio::io_context& io,
                                   TimerQueue& timers,
                                   DecisionLog& log,
                                   const HostId& host,
                                   const ZoneId& zone,
                                   const Endpoint& address,
                                   SoftStateHooks hooks)
    : timers_(timers),
      log_(log),
      host_(host),
      zone_(zone),
      address_(address),
      hooks_(std::move(hooks)),
      socket_(io),
      peers_(host, zone, SoftStateSettings{}),
      incarnation_(NewIncarnation()) {}

void SoftStateService::Start() {
  const asio::ip::udp::endpoint own(asio::ip::make_address(address_.ip),
                                    address_.port);
  socket_.open(own.protocol());
  socket_.bind(own);
  socket_.non_blocking(true);
  Receive();
  SendDue(Now());
}

void SoftStateService::Receive() {
  socket_.async_wait(asio::ip::udp::socket::wait_read,
                     [this](const asio::error_code& ec) {
                       if (ec)
                         return;
                       ReadAll();
                       Receive();
                     });
}

void SoftStateService::ReadAll() {
  const MonoTime now = Now();
  while (true) {
    asio::ip::udp::endpoint sender;
    asio::error_code ec;
    const std::size_t n =
        socket_.receive_from(asio::buffer(buffer_), sender, /*flags=*/0, ec);
    if (ec == asio::error::would_block)
      return;
    // The error may also be a peer's closed port, reported by ICMP.
    if (!ec)
      OnDatagram(now, n);
  }
}

void SoftStateService::OnDatagram(MonoTime now, std::size_t bytes) {
  wire::HostState message;
  if (!message.ParseFromArray(buffer_.data(), static_cast<int>(bytes))) {
    NoteUnreadable(bytes);
    return;
  }
  const auto known = peers_.peers().find(HostId(message.host()));
  const bool is_new = known == peers_.peers().end() ||
                      known->second.incarnation != message.incarnation();
  if (!peers_.OnMessage(now, message))
    return;
  if (is_new || message.leaving())
    log_.Write(LogLine("peer")
                   .Add("host", message.host())
                   .Add("change", message.leaving() ? "leaving" : "heard")
                   .Add("incarnation", message.incarnation()));
  hooks_.on_state(now, SentAfter(message, incarnation_), message);
}

void SoftStateService::NoteUnreadable(std::size_t bytes) {
  ++unreadable_;
  // A peer may send several a second.
  if (std::has_single_bit(unreadable_))
    log_.Write(LogLine("datagram_unreadable")
                   .Add("bytes", bytes)
                   .Add("so_far", unreadable_));
}

void SoftStateService::OnHosts(const std::vector<HostAddress>& hosts) {
  const MonoTime now = Now();
  for (const HostAddress& it : hosts)
    peers_.OnListed(now, it.host, it.address);
}

void SoftStateService::ChooseReaders(MonoTime now) {
  std::vector<FleetHost> hosts;
  if (!leaving_)
    hosts.push_back({.host = host_, .zone = zone_});
  for (const PeerHost& it : peers_.ReachablePeers(now))
    hosts.push_back({.host = it.host, .zone = it.zone});
  const std::set<HostId> readers = ChooseFeedReaders(hosts);
  if (readers == readers_)
    return;
  const bool reads = readers.contains(host_);
  if (reads != readers_.contains(host_))
    log_.Write(LogLine("feed_reader")
                   .Add("reads", reads)
                   .Add("hosts_in_touch", hosts.size()));
  readers_ = readers;
  peers_.SetReaders(readers_);
  hooks_.on_reader(reads);
}

void SoftStateService::SendDue(MonoTime now) {
  ChooseReaders(now);
  for (const DuePeer& it : peers_.DuePeers(now))
    Send(now, it.peer, it.full_state ? Content::kFull : Content::kFeeds);
  timers_.Add(peers_.next_due(), [this](MonoTime due) { SendDue(due); });
}

void SoftStateService::SendTo(const HostId& host) {
  const auto it = peers_.peers().find(host);
  if (it != peers_.peers().end())
    Send(Now(), it->second);
}

void SoftStateService::SendChangesSoon() {
  if (std::exchange(send_changes_pending_, true))
    return;
  const MonoTime due = std::max(Now() + kBatchingDelay,
                                changes_sent_at_ + peers_.BroadcastInterval());
  timers_.Add(due, [this](MonoTime now) {
    send_changes_pending_ = false;
    changes_sent_at_ = now;
    for (const auto& [host, peer] : peers_.peers()) {
      if (!peer.leaving)
        Send(now, peer, Content::kChanges);
    }
  });
}

void SoftStateService::SendFeedsSoon() {
  if (std::exchange(send_feeds_pending_, true))
    return;
  timers_.Add(Now() + kBatchingDelay, [this](MonoTime now) {
    send_feeds_pending_ = false;
    for (const PeerHost& it : peers_.ZonePeers())
      Send(now, it, Content::kFeeds);
  });
}

void SoftStateService::AnnounceLeaving() {
  leaving_ = true;
  for (const auto& [host, peer] : peers_.peers())
    Send(Now(), peer);
}

void SoftStateService::Send(MonoTime now,
                            const PeerHost& peer,
                            Content content) {
  Endpoint endpoint;
  if (!ParseEndpoint(peer.address, endpoint))
    return;
  wire::HostState message;
  message.set_host(host_.value());
  message.set_zone(zone_.value());
  message.set_address(ToString(address_));
  message.set_incarnation(incarnation_);
  message.set_sequence(++sequence_);
  message.set_leaving(leaving_);
  message.set_sent_at_us(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          BootClock::now().time_since_epoch())
          .count()));
  message.set_echo_us(peer.clock_us);
  message.set_echo_incarnation(peer.incarnation);
  const bool full_state = content == Content::kFull;
  message.set_feeds_only(!full_state);
  hooks_.fill_feeds(now, peer, message);
  if (content != Content::kFeeds)
    hooks_.fill_changes(now, peer, message);
  if (full_state)
    hooks_.fill(now, peer, message);
  const std::string bytes = message.SerializeAsString();
  asio::error_code ec;
  // A failed send needs no retry: the next datagram has the complete state.
  socket_.send_to(asio::buffer(bytes),
                  {asio::ip::make_address(endpoint.ip), endpoint.port},
                  /*flags=*/0, ec);
}

}  // namespace mangoport
