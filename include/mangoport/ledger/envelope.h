#ifndef MANGOPORT_LEDGER_ENVELOPE_H_
#define MANGOPORT_LEDGER_ENVELOPE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/log_position.h"
#include "mangoport/ledger.pb.h"

namespace mangoport {

/// An entry read from the log.
struct EntryView {
  std::uint64_t offset = 0;
  std::string_view payload;
};

/// Assigns sequence numbers to the records of one writer and wraps them.
class RecordWriter {
 public:
  explicit RecordWriter(WriterId writer) : writer_(std::move(writer)) {}

  /// Returns an envelope with `body` and the next sequence number.
  wire::Envelope Wrap(wire::RecordKind kind, std::string body);

  const WriterId& writer() const { return writer_; }

 private:
  WriterId writer_;
  std::uint64_t sequence_ = 0;
};

/// Encodes `records` as the payload of one log entry.
std::string EncodeBatch(const std::vector<wire::Envelope>& records);

/// Reads the entries of one stream in order and passes each record to the sink
/// once.
///
/// Duplicates are skipped: a writer appends a record again if it receives no
/// response to the first append. Entries that do not parse are counted and
/// skipped, because a damaged entry must not stop a host.
class RecordReader {
 public:
  using Sink =
      std::function<void(const LogPosition&, const wire::Envelope& record)>;

  explicit RecordReader(Sink sink) : sink_(std::move(sink)) {}

  /// Reads the entry at `offset`. Ignores entries that were read before, so
  /// that reading a page twice has no effect.
  void ReadEntry(std::uint64_t offset, std::string_view payload);

  /// The offset after the last entry read.
  std::uint64_t next_offset() const { return next_offset_; }
  /// Number of entries that did not parse.
  std::uint64_t damaged_entries() const { return damaged_entries_; }

  /// Continues from `offset` after a snapshot has been loaded.
  void StartFrom(std::uint64_t offset) { next_offset_ = offset; }

 private:
  Sink sink_;
  std::uint64_t next_offset_ = 0;
  std::uint64_t damaged_entries_ = 0;
  std::unordered_map<std::string, std::uint64_t> last_sequence_;
};

}  // namespace mangoport

#endif  // MANGOPORT_LEDGER_ENVELOPE_H_
