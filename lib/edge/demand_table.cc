#include "mangoport/edge/demand_table.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>

namespace mangoport {
namespace {

/// The demand of a host counts for this time after its last report, or for
/// `kSilentRounds` rounds if that is longer.
constexpr Duration kDemandLifetime = std::chrono::seconds(5);
constexpr int kSilentRounds = 3;

/// Time over which rates of arrivals are averaged.
constexpr Duration kArrivalSpan = std::chrono::seconds(1);

/// Reports that are closer together than this are too close for a rate.
constexpr Duration kMinRateTime = std::chrono::milliseconds(10);

/// Returns the model that the adapter belongs to, or none for a model.
std::optional<ModelId> BaseModel(const ModelId& model) {
  const std::size_t slash = model.value().find('/');
  if (slash == std::string::npos)
    return std::nullopt;
  return ModelId(model.value().substr(0, slash));
}

}  // namespace

void DemandTable::Add(const Use& use) {
  const auto add = [&](const ModelId& model) {
    CopyDemand& total = totals_[model];
    total.running += use.use.running;
    total.waiting += use.use.waiting;
    total.arrivals_per_second += use.arrivals_per_second;
    total.work += use.work;
    ++counts_[model];
  };
  add(use.use.model);
  if (const auto base = BaseModel(use.use.model))
    add(*base);
}

void DemandTable::Remove(const Use& use) {
  const auto remove = [&](const ModelId& model) {
    const auto count = counts_.find(model);
    // The last use takes rounding errors of the sum with it.
    if (--count->second == 0) {
      counts_.erase(count);
      totals_.erase(model);
      return;
    }
    CopyDemand& total = totals_.at(model);
    total.running -= use.use.running;
    total.waiting -= use.use.waiting;
    total.arrivals_per_second -= use.arrivals_per_second;
    total.work -= use.work;
  };
  remove(use.use.model);
  if (const auto base = BaseModel(use.use.model))
    remove(*base);
}

void DemandTable::Remove(const Host& host) {
  for (const auto& [model, use] : host.uses)
    Remove(use);
}

void DemandTable::DropOtherStarts(const HostId& host,
                                  std::uint64_t incarnation) {
  const auto it = hosts_.find(host);
  if (it == hosts_.end() || it->second.incarnation == incarnation)
    return;
  Remove(it->second);
  it->second.uses.clear();
}

void DemandTable::CountArrivals(Use& use, const ModelUse& report, double time) {
  const double gain =
      1 - std::exp(-time / std::chrono::duration<double>(kArrivalSpan).count());
  const double rate =
      static_cast<double>(report.arrivals - use.use.arrivals) / time;
  use.arrivals_per_second += (rate - use.arrivals_per_second) * gain;
  const std::chrono::duration<double> work = report.work - use.use.work;
  use.work += (work.count() / time - use.work) * gain;
}

void DemandTable::Set(MonoTime now,
                      const HostId& host,
                      std::uint64_t incarnation,
                      const std::vector<ModelUse>& uses) {
  DropOtherStarts(host, incarnation);
  Host& entry = hosts_[host];
  entry.incarnation = incarnation;
  const Duration time = now - entry.heard_at;
  const bool first = entry.heard_at == MonoTime();
  const bool counts = !first && time > kMinRateTime;
  if (first || counts)
    entry.heard_at = now;
  for (const ModelUse& it : uses) {
    const auto [known, added] = entry.uses.try_emplace(it.model);
    Use& use = known->second;
    if (!added)
      Remove(use);
    const ModelUse before = use.use;
    const bool restarted = it.arrivals < before.arrivals;
    if (counts && !restarted)
      CountArrivals(use, it, std::chrono::duration<double>(time).count());
    use.use = it;
    // Arrivals that have not been counted yet count with the next report.
    if (!first && !counts && !restarted) {
      use.use.arrivals = before.arrivals;
      use.use.work = before.work;
    }
    Add(use);
  }
}

const std::map<ModelId, CopyDemand>& DemandTable::Sum(MonoTime now) {
  const Duration lifetime = std::max(kDemandLifetime, round_ * kSilentRounds);
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    if (now - it->second.heard_at <= lifetime) {
      ++it;
      continue;
    }
    Remove(it->second);
    it = hosts_.erase(it);
  }
  return totals_;
}

}  // namespace mangoport
