#ifndef MANGOPORT_EDGE_HOLDER_NOTICE_H_
#define MANGOPORT_EDGE_HOLDER_NOTICE_H_

#include <optional>

#include "mangoport/core/time.h"

namespace mangoport {

/// Decides when this host reports demand that cannot wait for its next regular
/// datagram to the holder of the order lease.
///
/// Demand is kept until it is sent: it may arise before the holder is known, or
/// shortly after the last report.
class HolderNotice {
 public:
  /// Requests need a copy that no engine holds.
  void OnDemand() { pending_ = true; }

  /// The demand was sent, or this host became the holder.
  void OnSent(MonoTime now);

  /// Returns the time from which a report may be sent; none if there is nothing
  /// to report or the holder is unknown.
  std::optional<MonoTime> DueAt(bool holder_known) const;

 private:
  bool pending_ = false;
  std::optional<MonoTime> sent_at_;
};

}  // namespace mangoport

#endif  // MANGOPORT_EDGE_HOLDER_NOTICE_H_
