#ifndef MANGOPORT_ENTRYHOST_QUARANTINE_SERVICE_H_
#define MANGOPORT_ENTRYHOST_QUARANTINE_SERVICE_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_set>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/entryhost/backend_directory.h"
#include "mangoport/entryhost/log_appender.h"
#include "mangoport/entryhost/log_follower.h"
#include "mangoport/ledger/envelope.h"
#include "mangoport/routing.pb.h"
#include "mangoport/routing/fingerprint.h"

namespace mangoport {

/// Shares the quarantine of requests between hosts through a stream of the
/// log. The fold itself stands with the rest of routing in the directory.
class QuarantineService {
 public:
  QuarantineService(LogService& log,
                    WriterId writer,
                    HostId host,
                    BackendDirectory* backends);

  void Report(wire::CrashReport report);

  /// Asks for a server for one suspect; the number names the claim.
  std::uint64_t Claim(const Fingerprint& fingerprint,
                      const ServerId& server,
                      Duration lease);

  /// Whether the claim holds, once it was read back from the log.
  std::optional<bool> ClaimAnswer(std::uint64_t number);

  /// Releases a claim. With number 0, only records that the request ran to its
  /// end.
  void End(const Fingerprint& fingerprint, std::uint64_t number, bool survived);

  /// An operator's release of a quarantined request.
  void Release(const Fingerprint& fingerprint, const std::string& released_by);

 private:
  void Append(const wire::QuarantineRecord& record);
  void Read(const LogPage& page);
  void Fold(const LogPosition& position, const wire::Envelope& record);
  void ReserveClaimed();

  HostId host_;
  BackendDirectory* backends_;
  std::mutex mutex_;
  std::uint64_t last_claim_ = 0;
  std::unordered_set<std::uint64_t> read_claims_;
  RecordReader reader_;
  LogAppender appender_;
  LogFollower follower_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ENTRYHOST_QUARANTINE_SERVICE_H_
