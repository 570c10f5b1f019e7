#ifndef MANGOPORT_MEMBERSHIP_SERVER_NOTICES_H_
#define MANGOPORT_MEMBERSHIP_SERVER_NOTICES_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/membership/spread_queue.h"
#include "mangoport/peer.pb.h"

namespace mangoport {

/// One line of the platform's list.
struct ServerStatement {
  ServerId id;
  bool leaving = false;
};

/// Backend servers that are leaving or unreachable, from the platform's list
/// and from what entry hosts saw themselves. The later observation wins, so a
/// lagging list does not bring back a server that was just seen to leave.
class ServerNotices {
 public:
  explicit ServerNotices(
      Duration unreachable_timeout = std::chrono::seconds(10))
      : unreachable_timeout_(unreachable_timeout) {}

  /// Takes the list as it stood `age` ago.
  void OnList(MonoTime now,
              Duration age,
              const std::vector<ServerStatement>& servers);

  /// This host saw it: an answer that says so, or a failure to reach it.
  void OnSeen(MonoTime now, const ServerId& server, wire::ServerCondition seen);

  /// Another host's word.
  void Merge(MonoTime now, const wire::ServerUpdate& update);

  /// News for the next message, at most `max`.
  std::vector<wire::ServerUpdate> TakeUpdates(MonoTime now,
                                              std::size_t max,
                                              std::size_t hosts);

  /// Serving unless something else was heard. An unreachable server is tried
  /// again after a while; a leaving one stays out until the list brings it
  /// back.
  wire::ServerCondition ConditionOf(MonoTime now, const ServerId& server) const;

 private:
  struct Notice {
    wire::ServerCondition condition = wire::SERVER_CONDITION_SERVING;
    MonoTime seen_at{};
  };

  bool Take(MonoTime seen_at, const ServerId& id, wire::ServerCondition seen);

  Duration unreachable_timeout_;
  std::map<ServerId, Notice> notices_;
  std::vector<ServerId> fresh_;
  SpreadQueue<ServerId> news_;
};

}  // namespace mangoport

#endif  // MANGOPORT_MEMBERSHIP_SERVER_NOTICES_H_
