#include "mangoport/routing/crash_suspects.h"

namespace mangoport {
namespace {

/// Expired suspects are removed when there are more than this many.
constexpr std::size_t kMaxSuspects = 4096;

}  // namespace

void CrashSuspects::AddSuspicion(MonoTime now,
                                 const CrashSuspicion& suspicion) {
  if (suspects_.size() > kMaxSuspects) {
    std::erase_if(suspects_, [&](const auto& it) {
      return now - it.second.last_lost_at > settings_.suspicion_lifetime;
    });
  }
  Suspect& suspect = suspects_[suspicion.fingerprint];
  if (now - suspect.last_lost_at > settings_.suspicion_lifetime)
    suspect.servers.clear();
  suspect.servers.insert(suspicion.server);
  suspect.last_lost_at = now;
}

void CrashSuspects::OnServerLost(MonoTime now,
                                 const CrashSuspicion& suspicion) {
  AddSuspicion(now, suspicion);
  std::erase_if(local_suspicions_, [&](const LocalSuspicion& it) {
    return now - it.at > settings_.report_duration;
  });
  local_suspicions_.push_back({.suspicion = suspicion, .at = now});
}

void CrashSuspects::OnPeerServerLost(MonoTime now,
                                     const CrashSuspicion& suspicion) {
  AddSuspicion(now, suspicion);
}

bool CrashSuspects::IsQuarantined(MonoTime now,
                                  std::uint64_t fingerprint) const {
  const auto it = suspects_.find(fingerprint);
  return it != suspects_.end() &&
         it->second.servers.size() >= settings_.min_servers &&
         now - it->second.last_lost_at <= settings_.suspicion_lifetime;
}

std::vector<CrashSuspicion> CrashSuspects::Recent(MonoTime now) const {
  std::vector<CrashSuspicion> out;
  for (const LocalSuspicion& it : local_suspicions_) {
    if (now - it.at <= settings_.report_duration)
      out.push_back(it.suspicion);
  }
  return out;
}

}  // namespace mangoport
