#include "mangoport/routing/crash_suspects.h"

namespace mangoport {
namespace {

/// Beyond so many suspects the forgotten ones are cleared out.
constexpr std::size_t kSweepSize = 4096;

}  // namespace

void CrashSuspects::Note(MonoTime now, const CrashSuspicion& suspicion) {
  if (suspects_.size() > kSweepSize) {
    std::erase_if(suspects_, [&](const auto& it) {
      return now - it.second.last > settings_.memory;
    });
  }
  Suspect& suspect = suspects_[suspicion.fingerprint];
  if (now - suspect.last > settings_.memory)
    suspect.servers.clear();
  suspect.servers.insert(suspicion.server);
  suspect.last = now;
}

void CrashSuspects::OnLost(MonoTime now, const CrashSuspicion& suspicion) {
  Note(now, suspicion);
  std::erase_if(own_,
                [&](const Own& it) { return now - it.at > settings_.tell; });
  own_.push_back({.suspicion = suspicion, .at = now});
}

void CrashSuspects::OnPeerLost(MonoTime now, const CrashSuspicion& suspicion) {
  Note(now, suspicion);
}

bool CrashSuspects::IsQuarantined(MonoTime now,
                                  std::uint64_t fingerprint) const {
  const auto it = suspects_.find(fingerprint);
  return it != suspects_.end() &&
         it->second.servers.size() >= settings_.servers &&
         now - it->second.last <= settings_.memory;
}

std::vector<CrashSuspicion> CrashSuspects::Recent(MonoTime now) const {
  std::vector<CrashSuspicion> out;
  for (const Own& it : own_) {
    if (now - it.at <= settings_.tell)
      out.push_back(it.suspicion);
  }
  return out;
}

}  // namespace mangoport
