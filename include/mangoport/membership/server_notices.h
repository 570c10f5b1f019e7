#ifndef MANGOPORT_MEMBERSHIP_SERVER_NOTICES_H_
#define MANGOPORT_MEMBERSHIP_SERVER_NOTICES_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/membership/dissemination_queue.h"
#include "mangoport/peer.pb.h"

namespace mangoport {

/// One entry of the platform's server list.
struct ServerListEntry {
  ServerId id;
  bool leaving = false;
};

/// Tracks backend servers that are leaving or unreachable, according to the
/// platform's list and to observations of entry hosts. The latest observation
/// wins, so a lagging list does not restore a server that was just observed to
/// leave.
class ServerNotices {
 public:
  /// `unreachable_timeout` is the time after which an unreachable server is
  /// tried again.
  explicit ServerNotices(
      Duration unreachable_timeout = std::chrono::seconds(10))
      : unreachable_timeout_(unreachable_timeout) {}

  /// Merges the platform's list as it was `age` ago.
  void OnList(MonoTime now,
              Duration age,
              const std::vector<ServerListEntry>& servers);

  /// Records an observation of this host: a response that states the condition,
  /// or a failure to reach the server.
  void OnObserved(MonoTime now,
                  const ServerId& server,
                  wire::ServerCondition observed);

  /// Merges an update received from another host.
  void Merge(MonoTime now, const wire::ServerUpdate& update);

  /// Returns at most `max` updates to add to the next message. `hosts` is the
  /// number of known hosts.
  std::vector<wire::ServerUpdate> TakeUpdates(MonoTime now,
                                              std::size_t max,
                                              std::size_t hosts);

  /// Returns SERVING for an unknown server. An unreachable server counts as
  /// serving again after the timeout. A leaving server remains leaving until
  /// the list shows it as serving.
  wire::ServerCondition ConditionOf(MonoTime now, const ServerId& server) const;

 private:
  struct Notice {
    wire::ServerCondition condition = wire::SERVER_CONDITION_SERVING;
    MonoTime observed_at{};
  };

  /// Returns true if the condition changed. Ignores outdated observations.
  bool Record(MonoTime observed_at,
              const ServerId& id,
              wire::ServerCondition observed);

  Duration unreachable_timeout_;
  std::map<ServerId, Notice> notices_;
  std::vector<ServerId> changed_;
  DisseminationQueue<ServerId> update_queue_;
};

}  // namespace mangoport

#endif  // MANGOPORT_MEMBERSHIP_SERVER_NOTICES_H_
