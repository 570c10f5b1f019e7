#include "mangoport/entryhost/audit_trail.h"

#include <algorithm>
#include <utility>

namespace mangoport {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::size_t kKeptRecords = 1000;
constexpr std::size_t kMaxSummaries = 256;

/// Interval over which refusals of one kind are aggregated into one record.
constexpr Duration kSummaryInterval = std::chrono::seconds(10);

}  // namespace

const StreamId kAuditStream("audit");

AuditTrail::AuditTrail(LogService& log, WriterId writer, HostId host)
    : host_(std::move(host)), appender_(log, kAuditStream, std::move(writer)) {}

void AuditTrail::Record(WallTime now, const AuditEvent& event) {
  wire::AuditRecord record;
  record.set_wall_time_ms(
      duration_cast<milliseconds>(now.time_since_epoch()).count());
  record.set_host(host_.value());
  record.set_kind(event.kind);
  record.set_request(event.request.value());
  record.set_account(event.account.value());
  record.set_server(event.server.value());
  record.set_model(event.model.value());
  record.set_text(event.text);
  record.set_count(1);
  const std::lock_guard lock(mutex_);
  WriteDueSummaries(now);
  if (event.kind != wire::AUDIT_KIND_REFUSAL) {
    Keep(record);
    return;
  }
  const std::string key = event.account.value() + "\n" + event.text;
  const auto it =
      std::find_if(summaries_.begin(), summaries_.end(),
                   [&key](const Summary& s) { return s.key == key; });
  if (it == summaries_.end()) {
    Keep(record);
    record.set_count(0);
    if (summaries_.size() < kMaxSummaries)
      summaries_.push_back({key, now, std::move(record)});
    return;
  }
  const std::uint64_t count = it->record.count() + 1;
  it->record = std::move(record);
  it->record.set_count(count);
}

std::vector<wire::AuditRecord> AuditTrail::Recent() const {
  const std::lock_guard lock(mutex_);
  return {recent_.begin(), recent_.end()};
}

void AuditTrail::Keep(const wire::AuditRecord& record) {
  recent_.push_back(record);
  if (recent_.size() > kKeptRecords)
    recent_.pop_front();
  // If the queue is full, the record is dropped: the audit trail must not block
  // requests, and this host still keeps the most recent records in memory.
  appender_.Append(wire::RECORD_KIND_AUDIT, record.SerializeAsString(),
                   nullptr);
}

void AuditTrail::WriteDueSummaries(WallTime now) {
  std::erase_if(summaries_, [this, now](const Summary& it) {
    if (now - it.since < kSummaryInterval)
      return false;
    if (it.record.count() != 0)
      Keep(it.record);
    return true;
  });
}

}  // namespace mangoport
