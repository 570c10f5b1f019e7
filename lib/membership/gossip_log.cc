// How a host reads the log itself and records withdrawals in it.
#include <algorithm>

#include <xxhash.h>

#include "mangoport/membership/gossip.h"

namespace mangoport {
namespace {

constexpr std::size_t kWithdrawalsPerRecord = 16;

/// The hosts of a zone with the lowest ranks read the log. Hashes the id so
/// that the choice does not follow host names.
std::uint64_t ReaderRank(std::string_view host) {
  return XXH64(host.data(), host.size(), 0);
}

}  // namespace

GossipActions Gossip::OnLogReadResult(MonoTime now,
                                      const LogReadResult& result) {
  GossipActions actions;
  log_read_pending_ = false;
  if (!result.ok) {
    next_log_read_ =
        now + options_.log_retry_interval + Jitter(options_.log_retry_interval);
    return actions;
  }
  last_log_reply_at_ = now;
  const std::uint64_t before = replica_.next_offset();
  if (replica_.OnLogReadResult(result))
    OnOffsetAdvanced(before);
  log_read_to_end_ = log_read_to_end_ || result.reached_end;
  PushChanges(now, actions);
  RequestLogRead(now, actions);
  UpdateReady(now);
  return actions;
}

std::size_t Gossip::ZoneSize() const {
  std::size_t n = 1;
  for (const KnownHost* it : directory_.Live())
    n += it->zone.value() == directory_.self().zone() ? 1 : 0;
  return n;
}

bool Gossip::IsLogReader() const {
  const std::uint64_t own = ReaderRank(directory_.self().host());
  std::size_t lower_ranked = 0;
  for (const KnownHost* it : directory_.Live()) {
    const bool own_zone = it->zone.value() == directory_.self().zone();
    lower_ranked += own_zone && ReaderRank(it->id.value()) < own ? 1 : 0;
  }
  return lower_ranked < options_.log_readers_per_zone;
}

bool Gossip::LogAnsweredRecently(MonoTime now) const {
  return last_log_reply_at_ != MonoTime{} &&
         now - last_log_reply_at_ < options_.fallback_after;
}

void Gossip::RequestLogRead(MonoTime now, GossipActions& actions) {
  if (log_read_pending_ || now < next_log_read_)
    return;
  const auto age = replica_.EvidenceAge(now);
  const bool stale = !age || *age >= options_.fallback_after;
  if (!log_reader_ && !stale)
    return;
  if (!log_reader_) {
    const auto hosts = static_cast<Duration::rep>(ZoneSize());
    const Duration mean_interval =
        std::max(options_.fallback_after, options_.fallback_per_host * hosts);
    next_log_read_ = now + mean_interval / 2 + Jitter(mean_interval);
  }
  log_read_pending_ = true;
  actions.log_read_from = replica_.read_from();
}

void Gossip::RecordWithdrawals(MonoTime now, GossipActions& actions) {
  const bool can_record =
      !overlay_.entries().empty() && LogAnsweredRecently(now);
  if (!can_record) {
    next_record_at_.reset();
    return;
  }
  if (!next_record_at_) {
    next_record_at_ = now + Jitter(options_.max_record_jitter);
    return;
  }
  if (now < *next_record_at_)
    return;
  next_record_at_ =
      now + options_.max_record_jitter + Jitter(options_.max_record_jitter);
  for (const auto& [key, it] : overlay_.entries()) {
    if (actions.withdrawals_to_record.size() < kWithdrawalsPerRecord)
      actions.withdrawals_to_record.push_back(it);
  }
}

}  // namespace mangoport
