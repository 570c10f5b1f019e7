// Checks that RecordReader delivers each record once if records are appended
// several times and entries are read again.
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "mangoport/ledger/envelope.h"
#include "unittests/support/soak_main.h"

namespace mangoport {
namespace {

void Run(const SoakOptions& options, SoakProgress& progress) {
  std::mt19937_64 random(options.seed);
  std::map<std::string, int> folded;
  RecordReader reader(
      [&folded](const LogPosition&, const wire::Envelope& record) {
        const int n = ++folded[record.body()];
        CheckInvariant(n == 1, "a record is folded at most once",
                       [&record] { return "body " + record.body(); });
      });
  RecordWriter writer(WriterId("host-a/1"));
  std::vector<std::string> log;
  for (progress.step = 0; progress.step < options.steps; ++progress.step) {
    const std::string body = "record-" + std::to_string(progress.step);
    const std::string entry =
        EncodeBatch({writer.Wrap(wire::RECORD_KIND_AUDIT, body)});
    const std::uint64_t appends = 1 + random() % 3;
    for (std::uint64_t i = 0; i < appends; ++i)
      log.push_back(entry);
    progress.Note(body + " appended " + std::to_string(appends) + " times");
    const std::uint64_t next = reader.next_offset();
    const std::uint64_t back = random() % 4;
    for (std::uint64_t i = next > back ? next - back : 0; i < log.size(); ++i)
      reader.ReadEntry(i, log[i]);
    CheckInvariant(folded[body] == 1, "an appended record is folded",
                   [&body] { return "body " + body; });
  }
}

}  // namespace
}  // namespace mangoport

int main(int argc, char** argv) {
  return mangoport::SoakMain(argc, argv, {"repeat_folded"}, mangoport::Run);
}
