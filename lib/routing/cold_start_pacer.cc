#include "mangoport/routing/cold_start_pacer.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

/// A smaller share mostly goes unused, since few of one host's requests fit one
/// server.
constexpr double kMinRatePerOwner = 2;

std::uint64_t Rank(const HostId& host, const ServerId& server) {
  const std::string text = host.value() + ' ' + server.value();
  return XXH64(text.data(), text.size(), /*seed=*/0);
}

}  // namespace

std::size_t ColdStartPacer::OwnerCount(double rate) const {
  const auto n =
      static_cast<std::size_t>(std::max(1.0, rate / kMinRatePerOwner));
  return std::clamp<std::size_t>(hosts_.size(), 1, n);
}

bool ColdStartPacer::Owns(const ServerId& id, const Server& server) const {
  if (MutantEnabled("every_host_owns_cold_servers"))
    return true;
  const std::uint64_t own = Rank(self_, id);
  const auto before =
      std::count_if(hosts_.begin(), hosts_.end(),
                    [&](const HostId& it) { return Rank(it, id) < own; });
  return server.in_own_zone &&
         static_cast<std::size_t>(before) < OwnerCount(server.rate);
}

void ColdStartPacer::SetHosts(const HostId& self,
                              std::vector<HostId> zone_hosts,
                              MonoTime settled_at) {
  self_ = self;
  hosts_ = std::move(zone_hosts);
  settled_at_ = settled_at;
  for (auto& [id, server] : servers_)
    server.owned = Owns(id, server);
}

void ColdStartPacer::OnCold(MonoTime now,
                            const ServerId& server,
                            bool in_own_zone,
                            double rate,
                            MonoTime until) {
  std::erase_if(servers_,
                [now](const auto& it) { return now >= it.second.cold_until; });
  Server& state = servers_[server];
  state.rate = rate;
  state.in_own_zone = in_own_zone;
  state.cold_until = std::max(state.cold_until, until);
  state.owned = Owns(server, state);
}

MonoTime ColdStartPacer::HeldUntil(MonoTime now, const ServerId& server) const {
  const auto it = servers_.find(server);
  if (it == servers_.end() || now >= it->second.cold_until)
    return now;
  const Server& state = it->second;
  const MonoTime own_turn = state.owned
                                ? std::max(state.next_request_at, settled_at_)
                                : state.cold_until;
  return std::min(own_turn, state.cold_until);
}

void ColdStartPacer::OnDispatched(MonoTime now, const ServerId& server) {
  const auto it = servers_.find(server);
  if (it == servers_.end())
    return;
  if (now >= it->second.cold_until) {
    servers_.erase(it);
    return;
  }
  const std::chrono::duration<double> interval(
      static_cast<double>(OwnerCount(it->second.rate)) / it->second.rate);
  it->second.next_request_at =
      now + std::chrono::duration_cast<Duration>(interval);
}

bool ColdStartPacer::IsCold(MonoTime now, const ServerId& server) const {
  const auto it = servers_.find(server);
  return it != servers_.end() && now < it->second.cold_until;
}

std::size_t ColdStartPacer::ColdCount(MonoTime now) const {
  return static_cast<std::size_t>(std::count_if(
      servers_.begin(), servers_.end(),
      [now](const auto& it) { return now < it.second.cold_until; }));
}

}  // namespace mangoport
