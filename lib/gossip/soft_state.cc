#include "mangoport/gossip/soft_state.h"

#include <algorithm>
#include <cmath>

namespace mangoport {
namespace {

/// No datagram of a host's earlier run arrives later than this.
constexpr Duration kRestartSilence = std::chrono::milliseconds(1500);

}  // namespace

void PeerTable::OnListed(MonoTime now,
                         const HostId& host,
                         const std::string& address) {
  if (host == self_)
    return;
  PeerHost& peer = peers_[host];
  peer.host = host;
  listed_at_[host] = now;
  if (!peer.heard_at || peer.address.empty())
    peer.address = address;
}

bool PeerTable::OnMessage(MonoTime now, const wire::HostState& message) {
  const HostId host(message.host());
  if (host == self_ || host.empty())
    return false;
  PeerHost& peer = peers_[host];
  // A host whose clock was set back starts with a lower number; then its
  // earlier run has been silent.
  const bool restarted = message.incarnation() < peer.incarnation &&
                         peer.heard_at &&
                         now - *peer.heard_at > kRestartSilence;
  const bool newer = message.incarnation() > peer.incarnation || restarted ||
                     (message.incarnation() == peer.incarnation &&
                      message.sequence() > peer.sequence);
  if (!newer)
    return false;
  peer.host = host;
  peer.address = message.address();
  peer.incarnation = message.incarnation();
  peer.sequence = message.sequence();
  peer.heard_at = now;
  peer.leaving = message.leaving();
  return true;
}

Duration PeerTable::Period() const {
  const std::chrono::duration<double> by_rate(
      static_cast<double>(peers_.size()) / settings_.datagrams_per_second);
  return std::max(settings_.interval,
                  std::chrono::duration_cast<Duration>(by_rate));
}

std::vector<PeerHost> PeerTable::DuePeers(MonoTime now) {
  std::erase_if(peers_, [&](const auto& it) {
    const auto listed = listed_at_.find(it.first);
    MonoTime last = it.second.heard_at.value_or(MonoTime());
    if (listed != listed_at_.end())
      last = std::max(last, listed->second);
    return now - last > settings_.forget_after;
  });
  if (peers_.empty()) {
    next_due_ = now + settings_.interval;
    return {};
  }
  // In a fleet so large that a round takes longer than an interval, each
  // interval tells the next part of the round.
  const double part = std::chrono::duration<double>(settings_.interval) /
                      std::chrono::duration<double>(Period());
  const auto n = static_cast<std::size_t>(
      std::ceil(part * static_cast<double>(peers_.size())));
  std::vector<PeerHost> due;
  auto it = last_told_ ? peers_.upper_bound(*last_told_) : peers_.begin();
  for (std::size_t i = 0; i < n; ++i) {
    if (it == peers_.end())
      it = peers_.begin();
    if (!it->second.leaving)
      due.push_back(it->second);
    last_told_ = it->first;
    ++it;
  }
  next_due_ = now + settings_.interval;
  return due;
}

}  // namespace mangoport
