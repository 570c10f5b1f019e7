#ifndef MANGOPORT_PORTS_LOG_SERVICE_H_
#define MANGOPORT_PORTS_LOG_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"

namespace mangoport {

enum class AppendStatus {
  kAppended,
  /// The log says that it did not take the entry.
  kRefused,
  /// No answer: the entry may be in the log, or may still arrive there.
  kUnknown,
};

struct AppendResult {
  AppendStatus status = AppendStatus::kUnknown;
  /// Valid only with `kAppended`.
  std::uint64_t offset = 0;
};

struct LogEntry {
  std::uint64_t offset = 0;
  std::string payload;
};

struct LogPage {
  /// False if the log did not answer; the other members are then empty.
  bool ok = false;
  /// The oldest offset still kept. Above the offset asked for, entries are
  /// missing and the reader must start from a snapshot.
  std::uint64_t first_retained = 0;
  std::vector<LogEntry> entries;
};

/// The platform's append-only log.
class LogService {
 public:
  virtual ~LogService() = default;

  /// Appends one entry to `stream`, waiting at most `timeout`.
  virtual AppendResult Append(const StreamId& stream,
                              std::string_view payload,
                              Duration timeout) = 0;

  /// Reads at most `max_entries` from `from` on; waits up to `wait` for the
  /// first of them.
  virtual LogPage Read(const StreamId& stream,
                       std::uint64_t from,
                       std::size_t max_entries,
                       Duration wait) = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_PORTS_LOG_SERVICE_H_
