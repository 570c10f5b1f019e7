#include "mangoport/routing/queue_admission.h"

#include <algorithm>
#include <chrono>

namespace mangoport {
namespace {

/// Requests that came longer ago say nothing of those that come now.
constexpr Duration kSeenLifetime = std::chrono::seconds(1);

/// A shorter wait is none: it is what is left of an observed one that fades.
constexpr Duration kNoWait = std::chrono::milliseconds(2);

/// A queue of this part of the objective is joined in any case, since the time
/// for the answer itself may be misjudged, or longer than the objective.
constexpr int kLeastPart = 4;

/// Bounds of the time for which a host keeps a request before it looks again.
constexpr Duration kShortestHold = std::chrono::milliseconds(30);
constexpr Duration kLongestHold = std::chrono::milliseconds(250);

}  // namespace

void QueueAdmission::Note(MonoTime now, const QueueCandidate& request) {
  Seen& seen = seen_[request.urgency];
  if (now - seen.at >= kSeenLifetime || request.objective <= seen.objective)
    seen = {.objective = request.objective, .at = now};
}

Duration QueueAdmission::LimitFor(MonoTime now,
                                  const QueueCandidate& request) const {
  Duration limit = Duration::max();
  for (const auto& [urgency, seen] : seen_) {
    if (urgency <= request.urgency && now - seen.at < kSeenLifetime &&
        seen.objective < request.objective)
      limit = std::min(limit, seen.objective / 2);
  }
  return limit;
}

bool QueueAdmission::HasMoreUrgent(MonoTime now, std::uint32_t urgency) const {
  return std::any_of(seen_.begin(), seen_.end(), [&](const auto& it) {
    return it.first < urgency && now - it.second.at < kSeenLifetime;
  });
}

Duration QueueAdmission::LongestWait(const QueueCandidate& request) {
  if (request.objective == Duration::max())
    return request.patience;
  // Half of the requests wait longer than expected.
  const Duration limit =
      std::max(request.time_left * 2 / 3, request.objective / kLeastPart);
  return std::min(limit, request.patience);
}

QueueDecision QueueAdmission::Refuse(MonoTime now, Duration wait) {
  if (now - refused_at_ >= kSeenLifetime)
    overloaded_since_ = now;
  refused_at_ = now;
  return {.kind = QueueDecision::Kind::kRefuse,
          .time = std::max(wait, now - overloaded_since_)};
}

QueueDecision QueueAdmission::Decide(MonoTime now,
                                     const QueueCandidate& request,
                                     Duration wait) {
  const bool has_objective = request.objective != Duration::max();
  if (has_objective)
    Note(now, request);
  if (wait <= kNoWait)
    return {};
  if (wait > request.patience)
    return Refuse(now, wait);
  if (!has_objective)
    return {};
  const Duration own_limit = LongestWait(request);
  if (wait > own_limit)
    return Refuse(now, wait);
  if (wait <= LimitFor(now, request))
    return {};
  if (own_limit - wait > kLongestHold)
    return {.kind = QueueDecision::Kind::kHold,
            .time = std::clamp(wait, kShortestHold, kLongestHold)};
  if (HasMoreUrgent(now, request.urgency))
    return Refuse(now, wait);
  return {};
}

}  // namespace mangoport
