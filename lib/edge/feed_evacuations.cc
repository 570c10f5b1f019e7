// How a host learns which zones are evacuated, from the store and other hosts.
#include <algorithm>
#include <chrono>
#include <string>

#include "mangoport/edge/feed_service.h"

namespace mangoport {
namespace {

/// "a,b"
template <typename Zones>
std::string ZoneNames(const Zones& zones) {
  std::string out;
  for (const ZoneId& it : zones) {
    if (!out.empty())
      out.push_back(',');
    out.append(it.value());
  }
  return out;
}

}  // namespace

void FeedService::OnEvacuations(const EvacuationOutcome& outcome,
                                std::string_view source,
                                const StorePosition& position) {
  if (evacuation_timer_ != TimerQueue::kNoTicket)
    timers_.Cancel(evacuation_timer_);
  evacuation_timer_ = TimerQueue::kNoTicket;
  if (const auto next = evacuations_.NextExpiry())
    evacuation_timer_ = timers_.Add(*next, [this](MonoTime due) {
      evacuation_timer_ = TimerQueue::kNoTicket;
      if (!stopped_)
        ExpireEvacuations(due);
    });
  if (!outcome.changed())
    return;
  log_.Write(LogLine("evacuation")
                 .Add("begun", ZoneNames(outcome.begun))
                 .Add("ended", ZoneNames(outcome.ended))
                 .Add("evacuated", ZoneNames(evacuations_.zones()))
                 .Add("source", source)
                 .Add("position", ToString(position)));
  hooks_.on_evacuations(evacuations_.zones(), outcome.ended);
}

void FeedService::ExpireEvacuations(MonoTime now) {
  OnEvacuations(evacuations_.Expire(now), "restore_grace_over",
                evacuations_.position());
}

void FeedService::OnPeerEvacuations(MonoTime now,
                                    const HostId& peer,
                                    const FeedUpdates& updates) {
  if (!updates.config || !updates.evacuated_zones)
    return;
  const StorePosition& position = updates.config->position;
  if (position <= evacuations_.position())
    return;
  OnEvacuations(
      evacuations_.OnPeerState(
          now, {.position = position, .zones = *updates.evacuated_zones}),
      peer.value(), position);
}

}  // namespace mangoport
