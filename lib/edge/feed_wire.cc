#include "lib/edge/feed_wire.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <set>
#include <string>

namespace mangoport {
namespace {

using std::chrono::milliseconds;

/// Rounds up, so that evidence never appears newer than it is.
std::uint32_t AgeMs(BootTime now, BootTime then) {
  const auto age = std::chrono::ceil<milliseconds>(now - then);
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(age.count(), 0, UINT32_MAX));
}

void WriteFeedNote(BootTime now,
                   const FeedUpdate& update,
                   wire::FeedNote& note) {
  note.set_timeline(update.position.timeline);
  note.set_position(update.position.offset);
  note.set_complete_from(update.complete_from);
  if (!update.proof)
    return;
  note.set_sent_age_ms(AgeMs(now, update.proof->sent_at));
  note.set_answered_age_ms(AgeMs(now, update.proof->answered_at));
}

FeedUpdate ReadFeedNote(std::optional<BootTime> sent_after,
                        const wire::FeedNote& note) {
  FeedUpdate out;
  out.position = {.timeline = note.timeline(), .offset = note.position()};
  out.complete_from = note.complete_from();
  if (sent_after)
    out.proof = {
        .sent_at = *sent_after - milliseconds(note.sent_age_ms()),
        .answered_at = *sent_after - milliseconds(note.answered_age_ms())};
  return out;
}

void WriteChange(const ServerChange& change, wire::ServerEntryNote& note) {
  note.set_server(change.id.value());
  note.set_gone(!change.entry);
  if (!change.entry)
    return;
  const ServerEntry& entry = *change.entry;
  note.set_service(entry.service.value());
  note.set_address(entry.address);
  note.set_zone(entry.zone.value());
  note.set_batch_size(entry.batch_size);
  note.set_draining(entry.draining);
  if (entry.remaining)
    note.set_remaining_ms(static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(*entry.remaining).count()));
  note.set_cold_left_ms(static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(entry.cold_left).count()));
  for (const ResidentModel& it : entry.models) {
    wire::ModelCopyNote& copy = *note.add_models();
    copy.set_model(it.model.value());
    copy.set_weights_version(it.weights_version);
    for (const AdapterId& adapter : it.adapters)
      copy.add_adapters(adapter.value());
  }
  for (const ModelId& it : entry.models_in_memory)
    note.add_models_in_memory(it.value());
  for (const ModelId& it : entry.models_on_disk)
    note.add_models_on_disk(it.value());
  note.set_started_at_ms(entry.started_at_ms);
  note.set_registrations(entry.registrations.value);
}

ServerChange ReadChange(const wire::ServerEntryNote& note) {
  ServerChange out{ServerId(note.server()), std::nullopt};
  if (note.gone())
    return out;
  ServerEntry& entry = out.entry.emplace();
  entry.id = out.id;
  entry.service = ServiceId(note.service());
  entry.address = note.address();
  entry.zone = ZoneId(note.zone());
  entry.batch_size = note.batch_size();
  entry.draining = note.draining();
  if (note.has_remaining_ms())
    entry.remaining = milliseconds(note.remaining_ms());
  entry.cold_left = milliseconds(note.cold_left_ms());
  for (const wire::ModelCopyNote& it : note.models()) {
    ResidentModel& copy = entry.models.emplace_back();
    copy.model = ModelId(it.model());
    copy.weights_version = it.weights_version();
    for (const std::string& adapter : it.adapters())
      copy.adapters.emplace_back(adapter);
  }
  for (const std::string& it : note.models_in_memory())
    entry.models_in_memory.emplace_back(it);
  for (const std::string& it : note.models_on_disk())
    entry.models_on_disk.emplace_back(it);
  entry.started_at_ms = note.started_at_ms();
  entry.registrations.value = note.registrations();
  return out;
}

}  // namespace

void WriteFeeds(BootTime now,
                const FeedUpdates& updates,
                wire::HostState& message) {
  if (updates.config)
    WriteFeedNote(now, *updates.config, *message.mutable_config_feed());
  if (updates.config && updates.evacuated_zones) {
    wire::EvacuationNote& note = *message.mutable_evacuations();
    for (const ZoneId& it : *updates.evacuated_zones)
      note.add_zones(it.value());
  }
  if (!updates.servers)
    return;
  wire::FeedNote& feed = *message.mutable_servers_feed();
  WriteFeedNote(now, updates.servers->feed, feed);
  if (updates.servers->digest)
    feed.set_digest(*updates.servers->digest);
  for (const ServerBatch& batch : updates.servers->batches) {
    wire::ServerBatchNote& note = *message.add_server_batches();
    note.set_next(batch.next.offset);
    for (const ServerChange& it : batch.changes)
      WriteChange(it, *note.add_entries());
  }
}

FeedUpdates ReadFeeds(std::optional<BootTime> sent_after,
                      const wire::HostState& message) {
  FeedUpdates out;
  if (message.has_config_feed())
    out.config = ReadFeedNote(sent_after, message.config_feed());
  if (message.has_config_feed() && message.has_evacuations()) {
    std::set<ZoneId>& zones = out.evacuated_zones.emplace();
    for (const std::string& it : message.evacuations().zones())
      zones.emplace(it);
  }
  if (!message.has_servers_feed())
    return out;
  const wire::FeedNote& feed = message.servers_feed();
  ServerFeedUpdate& servers = out.servers.emplace();
  servers.feed = ReadFeedNote(sent_after, feed);
  if (feed.has_digest())
    servers.digest = feed.digest();
  for (const wire::ServerBatchNote& note : message.server_batches()) {
    ServerBatch& batch = servers.batches.emplace_back();
    batch.next = {.timeline = feed.timeline(), .offset = note.next()};
    for (const wire::ServerEntryNote& it : note.entries())
      batch.changes.push_back(ReadChange(it));
  }
  return out;
}

}  // namespace mangoport
