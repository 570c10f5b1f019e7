#include "mangoport/routing/server_health.h"

#include <algorithm>

namespace mangoport {
namespace {

/// Number of consecutive failures that eject a server. A single timeout or
/// broken stream may be transient; a refused connection or a crash ejects at
/// once.
constexpr std::uint32_t kFailuresToEject = 3;
/// Duration of the first ejection. It doubles with each further one, at most
/// `kMaxEjectionDoublings` times.
constexpr Duration kFirstEjection = std::chrono::seconds(1);
constexpr std::uint32_t kMaxEjectionDoublings = 5;
/// After this time a probe that has neither failed nor progressed no longer
/// blocks the next one.
constexpr Duration kProbeTimeout = std::chrono::seconds(5);

bool IsDefiniteFailure(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kConnectFailed ||
         outcome == AttemptOutcome::kServerDied;
}

}  // namespace

ServerHealth::State ServerHealth::StateAt(MonoTime now) const {
  if (ejections_ == 0)
    return State::kHealthy;
  return now < ejected_until_ ? State::kEjected : State::kProbing;
}

bool ServerHealth::AcceptsRequest(MonoTime now) const {
  const State state = StateAt(now);
  if (state == State::kProbing)
    return now >= probe_expires_;
  return state == State::kHealthy;
}

void ServerHealth::OnDispatched(MonoTime now) {
  if (StateAt(now) == State::kProbing)
    probe_expires_ = now + kProbeTimeout;
}

void ServerHealth::OnProgress() {
  consecutive_failures_ = 0;
  ejections_ = 0;
  probe_expires_ = MonoTime();
}

void ServerHealth::OnOutcome(MonoTime now, AttemptOutcome outcome) {
  if (outcome == AttemptOutcome::kCompleted) {
    OnProgress();
    return;
  }
  if (!IsServerFailure(outcome))
    return;
  ++consecutive_failures_;
  const State state = StateAt(now);
  const bool eject =
      state == State::kProbing ||
      (state == State::kHealthy && (IsDefiniteFailure(outcome) ||
                                    consecutive_failures_ >= kFailuresToEject));
  if (!eject)
    return;
  ejected_until_ =
      now + kFirstEjection * (1 << std::min(ejections_, kMaxEjectionDoublings));
  probe_expires_ = MonoTime();
  ++ejections_;
}

}  // namespace mangoport
