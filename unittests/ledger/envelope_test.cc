#include "mangoport/ledger/envelope.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

// NOLINTNEXTLINE
Test(envelope, repeated_append_is_read_once) {
  RecordWriter writer(WriterId("host-a/1"));
  const std::string entry =
      EncodeBatch({writer.Wrap(wire::RECORD_KIND_AUDIT, "first"),
                   writer.Wrap(wire::RECORD_KIND_AUDIT, "second")});
  std::vector<std::string> seen;
  RecordReader reader(
      [&seen](const LogPosition& position, const wire::Envelope& record) {
        seen.push_back(ToString(position) + "=" + record.body());
      });
  reader.ReadEntry(4, entry);
  reader.ReadEntry(5, entry);
  reader.ReadEntry(4, entry);
  cr_assert_eq(seen.size(), 2U);
  cr_assert_eq(seen[0], "4.0=first");
  cr_assert_eq(seen[1], "4.1=second");
  cr_assert_eq(reader.next_offset(), 6U);
}

// NOLINTNEXTLINE
Test(envelope, damaged_entry_is_counted_and_skipped) {
  RecordReader reader([](const LogPosition&, const wire::Envelope&) {});
  reader.ReadEntry(0, "\xff\xff\xff");
  cr_assert_eq(reader.damaged_entries(), 1U);
  cr_assert_eq(reader.next_offset(), 1U);
}

}  // namespace
}  // namespace mangoport
