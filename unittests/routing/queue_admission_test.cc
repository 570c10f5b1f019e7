#include "mangoport/routing/queue_admission.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonoTime kStart{seconds(1000)};
constexpr std::size_t kSlots = 64;
constexpr Duration kServiceTime = seconds(1);

/// A kind of request and how many of it come.
struct Kind {
  std::uint32_t urgency = 1;
  Duration objective{};
  Duration patience = seconds(12);
  double per_second = 0;
};

struct Served {
  int asked = 0;
  int in_objective = 0;
  int late = 0;
  int refused_with_free_slots = 0;
};

/// Servers whose slots take a second each on average, more urgent requests
/// first, behind one admission. Runs for ten seconds.
class LoadReplay {
 public:
  /// Without `admission`, requests join while their callers would wait.
  explicit LoadReplay(bool with_admission) : with_admission_(with_admission) {}

  std::vector<Served> Run(const std::vector<Kind>& kinds) {
    std::vector<Served> out(kinds.size());
    for (MonoTime now = kStart; now < kStart + seconds(10);
         now += milliseconds(5)) {
      Advance(now, kinds, out);
      for (std::size_t i = 0; i < kinds.size(); ++i) {
        std::poisson_distribution<int> arrivals(kinds[i].per_second * 0.005);
        for (int n = arrivals(random_); n > 0; --n) {
          ++out[i].asked;
          Offer(now, i, now, kinds, out);
        }
      }
    }
    return out;
  }

  static constexpr double kCapacityPerSecond =
      kSlots / std::chrono::duration<double>(kServiceTime).count();

 private:
  struct Waiting {
    std::size_t kind = 0;
    MonoTime arrived;
  };

  /// The wait by the load of the servers, as hosts know it.
  Duration ExpectedWait(std::uint32_t urgency,
                        const std::vector<Kind>& kinds) const {
    std::size_t ahead = running_.size();
    for (const Waiting& it : queue_)
      ahead += kinds[it.kind].urgency <= urgency ? 1 : 0;
    if (ahead < kSlots)
      return Duration::zero();
    return kServiceTime * static_cast<long>(ahead - kSlots + 1) / kSlots;
  }

  void Offer(MonoTime now,
             std::size_t kind,
             MonoTime arrived,
             const std::vector<Kind>& kinds,
             std::vector<Served>& out) {
    const Kind& spec = kinds[kind];
    const Duration wait = ExpectedWait(spec.urgency, kinds);
    QueueDecision decision;
    if (with_admission_)
      decision = admission_.Decide(now,
                                   {.urgency = spec.urgency,
                                    .objective = spec.objective,
                                    .time_left = arrived + spec.objective - now,
                                    .patience = arrived + spec.patience - now},
                                   wait);
    else if (wait > spec.patience)
      decision.kind = QueueDecision::Kind::kRefuse;
    if (decision.kind == QueueDecision::Kind::kAdmit)
      queue_.push_back({.kind = kind, .arrived = arrived});
    else if (decision.kind == QueueDecision::Kind::kHold)
      held_.emplace(now + decision.time,
                    Waiting{.kind = kind, .arrived = arrived});
    else if (running_.size() < kSlots)
      ++out[kind].refused_with_free_slots;
    Start(now, kinds, out);
  }

  void Start(MonoTime now,
             const std::vector<Kind>& kinds,
             std::vector<Served>& out) {
    while (running_.size() < kSlots && !queue_.empty()) {
      const auto next = std::min_element(
          queue_.begin(), queue_.end(),
          [&](const Waiting& a, const Waiting& b) {
            return kinds[a.kind].urgency < kinds[b.kind].urgency;
          });
      Served& served = out[next->kind];
      (now - next->arrived <= kinds[next->kind].objective ? served.in_objective
                                                          : served.late)++;
      std::uniform_real_distribution<> factor(0.2, 1.8);
      running_.push(now + std::chrono::duration_cast<Duration>(
                              kServiceTime * factor(random_)));
      queue_.erase(next);
    }
  }

  void Advance(MonoTime now,
               const std::vector<Kind>& kinds,
               std::vector<Served>& out) {
    while (!running_.empty() && running_.top() <= now)
      running_.pop();
    Start(now, kinds, out);
    while (!held_.empty() && held_.begin()->first <= now) {
      const Waiting next = held_.begin()->second;
      held_.erase(held_.begin());
      Offer(now, next.kind, next.arrived, kinds, out);
    }
  }

  bool with_admission_;
  std::mt19937_64 random_{3};
  QueueAdmission admission_;
  std::vector<Waiting> queue_;
  std::multimap<MonoTime, Waiting> held_;
  /// The ends of the requests that run, the earliest on top.
  std::priority_queue<MonoTime, std::vector<MonoTime>, std::greater<>> running_;
};

constexpr Kind kLive{.urgency = 1, .objective = milliseconds(300)};
constexpr Kind kDeferred{.urgency = 1,
                         .objective = seconds(5),
                         .patience = seconds(20)};

Kind At(Kind kind, double times_capacity) {
  kind.per_second = LoadReplay::kCapacityPerSecond * times_capacity;
  return kind;
}

/// The part of what the servers can do that was served in its objective.
double InObjective(const std::vector<Served>& served) {
  int n = 0;
  for (const Served& it : served)
    n += it.in_objective;
  return n / (LoadReplay::kCapacityPerSecond * 10);
}

// NOLINTBEGIN: Criterion's macros
// At a load above what the servers can do, a queue stood at the callers'
// patience: nearly all answers were late.
Test(queue_admission, what_is_let_in_is_served_in_its_objective) {
  for (const double load : {1.5, 3.0}) {
    const auto before = LoadReplay(false).Run({At(kLive, load)});
    cr_assert_lt(InObjective(before), 0.3, "%f", InObjective(before));
    const auto after = LoadReplay(true).Run({At(kLive, load)});
    cr_assert_gt(InObjective(after), 0.9, "%f", InObjective(after));
    cr_assert_eq(after[0].refused_with_free_slots, 0);
  }
}

// Requests that may wait for seconds kept the queue longer than those with a
// short objective could bear, and so kept them out.
Test(queue_admission, a_long_objective_does_not_keep_out_a_short_one) {
  const auto served =
      LoadReplay(true).Run({At(kLive, 0.8), At(kDeferred, 0.6)});
  const double live =
      static_cast<double>(served[0].in_objective) / served[0].asked;
  cr_assert_gt(live, 0.6, "%f", live);
  cr_assert_gt(InObjective(served), 0.9, "%f", InObjective(served));
}

// Less urgent requests must not be served more often than more urgent ones.
Test(queue_admission, a_less_urgent_request_does_not_keep_out_an_urgent_one) {
  Kind urgent = At(kLive, 0.9);
  urgent.urgency = 0;
  Kind less_urgent = At(kDeferred, 0.9);
  less_urgent.urgency = 2;
  const auto served = LoadReplay(true).Run({urgent, less_urgent});
  const double first =
      static_cast<double>(served[0].in_objective) / served[0].asked;
  cr_assert_gt(first, 0.9, "%f", first);
}

// A request that can begin at once is no burden for the queue.
Test(queue_admission, a_free_server_is_never_refused) {
  QueueAdmission admission;
  const QueueCandidate late{.urgency = 1,
                            .objective = milliseconds(300),
                            .time_left = milliseconds(300),
                            .patience = seconds(12)};
  cr_assert(admission.Decide(kStart, late, seconds(2)).kind ==
            QueueDecision::Kind::kRefuse);
  cr_assert(admission.Decide(kStart, late, Duration::zero()).kind ==
            QueueDecision::Kind::kAdmit);
}

// Refused requests came back to the same queue after its length, and were
// refused again.
Test(queue_admission,
     requests_come_back_the_later_the_longer_an_overload_lasts) {
  QueueAdmission admission;
  const QueueCandidate request{.urgency = 1,
                               .objective = milliseconds(300),
                               .time_left = milliseconds(300),
                               .patience = seconds(12)};
  for (int i = 0; i < 30; ++i) {
    const MonoTime now = kStart + milliseconds(100) * i;
    const QueueDecision decision =
        admission.Decide(now, request, milliseconds(400));
    cr_assert(decision.kind == QueueDecision::Kind::kRefuse);
    cr_assert_eq(
        decision.time.count(),
        Duration(std::max(milliseconds(400), milliseconds(100) * i)).count());
  }
  // A later overload is another one.
  cr_assert_eq(admission.Decide(kStart + seconds(9), request, milliseconds(400))
                   .time.count(),
               Duration(milliseconds(400)).count());
}

// A wait that had been seen long ago and had faded to nearly nothing refused
// all requests of a service whose answers take longer than their objective.
Test(queue_admission, a_long_service_time_does_not_refuse_at_a_short_queue) {
  QueueAdmission admission;
  const QueueCandidate request{.urgency = 0,
                               .objective = milliseconds(250),
                               .time_left = milliseconds(250) - seconds(4),
                               .patience = seconds(4)};
  for (const Duration wait :
       {Duration(std::chrono::nanoseconds(1)), Duration(milliseconds(1)),
        Duration(milliseconds(60))})
    cr_assert(admission.Decide(kStart, request, wait).kind ==
              QueueDecision::Kind::kAdmit);
  cr_assert(admission.Decide(kStart, request, milliseconds(100)).kind ==
            QueueDecision::Kind::kRefuse);
}

// A request that has been at a server already is not refused for its objective.
Test(queue_admission, without_an_objective_only_the_callers_patience_counts) {
  QueueAdmission admission;
  const QueueCandidate again{.urgency = 1, .patience = seconds(12)};
  cr_assert(admission.Decide(kStart, again, seconds(11)).kind ==
            QueueDecision::Kind::kAdmit);
  cr_assert(admission.Decide(kStart, again, seconds(13)).kind ==
            QueueDecision::Kind::kRefuse);
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
