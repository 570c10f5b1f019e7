#ifndef MANGOPORT_ROUTING_ENGINE_WORK_H_
#define MANGOPORT_ROUTING_ENGINE_WORK_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// Sums that decay exponentially, as a rate per second.
class DecayingRate {
 public:
  /// `span` is the time over which the rate is averaged.
  explicit DecayingRate(Duration span) : span_(span) {}

  void Add(MonoTime now, double amount);
  double PerSecond(MonoTime now) const;

 private:
  double Decay(MonoTime now) const;

  Duration span_;
  double sum_ = 0;
  MonoTime updated_at_;
};

/// The use of one engine's time by prompts, and the waiting for it.
///
/// Counting requests doesn't show that an engine is busy if few long prompts
/// take all of its time; then its slots stay empty while requests wait.
class EngineWorkLoad {
 public:
  /// This host sent a prompt that takes `time`.
  void OnDispatched(MonoTime now, Duration time) {
    own_.Add(now, std::chrono::duration<double>(time).count());
  }

  /// The prompts of all other hosts together take this part of the time.
  void OnPeers(MonoTime now, double work);

  /// A request's first event came this much later than its prompt explains.
  /// Engines admit requests of lower `urgency` first.
  void OnFirstEvent(MonoTime now, std::uint32_t urgency, Duration wait);

  double Own(MonoTime now) const { return own_.PerSecond(now); }
  /// The part of the engine's time in use by all hosts; above 1, requests that
  /// arrive wait ever longer.
  double At(MonoTime now) const;

  /// The wait that this host's latest requests of the same or a more urgent
  /// class had, less with its age.
  Duration ObservedWait(MonoTime now, std::uint32_t urgency) const;

 private:
  struct Wait {
    Duration wait{};
    MonoTime seen_at;
  };
  static Duration AgedWait(MonoTime now, const Wait& wait);

  DecayingRate own_{std::chrono::seconds(1)};
  /// Other hosts' part, and when they reported it.
  double peers_ = 0;
  MonoTime peers_at_;
  /// By urgency.
  std::map<std::uint32_t, Wait> waits_;
};

/// Estimates the time that engines of one kind need to read a prompt, from the
/// times to the first events that this host has seen.
///
/// The time to a first event contains waiting, so an engine's rate is a high
/// quantile of what its requests show. The estimate is the median over engines:
/// neither slow or failing engines nor ones that answer without reading change
/// it while they are fewer than half.
class PromptRateEstimate {
 public:
  /// A request with `tokens` prompt tokens of its own had its first event
  /// `time` after it was sent.
  void OnFirstEvent(const ServerId& server, std::int64_t tokens, Duration time);

  /// The engine time for a prompt of `tokens`; zero while nothing is known.
  Duration TimeFor(std::int64_t tokens) const;

  /// Tokens per second; none while nothing is known.
  std::optional<double> tokens_per_second() const { return median_; }

  /// The server is gone; its samples no longer count.
  void Forget(const ServerId& server) { log_rates_.erase(server); }

 private:
  /// The logarithm of each engine's rate in tokens per second.
  std::unordered_map<ServerId, double> log_rates_;
  std::optional<double> median_;
  std::uint32_t until_median_ = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_ROUTING_ENGINE_WORK_H_
