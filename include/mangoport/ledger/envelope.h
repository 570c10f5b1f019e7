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

/// One entry of the log, as it was read.
struct EntryView {
  std::uint64_t offset = 0;
  std::string_view payload;
};

/// Numbers and encodes the records of one writer.
class RecordWriter {
 public:
  explicit RecordWriter(WriterId writer) : writer_(std::move(writer)) {}

  /// Wraps `body` with the next sequence number.
  wire::Envelope Wrap(wire::RecordKind kind, std::string body);

  const WriterId& writer() const { return writer_; }

 private:
  WriterId writer_;
  std::uint64_t sequence_ = 0;
};

/// Encodes records that go into one log entry.
std::string EncodeBatch(const std::vector<wire::Envelope>& records);

/// Walks the entries of one stream in order and hands each record on once.
///
/// A record that was appended again, because the answer to its first append
/// was lost, is passed over. Bytes that do not parse are passed over too and
/// counted: a damaged entry must not stop a host.
class RecordReader {
 public:
  using Sink =
      std::function<void(const LogPosition&, const wire::Envelope& record)>;

  explicit RecordReader(Sink sink) : sink_(std::move(sink)) {}

  /// Reads the entry at `offset`. Entries at or before the last one are
  /// ignored, so that a page read twice changes nothing.
  void ReadEntry(std::uint64_t offset, std::string_view payload);

  /// The offset after the last entry read.
  std::uint64_t next_offset() const { return next_offset_; }
  std::uint64_t damaged_entries() const { return damaged_entries_; }

  /// Goes on from `offset`, for a reader that starts from a snapshot.
  void StartFrom(std::uint64_t offset) { next_offset_ = offset; }

 private:
  Sink sink_;
  std::uint64_t next_offset_ = 0;
  std::uint64_t damaged_entries_ = 0;
  std::unordered_map<std::string, std::uint64_t> last_sequence_;
};

}  // namespace mangoport

#endif  // MANGOPORT_LEDGER_ENVELOPE_H_
