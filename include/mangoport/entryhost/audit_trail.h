#ifndef MANGOPORT_ENTRYHOST_AUDIT_TRAIL_H_
#define MANGOPORT_ENTRYHOST_AUDIT_TRAIL_H_

#include <chrono>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "mangoport/audit.pb.h"
#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/entryhost/log_appender.h"

namespace mangoport {

/// The stream that keeps the audit trail.
extern const StreamId kAuditStream;

/// One decision of weight, with its cause. Neither keys nor prompts go in.
struct AuditEvent {
  wire::AuditKind kind = wire::AUDIT_KIND_UNSPECIFIED;
  RequestId request;
  AccountId account;
  ServerId server;
  ModelId model;
  /// Plain sentences: what was decided and why.
  std::string text;
};

/// Writes decisions to the log's audit stream and keeps the newest at hand.
///
/// Refusals of one kind for one client account are summed up: the first is
/// written at once, later ones within an interval as one record with a count.
class AuditTrail {
 public:
  AuditTrail(LogService& log, WriterId writer, HostId host);

  void Record(WallTime now, const AuditEvent& event);

  /// The newest records that this host wrote, oldest first.
  std::vector<wire::AuditRecord> Recent() const;

 private:
  struct Summary {
    std::string key;
    WallTime since;
    wire::AuditRecord record;
  };

  void Keep(const wire::AuditRecord& record);
  void WriteDueSummaries(WallTime now);

  HostId host_;
  mutable std::mutex mutex_;
  std::deque<wire::AuditRecord> recent_;
  std::vector<Summary> summaries_;
  LogAppender appender_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ENTRYHOST_AUDIT_TRAIL_H_
