#include "mangoport/forward/server_signals.h"

#include <chrono>
#include <utility>

namespace mangoport {
namespace {

/// A server that has not been listed for so long does not come back as the same
/// process.
constexpr Duration kUnlistedLifetime = std::chrono::minutes(10);

}  // namespace

ServerSignals ReadServerSignals(const ForwardDialect& dialect,
                                const HttpHead& head) {
  ServerSignals out;
  out.leaving = FieldText(head.fields, dialect.server_leaving) == "1";
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

void ServerSignalTable::Prune(MonoTime now, const std::set<ServerId>& listed) {
  std::erase_if(records_, [&](const auto& it) {
    return !listed.contains(it.first) &&
           now - it.second.noted_at > kUnlistedLifetime;
  });
}

}  // namespace mangoport
