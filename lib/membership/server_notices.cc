#include "mangoport/membership/server_notices.h"

#include <utility>

#include "mangoport/core/mutant.h"

namespace mangoport {

bool ServerNotices::Record(MonoTime observed_at,
                           const ServerId& id,
                           wire::ServerCondition observed) {
  const auto it = notices_.find(id);
  const bool known = it != notices_.end();
  if (!known && observed == wire::SERVER_CONDITION_SERVING)
    return false;
  if (known && observed_at <= it->second.observed_at &&
      !MutantEnabled("old_list_believed"))
    return false;
  const bool changed = !known || it->second.condition != observed;
  notices_[id] = {observed, observed_at};
  return changed;
}

void ServerNotices::OnList(MonoTime now,
                           Duration age,
                           const std::vector<ServerListEntry>& servers) {
  for (const ServerListEntry& it : servers) {
    Record(now - age, it.id,
           it.leaving ? wire::SERVER_CONDITION_LEAVING
                      : wire::SERVER_CONDITION_SERVING);
  }
}

void ServerNotices::OnObserved(MonoTime now,
                               const ServerId& server,
                               wire::ServerCondition observed) {
  const auto it = notices_.find(server);
  const bool leaving = it != notices_.end() &&
                       it->second.condition == wire::SERVER_CONDITION_LEAVING;
  // A leaving server may still answer requests. Only the platform's list can
  // mark it as serving again.
  if (leaving && observed != wire::SERVER_CONDITION_LEAVING)
    return;
  if (Record(now, server, observed))
    changed_.push_back(server);
}

void ServerNotices::Merge(MonoTime now, const wire::ServerUpdate& update) {
  const ServerId id(update.server());
  const auto it = notices_.find(id);
  const bool leaving = it != notices_.end() &&
                       it->second.condition == wire::SERVER_CONDITION_LEAVING;
  if (id.empty() ||
      (leaving && update.condition() != wire::SERVER_CONDITION_LEAVING))
    return;
  const MonoTime observed_at = now - std::chrono::microseconds(update.age_us());
  if (Record(observed_at, id, update.condition()))
    changed_.push_back(id);
}

std::vector<wire::ServerUpdate> ServerNotices::TakeUpdates(MonoTime now,
                                                           std::size_t max,
                                                           std::size_t hosts) {
  for (const ServerId& it : std::exchange(changed_, {}))
    update_queue_.Add(it, TransmissionsToReach(hosts));
  std::vector<wire::ServerUpdate> updates;
  for (const ServerId& it : update_queue_.Take(max)) {
    const Notice& notice = notices_[it];
    wire::ServerUpdate& update = updates.emplace_back();
    update.set_server(it.value());
    update.set_condition(notice.condition);
    const auto age = std::chrono::duration_cast<std::chrono::microseconds>(
        now - notice.observed_at);
    update.set_age_us(static_cast<std::uint64_t>(age.count()));
  }
  return updates;
}

wire::ServerCondition ServerNotices::ConditionOf(MonoTime now,
                                                 const ServerId& server) const {
  const auto it = notices_.find(server);
  if (it == notices_.end())
    return wire::SERVER_CONDITION_SERVING;
  const bool timeout_passed =
      it->second.condition == wire::SERVER_CONDITION_UNREACHABLE &&
      now - it->second.observed_at >= unreachable_timeout_;
  return timeout_passed ? wire::SERVER_CONDITION_SERVING : it->second.condition;
}

}  // namespace mangoport
