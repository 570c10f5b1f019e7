#ifndef MANGOPORT_ROUTING_COLD_START_PACER_H_
#define MANGOPORT_ROUTING_COLD_START_PACER_H_

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// Paces a host's requests to backend servers that have started lately and bear
/// only a few requests per second from all hosts together.
///
/// Each cold server has a few owners among the hosts of its availability zone,
/// chosen by a hash of both ids. An owner sends it an equal share of the rate,
/// one request at a time; other hosts send it nothing. So the sum holds without
/// messages, across zones that are cut off from each other as well, and a share
/// stays large enough to be used.
class ColdStartPacer {
 public:
  /// Sets the hosts of this host's zone, itself included. A host that has just
  /// started, or that misses one it knew, may not know all others yet; it sends
  /// cold servers nothing until `settled_at`.
  void SetHosts(const HostId& self,
                std::vector<HostId> zone_hosts,
                MonoTime settled_at);

  /// `server` bears `rate` requests per second until `until`. This host can own
  /// it only if it is `in_own_zone`. Servers that are cold no longer are
  /// forgotten.
  void OnCold(MonoTime now,
              const ServerId& server,
              bool in_own_zone,
              double rate,
              MonoTime until);

  /// Returns the time from which this host may send `server` a request; not
  /// after `now` if it may do so already.
  MonoTime HeldUntil(MonoTime now, const ServerId& server) const;

  /// Records a request that this host sends to `server`.
  void OnDispatched(MonoTime now, const ServerId& server);

  bool IsCold(MonoTime now, const ServerId& server) const;

  /// Returns the number of servers that are cold at `now`.
  std::size_t ColdCount(MonoTime now) const;

 private:
  struct Server {
    /// Requests per second from all hosts together.
    double rate = 0;
    MonoTime cold_until;
    MonoTime next_request_at;
    bool in_own_zone = false;
    bool owned = false;
  };

  /// Returns how many hosts share a server that bears `rate`.
  std::size_t OwnerCount(double rate) const;
  bool Owns(const ServerId& id, const Server& server) const;

  HostId self_;
  std::vector<HostId> hosts_;
  MonoTime settled_at_ = MonoTime::max();
  std::unordered_map<ServerId, Server> servers_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_COLD_START_PACER_H_
