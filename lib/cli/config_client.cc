#include "mangoport/cli/config_client.h"

#include <chrono>
#include <random>
#include <thread>
#include <utility>

namespace mangoport {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxEntries = 512;
constexpr Duration kAppendTimeout = milliseconds(3000);
constexpr Duration kRetryPause = milliseconds(300);

/// How often a read that was not answered is sent again.
constexpr int kMaxReads = 5;

/// How often an append that was refused or not answered is sent again.
constexpr int kMaxAppends = 10;

WriterId NewWriter(const std::string& author) {
  std::random_device random;
  return WriterId("operator/" + author + "/" + std::to_string(random()) +
                  std::to_string(random()));
}

}  // namespace

ConfigClient::ConfigClient(LogService& log, std::string author)
    : log_(log), author_(std::move(author)), writer_(NewWriter(author_)) {}

LogPage ConfigClient::Read() {
  LogPage page;
  for (int i = 0; i < kMaxReads && !page.ok; ++i) {
    if (i != 0)
      std::this_thread::sleep_for(kRetryPause);
    page = log_.Read(StreamId("config"), fold_.read_from(), kMaxEntries,
                     Duration::zero());
  }
  return page;
}

bool ConfigClient::Refresh() {
  while (true) {
    const LogPage page = Read();
    if (!page.ok)
      return false;
    std::vector<EntryView> entries;
    for (const LogEntry& it : page.entries)
      entries.push_back({it.offset, it.payload});
    const FoldStatus status = fold_.ReadEntries(page.first_retained, entries);
    for (ChangeVerdict& it : fold_.TakeVerdicts())
      verdicts_.push_back(std::move(it));
    if (page.entries.size() < kMaxEntries)
      return status == FoldStatus::kCurrent;
  }
}

PublishResult ConfigClient::Publish(wire::ConfigChange change, WallTime now) {
  change.set_based_on(fold_.next_offset());
  change.set_author(author_);
  change.set_wall_time_ms(
      std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count());
  const wire::Envelope record =
      writer_.Wrap(wire::RECORD_KIND_CONFIG_CHANGE, change.SerializeAsString());
  const std::string payload = EncodeBatch({record});
  bool may_be_in_log = false;
  for (int i = 0; i < kMaxAppends; ++i) {
    if (i != 0)
      std::this_thread::sleep_for(kRetryPause);
    const AppendResult appended =
        log_.Append(StreamId("config"), payload, kAppendTimeout);
    may_be_in_log = may_be_in_log || appended.status != AppendStatus::kRefused;
    if (!may_be_in_log || !Refresh())
      continue;
    // The verdict is found by reading, also when the append's answer was lost.
    for (const ChangeVerdict& it : verdicts_) {
      if (it.writer != record.writer() || it.sequence != record.sequence())
        continue;
      if (!it.accepted)
        return {PublishStatus::kRefused, it.reason, 0};
      return {PublishStatus::kAccepted, "", it.position.offset + 1};
    }
  }
  if (!may_be_in_log)
    return {PublishStatus::kNotAppended, "the log did not take the change", 0};
  return {PublishStatus::kUnknown,
          "the log gave no answer; the change may still take effect", 0};
}

}  // namespace mangoport
