// How a host learns which zones are evacuated, from the store and other hosts.
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

void FeedService::OnPeerEvacuations(MonoTime now,
                                    const HostId& peer,
                                    const FeedUpdates& updates) {
  if (!updates.config || !updates.evacuated_zones)
    return;
  const StorePosition& position = updates.config->position;
  OnEvacuations(
      evacuations_.OnPeerState(
          now, {.position = position, .zones = *updates.evacuated_zones}),
      peer.value(), position);
}

}  // namespace mangoport
