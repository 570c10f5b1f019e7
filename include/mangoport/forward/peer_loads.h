#ifndef MANGOPORT_FORWARD_PEER_LOADS_H_
#define MANGOPORT_FORWARD_PEER_LOADS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// Requests under way at one backend server.
struct ServerLoad {
  ServerId server;
  std::uint32_t running = 0;
  /// For how long the server has sent nothing to the host that has them.
  Duration silent{};
  /// The part of the server's time that the host's prompts take.
  double work = 0;
};

/// The loads that other hosts report, summed by server.
///
/// Each report changes only the sums of the servers that it names, so its cost
/// does not grow with the number of hosts. What a silent host reported counts
/// until it has been silent for the lifetime.
class PeerLoads {
 public:
  struct Sum {
    std::uint32_t running = 0;
    double work = 0;
  };

  /// Sets how long a silent host's report counts.
  void set_lifetime(Duration lifetime) { lifetime_ = lifetime; }

  /// Replaces the report of `host` and drops those of silent hosts. Returns the
  /// servers that are named in one of them, each at least once.
  std::vector<ServerId> Set(MonoTime now,
                            const HostId& host,
                            const std::vector<ServerLoad>& loads);

  Sum Of(const ServerId& server) const;

 private:
  struct Report {
    MonoTime received_at;
    std::vector<ServerLoad> loads;
  };
  struct Total {
    Sum sum;
    /// Reports that name the server.
    std::size_t reports = 0;
  };

  void Add(const Report& report);
  /// Takes the report out of the sums and appends its servers to `touched`.
  void Remove(const Report& report, std::vector<ServerId>& touched);
  void DropSilent(MonoTime now, std::vector<ServerId>& touched);

  Duration lifetime_ = std::chrono::seconds(4);
  std::map<HostId, Report> reports_;
  std::unordered_map<ServerId, Total> totals_;
  MonoTime checked_at_;
};

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_PEER_LOADS_H_
