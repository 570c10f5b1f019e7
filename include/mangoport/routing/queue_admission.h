#ifndef MANGOPORT_ROUTING_QUEUE_ADMISSION_H_
#define MANGOPORT_ROUTING_QUEUE_ADMISSION_H_

#include <cstdint>
#include <map>

#include "mangoport/core/time.h"

namespace mangoport {

/// A request that would have to wait for its server.
struct QueueCandidate {
  /// Requests of lower urgency go first.
  std::uint32_t urgency = 0;
  /// The latency objective; `max` if the route has none, or if the request has
  /// been admitted before.
  Duration objective = Duration::max();
  /// The time left of the objective.
  Duration time_left = Duration::max();
  /// The time until the caller leaves.
  Duration patience = Duration::max();
};

struct QueueDecision {
  enum class Kind {
    kAdmit,
    /// The host keeps the request for `time` and decides again.
    kHold,
    /// There should be room after `time`: an overload lasts about as long again
    /// as it has lasted.
    kRefuse,
  };
  Kind kind = Kind::kAdmit;
  Duration time{};
};

/// Decides whether a request joins the queue at its servers, whose length is
/// known as an expected wait.
///
/// A queue that stands at the callers' patience makes nearly every answer late
/// without serving more: what the servers can do is the same. Three rules keep
/// it short:
///
/// - A request joins only if it can expect its first token well within its
///   route's latency objective, since half of the requests wait longer than
///   expected. A quarter of the objective is always borne, and one that can
///   begin at once is never refused.
/// - While requests of the same or higher urgency with shorter objectives come,
///   it leaves half of the queue that those could bear to them, and waits at
///   the host instead, as long as its own objective allows.
/// - At the end of that time it joins among requests of its own urgency, and is
///   refused behind more urgent ones.
///
/// Answers the load of a burst, of a hot account, of servers that fail, and of
/// a demand that stays above what the servers can do.
class QueueAdmission {
 public:
  /// The longest expected wait with which the request may join a queue.
  static Duration LongestWait(const QueueCandidate& request);

  QueueDecision Decide(MonoTime now,
                       const QueueCandidate& request,
                       Duration wait);

 private:
  /// The shortest objective that requests of an urgency had lately.
  struct Seen {
    Duration objective{};
    MonoTime at;
  };

  void Note(MonoTime now, const QueueCandidate& request);
  /// The queue that requests with shorter objectives leave to `request`, as a
  /// wait.
  Duration LimitFor(MonoTime now, const QueueCandidate& request) const;
  /// True if requests of higher urgency come.
  bool HasMoreUrgent(MonoTime now, std::uint32_t urgency) const;

  QueueDecision Refuse(MonoTime now, Duration wait);

  std::map<std::uint32_t, Seen> seen_;
  /// The first and the last refusal of the overload.
  MonoTime overloaded_since_;
  MonoTime refused_at_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_QUEUE_ADMISSION_H_
