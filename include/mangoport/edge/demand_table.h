#ifndef MANGOPORT_EDGE_DEMAND_TABLE_H_
#define MANGOPORT_EDGE_DEMAND_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/forward/backend_table.h"
#include "mangoport/placement/copy_planner.h"

namespace mangoport {

/// The demand for models and adapters from the callers of all hosts.
///
/// Each report changes only the totals of the models that it names, so that the
/// cost of reading the totals does not grow with the number of hosts.
class DemandTable {
 public:
  /// Processes a report of `host`, whose counters run since its start, which
  /// `incarnation` identifies.
  void Set(MonoTime now,
           const HostId& host,
           std::uint64_t incarnation,
           const std::vector<ModelUse>& uses);

  /// Drops the demand of `host` from before the start `incarnation`.
  void DropOtherStarts(const HostId& host, std::uint64_t incarnation);

  /// Sets the time in which a host reports once, which grows with the fleet.
  void set_round(Duration round) { round_ = round; }

  /// Returns the sum over all hosts that reported recently. Valid until the
  /// next call of a method.
  const std::map<ModelId, CopyDemand>& Sum(MonoTime now);

 private:
  struct Use {
    ModelUse use;
    double arrivals_per_second = 0;
    /// Engine time for prompts, per second.
    double work = 0;
  };
  struct Host {
    /// Time of the latest report whose arrivals were counted, within a few
    /// milliseconds of the latest one.
    MonoTime heard_at;
    std::uint64_t incarnation = 0;
    std::map<ModelId, Use> uses;
  };

  /// Counts what `report` adds to the counters of `use` in `time` seconds.
  static void CountArrivals(Use& use, const ModelUse& report, double time);

  /// Adds the use to the totals of its model and, if that is an adapter, of the
  /// model that the adapter belongs to.
  void Add(const Use& use);
  void Remove(const Use& use);
  void Remove(const Host& host);

  Duration round_{};
  std::map<HostId, Host> hosts_;
  std::map<ModelId, CopyDemand> totals_;
  /// The number of uses in each total.
  std::map<ModelId, std::size_t> counts_;
};

}  // namespace mangoport

#endif  // MANGOPORT_EDGE_DEMAND_TABLE_H_
