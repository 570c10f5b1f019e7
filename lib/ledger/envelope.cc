#include "mangoport/ledger/envelope.h"

#include <utility>

#include "mangoport/core/mutant.h"

namespace mangoport {

wire::Envelope RecordWriter::Wrap(wire::RecordKind kind, std::string body) {
  wire::Envelope envelope;
  envelope.set_writer(writer_.value());
  envelope.set_sequence(++sequence_);
  envelope.set_kind(kind);
  envelope.set_body(std::move(body));
  return envelope;
}

std::string EncodeBatch(const std::vector<wire::Envelope>& records) {
  wire::EntryBatch batch;
  batch.mutable_records()->Assign(records.begin(), records.end());
  return batch.SerializeAsString();
}

void RecordReader::ReadEntry(std::uint64_t offset, std::string_view payload) {
  if (offset < next_offset_)
    return;
  next_offset_ = offset + 1;
  wire::EntryBatch batch;
  if (!batch.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
    ++damaged_entries_;
    return;
  }
  LogPosition position{offset, 0};
  for (const wire::Envelope& it : batch.records()) {
    std::uint64_t& last = last_sequence_[it.writer()];
    if (it.sequence() > last || MutantEnabled("repeat_folded")) {
      last = it.sequence();
      sink_(position, it);
    }
    ++position.index;
  }
}

}  // namespace mangoport
