#include "mangoport/routing/engine_work.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "mangoport/routing/load_estimate.h"

namespace mangoport {
namespace {

/// The quantile of an engine's samples that counts as its rate without waiting.
constexpr double kQuantile = 0.75;
/// Change of the logarithm of the rate for one sample.
constexpr double kStep = 0.1;
/// Prompts with fewer tokens say more about the network than about the engine.
constexpr std::int64_t kLeastTokens = 64;
constexpr std::uint32_t kSamplesPerMedian = 16;

/// Weight of the newest wait, and the time in which a wait loses its meaning.
constexpr double kWaitGain = 0.3;
constexpr Duration kWaitSpan = std::chrono::seconds(1);

}  // namespace

double DecayingRate::Decay(MonoTime now) const {
  const double spans = std::chrono::duration<double>(now - updated_at_) /
                       std::chrono::duration<double>(span_);
  return std::exp(-std::max(spans, 0.0));
}

void DecayingRate::Add(MonoTime now, double amount) {
  sum_ = sum_ * Decay(now) + amount;
  updated_at_ = std::max(updated_at_, now);
}

double DecayingRate::PerSecond(MonoTime now) const {
  return sum_ * Decay(now) / std::chrono::duration<double>(span_).count();
}

void EngineWorkLoad::OnPeers(MonoTime now, double work) {
  peers_ = work;
  peers_at_ = now;
}

void EngineWorkLoad::OnFirstEvent(MonoTime now,
                                  std::uint32_t urgency,
                                  Duration wait) {
  Wait& known = waits_[urgency];
  const Duration before = AgedWait(now, known);
  known.wait =
      before + std::chrono::duration_cast<Duration>(
                   (std::max(wait, Duration::zero()) - before) * kWaitGain);
  known.seen_at = now;
}

double EngineWorkLoad::At(MonoTime now) const {
  const double age = std::chrono::duration<double>(now - peers_at_) /
                     std::chrono::duration<double>(kReportLifetime);
  return Own(now) + peers_ * std::clamp(1 - age, 0.0, 1.0);
}

Duration EngineWorkLoad::AgedWait(MonoTime now, const Wait& wait) {
  const double age = std::chrono::duration<double>(now - wait.seen_at) /
                     std::chrono::duration<double>(kWaitSpan);
  return std::chrono::duration_cast<Duration>(wait.wait * std::exp(-age));
}

Duration EngineWorkLoad::ObservedWait(MonoTime now,
                                      std::uint32_t urgency) const {
  Duration longest{};
  for (const auto& [other, wait] : waits_) {
    if (other <= urgency)
      longest = std::max(longest, AgedWait(now, wait));
  }
  return longest;
}

void PromptRateEstimate::OnFirstEvent(const ServerId& server,
                                      std::int64_t tokens,
                                      Duration time) {
  const double seconds = std::chrono::duration<double>(time).count();
  if (tokens < kLeastTokens || seconds <= 0)
    return;
  const double sample = std::log(static_cast<double>(tokens) / seconds);
  const auto [it, added] = log_rates_.try_emplace(server, sample);
  if (!added)
    it->second +=
        sample > it->second ? kStep * kQuantile : -kStep * (1 - kQuantile);
  if (median_ && until_median_-- > 0)
    return;
  until_median_ = kSamplesPerMedian;
  std::vector<double> rates;
  rates.reserve(log_rates_.size());
  for (const auto& [id, rate] : log_rates_)
    rates.push_back(rate);
  const auto middle =
      rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
  std::nth_element(rates.begin(), middle, rates.end());
  median_ = std::exp(*middle);
}

Duration PromptRateEstimate::TimeFor(std::int64_t tokens) const {
  if (!median_ || tokens <= 0)
    return Duration::zero();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(tokens) / *median_));
}

}  // namespace mangoport
