#include "mangoport/gossip/soft_state.h"

#include <algorithm>
#include <cmath>

#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

/// The maximum delay of a datagram from a host's earlier run.
constexpr Duration kMaxDatagramDelay = std::chrono::milliseconds(1500);

}  // namespace

std::optional<BootTime> SentAfter(const wire::HostState& message,
                                  std::uint64_t own_incarnation) {
  const bool this_run = message.echo_incarnation() == own_incarnation ||
                        MutantEnabled("echo_of_any_run");
  if (message.echo_us() == 0 || !this_run)
    return std::nullopt;
  return BootTime(std::chrono::microseconds(message.echo_us()));
}

void PeerTable::OnListed(MonoTime now,
                         const HostId& host,
                         const std::string& address) {
  if (host == self_)
    return;
  PeerHost& peer = peers_[host];
  peer.host = host;
  listed_at_[host] = now;
  if (!peer.last_received_at || peer.address.empty())
    peer.address = address;
}

bool PeerTable::OnMessage(MonoTime now, const wire::HostState& message) {
  const HostId host(message.host());
  if (host == self_ || host.empty())
    return false;
  PeerHost& peer = peers_[host];
  // A host whose clock was set back restarts with a lower incarnation. Accept
  // it only if no datagram of the earlier run can still be in flight.
  const bool restarted = message.incarnation() < peer.incarnation &&
                         peer.last_received_at &&
                         now - *peer.last_received_at > kMaxDatagramDelay;
  const bool newer = message.incarnation() > peer.incarnation || restarted ||
                     (message.incarnation() == peer.incarnation &&
                      message.sequence() > peer.sequence);
  if (!newer)
    return false;
  peer.host = host;
  peer.zone = ZoneId(message.zone());
  peer.address = message.address();
  peer.incarnation = message.incarnation();
  peer.sequence = message.sequence();
  peer.last_received_at = now;
  peer.clock_us = message.sent_at_us();
  peer.servers_position = {.timeline = message.servers_timeline(),
                           .offset = message.servers_position()};
  peer.leaving = message.leaving();
  return true;
}

Duration PeerTable::RoundDuration() const {
  const std::chrono::duration<double> by_rate(
      static_cast<double>(peers_.size()) / settings_.datagrams_per_second);
  return std::max(settings_.interval,
                  std::chrono::duration_cast<Duration>(by_rate));
}

Duration PeerTable::BroadcastInterval() const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(peers_.size()) /
                                    settings_.broadcast_datagrams_per_second));
}

void PeerTable::SetReaders(const std::set<HostId>& readers) {
  readers_ = readers;
}

std::vector<PeerHost> PeerTable::ReachablePeers(MonoTime now) const {
  // One or two lost datagrams must not make a peer count as unreachable.
  constexpr int kRounds = 3;
  const Duration limit =
      std::max(settings_.reachable_timeout, RoundDuration() * kRounds);
  std::vector<PeerHost> out;
  for (const auto& [host, peer] : peers_) {
    if (peer.last_received_at && now - *peer.last_received_at <= limit &&
        !peer.leaving)
      out.push_back(peer);
  }
  return out;
}

std::set<HostId> PeerTable::NextInTurn() {
  // If a round takes longer than an interval, each interval covers only the
  // next part of the round.
  const double part = std::chrono::duration<double>(settings_.interval) /
                      std::chrono::duration<double>(RoundDuration());
  const auto n = std::min(static_cast<std::size_t>(std::ceil(
                              part * static_cast<double>(peers_.size()))),
                          peers_.size());
  std::set<HostId> out;
  auto it = last_in_turn_ ? peers_.upper_bound(*last_in_turn_) : peers_.begin();
  for (std::size_t i = 0; i < n; ++i) {
    if (it == peers_.end())
      it = peers_.begin();
    out.insert(it->first);
    last_in_turn_ = it->first;
    ++it;
  }
  return out;
}

std::vector<DuePeer> PeerTable::DuePeers(MonoTime now) {
  std::erase_if(peers_, [&](const auto& it) {
    const auto listed = listed_at_.find(it.first);
    MonoTime last = it.second.last_received_at.value_or(MonoTime());
    if (listed != listed_at_.end())
      last = std::max(last, listed->second);
    return now - last > settings_.forget_after;
  });
  next_due_ = now + settings_.interval;
  if (peers_.empty())
    return {};
  const std::set<HostId> turn = NextInTurn();
  std::vector<DuePeer> out;
  for (auto& [host, peer] : peers_) {
    const bool reader_interval_elapsed =
        !peer.last_sent_at ||
        now - *peer.last_sent_at >= settings_.reader_interval;
    const bool full_state =
        turn.contains(host) ||
        (reader_interval_elapsed && holds_orders_ && readers_.contains(host));
    if (peer.leaving ||
        !(full_state || (reader_interval_elapsed && SharesReader(peer))))
      continue;
    peer.last_sent_at = now;
    out.push_back({.peer = peer, .full_state = full_state});
  }
  return out;
}

bool PeerTable::SharesReader(const PeerHost& peer) const {
  return peer.zone == zone_ &&
         (readers_.contains(self_) || readers_.contains(peer.host));
}

std::vector<PeerHost> PeerTable::ZonePeers() const {
  std::vector<PeerHost> out;
  for (const auto& [host, peer] : peers_) {
    if (peer.zone == zone_ && !peer.leaving)
      out.push_back(peer);
  }
  return out;
}

}  // namespace mangoport
