#ifndef MANGOPORT_ROUTING_SERVER_HEALTH_H_
#define MANGOPORT_ROUTING_SERVER_HEALTH_H_

#include <cstdint>

#include "mangoport/core/time.h"
#include "mangoport/routing/server.h"

namespace mangoport {

/// Circuit breaker for one backend server, based on the failures that this host
/// observes. Ejects the server for an exponentially growing time and then
/// allows single requests as probes.
class ServerHealth {
 public:
  enum class State {
    kHealthy,
    kEjected,
    /// The ejection has expired, but no request has progressed since.
    kProbing,
  };

  State StateAt(MonoTime now) const;

  /// True if the server is eligible for a request: it is healthy, or its
  /// ejection has expired and no probe is in flight.
  bool AcceptsRequest(MonoTime now) const;

  void OnDispatched(MonoTime now);
  /// A first token confirms that the server is healthy.
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
