#ifndef MANGOPORT_ROUTING_SERVER_HEALTH_H_
#define MANGOPORT_ROUTING_SERVER_HEALTH_H_

#include <cstdint>

#include "mangoport/core/time.h"
#include "mangoport/routing/server.h"

namespace mangoport {

/// This host's memory of one backend server's failures: a circuit breaker that
/// opens for a growing time and then lets single requests probe.
class ServerHealth {
 public:
  enum class State { kHealthy, kEjected, kProbing };

  State StateAt(MonoTime now) const;

  /// True if the server may be given a request: healthy, or ejected for long
  /// enough and no probe is under way.
  bool MayServe(MonoTime now) const;

  void OnDispatched(MonoTime now);
  /// A first token is proof of health.
  void OnProgress();
  void OnOutcome(MonoTime now, AttemptOutcome outcome);

 private:
  std::uint32_t consecutive_failures_ = 0;
  std::uint32_t ejections_ = 0;
  MonoTime ejected_until_;
  MonoTime probe_expires_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_SERVER_HEALTH_H_
