#include "mangoport/fleet/log_catch_up.h"

#include <cstddef>

#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

/// Most short reads that are kept. With more, those between the earliest ones
/// and the newest one are dropped, so that the confirmed time advances in
/// larger steps.
constexpr std::size_t kMaxShortReads = 16;

}  // namespace

void LogCatchUp::OnRead(const FeedConfirmation& read,
                        std::uint64_t log_end,
                        std::uint64_t position) {
  OnPosition(position);
  if (position >= log_end || MutantEnabled("short_read_confirms")) {
    Confirm(read);
    return;
  }
  if (short_reads_.size() == kMaxShortReads)
    short_reads_.pop_back();
  short_reads_.push_back({.read = read, .log_end = log_end});
}

void LogCatchUp::OnPosition(std::uint64_t position) {
  while (!short_reads_.empty() && short_reads_.front().log_end <= position) {
    Confirm(short_reads_.front().read);
    short_reads_.pop_front();
  }
}

void LogCatchUp::Reset() {
  confirmation_.reset();
  short_reads_.clear();
}

void LogCatchUp::Confirm(const FeedConfirmation& read) {
  if (!confirmation_ || confirmation_->sent_at < read.sent_at)
    confirmation_ = read;
}

}  // namespace mangoport
