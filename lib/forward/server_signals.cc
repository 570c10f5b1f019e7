#include "mangoport/forward/server_signals.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <string_view>
#include <utility>

namespace mangoport {
namespace {

/// A server that has not been listed for so long does not come back as the same
/// process.
constexpr Duration kUnlistedLifetime = std::chrono::minutes(10);

/// A server that asks for longer is asked again after this time.
constexpr std::chrono::hours kLongestHold(1);

constexpr int kUnavailable = 503;

/// Seconds, with a fraction or without. None if `text` is no such number.
std::optional<Duration> ParseSeconds(std::string_view text) {
  double seconds = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
      !std::isfinite(seconds) || seconds < 0)
    return std::nullopt;
  const std::chrono::duration<double> time(seconds);
  return std::chrono::duration_cast<Duration>(
      std::min<std::chrono::duration<double>>(time, kLongestHold));
}

}  // namespace

ServerSignals ReadServerSignals(const ForwardDialect& dialect,
                                const HttpHead& head) {
  ServerSignals out;
  out.leaving = FieldText(head.fields, dialect.server_leaving) == "1";
  const std::string* retry_after = FindField(head.fields, "retry-after");
  if (head.status != kUnavailable || !retry_after)
    return out;
  out.hold = ParseSeconds(*retry_after);
  out.unreadable_hold = !out.hold;
  return out;
}

ServerSignalTable::Record* ServerSignalTable::RecordFor(
    MonoTime now,
    const ServerStart& start) {
  Record& record = records_[start.server];
  if (record.started_at_ms > start.started_at_ms)
    return nullptr;
  if (record.started_at_ms < start.started_at_ms) {
    record = Record();
    record.started_at_ms = start.started_at_ms;
  }
  record.noted_at = now;
  return &record;
}

const ServerSignalTable::Record* ServerSignalTable::Find(
    const ServerStart& start) const {
  const auto it = records_.find(start.server);
  if (it == records_.end() || it->second.started_at_ms != start.started_at_ms)
    return nullptr;
  return &it->second;
}

bool ServerSignalTable::NoteLeaving(MonoTime now, const ServerStart& start) {
  Record* record = RecordFor(now, start);
  return record != nullptr && !std::exchange(record->leaving, true);
}

bool ServerSignalTable::IsLeaving(const ServerStart& start) const {
  const Record* record = Find(start);
  return record != nullptr && record->leaving;
}

bool ServerSignalTable::NoteHold(MonoTime now,
                                 const ServerStart& start,
                                 MonoTime until) {
  Record* record = RecordFor(now, start);
  if (record == nullptr)
    return false;
  const bool held = now < record->held_until;
  record->held_until = std::max(record->held_until, until);
  return !held;
}

MonoTime ServerSignalTable::HeldUntil(const ServerStart& start) const {
  const Record* record = Find(start);
  return record == nullptr ? MonoTime() : record->held_until;
}

void ServerSignalTable::Prune(MonoTime now, const std::set<ServerId>& listed) {
  std::erase_if(records_, [&](const auto& it) {
    return !listed.contains(it.first) &&
           now - it.second.noted_at > kUnlistedLifetime &&
           now >= it.second.held_until;
  });
}

}  // namespace mangoport
