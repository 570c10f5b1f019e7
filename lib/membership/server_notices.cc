#include "mangoport/membership/server_notices.h"

#include <utility>

#include "mangoport/core/mutant.h"

namespace mangoport {

bool ServerNotices::Take(MonoTime seen_at,
                         const ServerId& id,
                         wire::ServerCondition seen) {
  const auto it = notices_.find(id);
  const bool known = it != notices_.end();
  if (!known && seen == wire::SERVER_CONDITION_SERVING)
    return false;
  if (known && seen_at <= it->second.seen_at &&
      !MutantEnabled("old_list_believed"))
    return false;
  const bool changed = !known || it->second.condition != seen;
  notices_[id] = {seen, seen_at};
  return changed;
}

void ServerNotices::OnList(MonoTime now,
                           Duration age,
                           const std::vector<ServerStatement>& servers) {
  for (const ServerStatement& it : servers) {
    Take(now - age, it.id,
         it.leaving ? wire::SERVER_CONDITION_LEAVING
                    : wire::SERVER_CONDITION_SERVING);
  }
}

void ServerNotices::OnSeen(MonoTime now,
                           const ServerId& server,
                           wire::ServerCondition seen) {
  const auto it = notices_.find(server);
  const bool leaving = it != notices_.end() &&
                       it->second.condition == wire::SERVER_CONDITION_LEAVING;
  // A server that is leaving may well answer; only the list brings it back.
  if (leaving && seen != wire::SERVER_CONDITION_LEAVING)
    return;
  if (Take(now, server, seen))
    fresh_.push_back(server);
}

void ServerNotices::Merge(MonoTime now, const wire::ServerUpdate& update) {
  const ServerId id(update.server());
  const auto it = notices_.find(id);
  const bool leaving = it != notices_.end() &&
                       it->second.condition == wire::SERVER_CONDITION_LEAVING;
  if (id.empty() ||
      (leaving && update.condition() != wire::SERVER_CONDITION_LEAVING))
    return;
  const MonoTime seen_at = now - std::chrono::microseconds(update.age_us());
  if (Take(seen_at, id, update.condition()))
    fresh_.push_back(id);
}

std::vector<wire::ServerUpdate> ServerNotices::TakeUpdates(MonoTime now,
                                                           std::size_t max,
                                                           std::size_t hosts) {
  for (const ServerId& it : std::exchange(fresh_, {}))
    news_.Add(it, SendsToReach(hosts));
  std::vector<wire::ServerUpdate> updates;
  for (const ServerId& it : news_.Take(max)) {
    const Notice& notice = notices_[it];
    wire::ServerUpdate& update = updates.emplace_back();
    update.set_server(it.value());
    update.set_condition(notice.condition);
    const auto age = std::chrono::duration_cast<std::chrono::microseconds>(
        now - notice.seen_at);
    update.set_age_us(static_cast<std::uint64_t>(age.count()));
  }
  return updates;
}

wire::ServerCondition ServerNotices::ConditionOf(MonoTime now,
                                                 const ServerId& server) const {
  const auto it = notices_.find(server);
  if (it == notices_.end())
    return wire::SERVER_CONDITION_SERVING;
  const bool may_be_back =
      it->second.condition == wire::SERVER_CONDITION_UNREACHABLE &&
      now - it->second.seen_at >= unreachable_timeout_;
  return may_be_back ? wire::SERVER_CONDITION_SERVING : it->second.condition;
}

}  // namespace mangoport
