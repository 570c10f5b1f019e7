#include "mangoport/forward/peer_loads.h"

namespace mangoport {
namespace {

constexpr Duration kCheckInterval = std::chrono::seconds(1);

}  // namespace

std::vector<ServerId> PeerLoads::Set(MonoTime now,
                                     const HostId& host,
                                     const std::vector<ServerLoad>& loads) {
  std::vector<ServerId> touched;
  Report& report = reports_[host];
  Remove(report, touched);
  report = {.received_at = now, .loads = loads};
  Add(report);
  for (const ServerLoad& it : loads)
    touched.push_back(it.server);
  DropSilent(now, touched);
  return touched;
}

PeerLoads::Sum PeerLoads::Of(const ServerId& server) const {
  const auto it = totals_.find(server);
  return it == totals_.end() ? Sum() : it->second.sum;
}

void PeerLoads::Add(const Report& report) {
  for (const ServerLoad& it : report.loads) {
    Total& total = totals_[it.server];
    ++total.reports;
    total.sum.running += it.running;
    total.sum.work += it.work;
  }
}

void PeerLoads::Remove(const Report& report, std::vector<ServerId>& touched) {
  for (const ServerLoad& it : report.loads) {
    touched.push_back(it.server);
    const auto total = totals_.find(it.server);
    // The last report takes rounding errors of the sum with it.
    if (--total->second.reports == 0) {
      totals_.erase(total);
      continue;
    }
    total->second.sum.running -= it.running;
    total->second.sum.work -= it.work;
  }
}

void PeerLoads::DropSilent(MonoTime now, std::vector<ServerId>& touched) {
  if (now - checked_at_ < kCheckInterval)
    return;
  checked_at_ = now;
  for (auto it = reports_.begin(); it != reports_.end();) {
    if (now - it->second.received_at <= lifetime_) {
      ++it;
      continue;
    }
    Remove(it->second, touched);
    it = reports_.erase(it);
  }
}

}  // namespace mangoport
