#ifndef MANGOPORT_FLEET_STORE_OUTAGES_H_
#define MANGOPORT_FLEET_STORE_OUTAGES_H_

#include <optional>

#include "mangoport/core/time.h"

namespace mangoport {

struct StoreOutageSettings {
  /// Entries of running servers lapse only if the store was unavailable for
  /// longer: a lapse takes three missed registrations, which are some 1.2 s
  /// apart, and the outage covers the time between the first and the last.
  Duration least = std::chrono::milliseconds(2000);
  /// For this long after an outage its lapses are still being read.
  Duration recovery_time = std::chrono::milliseconds(3000);
};

/// Tells outages of the store, in which entries of running servers may have
/// lapsed, from failed calls of this host alone.
///
/// The store is taken for unavailable from its last known answer, to this host
/// or to another one, until the next, if a call of this host failed in between.
/// A time shorter than `least` is no outage: one call that fails while the
/// store answers all others says nothing of it.
class StoreOutages {
 public:
  explicit StoreOutages(const StoreOutageSettings& settings)
      : settings_(settings) {}

  /// The store answered this host, or another one, at `answered_at`.
  void OnAnswer(MonoTime answered_at);

  /// A call of this host failed.
  void OnFailure(MonoTime now);

  /// True during an outage and for the recovery time after it.
  bool IsInOutage(MonoTime now) const;

 private:
  /// True if the store has been unavailable for long enough until `now`.
  bool IsUnavailable(MonoTime now) const;

  StoreOutageSettings settings_;
  std::optional<MonoTime> last_answer_;
  std::optional<MonoTime> last_failure_;
  std::optional<MonoTime> outage_end_;
};

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_STORE_OUTAGES_H_
