// What a host logs of its reads of the feeds.
#include "lib/edge/feed_log.h"

#include <string_view>

#include "mangoport/edge/feed_service.h"

namespace mangoport {
namespace {

std::string_view ReadUseName(FeedReadUse use) {
  switch (use) {
    case FeedReadUse::kApply:
      return "none";
    case FeedReadUse::kPassed:
      return "passed_by_update";
    case FeedReadUse::kNoContinuation:
      return "no_continuation";
    case FeedReadUse::kEarlierTimeline:
      return "earlier_timeline";
  }
  return "none";
}

}  // namespace

std::string PositionText(const FeedPosition& position) {
  return position ? ToString(*position) : "none";
}

void FeedService::LogProblems(const Feed& feed,
                              const std::vector<std::string>& problems) {
  for (const std::string& it : problems)
    log_.Write(LogLine("record_passed_over")
                   .Add("feed", feed.name)
                   .Add("problem", it));
}

void FeedService::LogRestart(const Feed& feed,
                             const FeedPosition& position,
                             std::string_view reason) {
  log_.Write(LogLine("feed_restarted")
                 .Add("feed", feed.name)
                 .Add("position", PositionText(position))
                 .Add("reason", reason));
}

void FeedService::LogShortRead(const Feed& feed,
                               const StorePosition& next,
                               std::uint64_t log_end) {
  if (next.offset >= log_end)
    return;
  log_.Write(LogLine("feed_read_short")
                 .Add("feed", feed.name)
                 .Add("asked", PositionText(feed.asked))
                 .Add("next", ToString(next))
                 .Add("log_end", log_end)
                 .Add("after", BootClock::now() - feed.sent_at));
  hooks_.on_short_read();
}

void FeedService::LogDiscarded(const Feed& feed,
                               FeedReadUse use,
                               const StorePosition& next) {
  log_.Write(LogLine("feed_read_discarded")
                 .Add("feed", feed.name)
                 .Add("asked", PositionText(feed.asked))
                 .Add("next", ToString(next))
                 .Add("reason", ReadUseName(use)));
}

}  // namespace mangoport
