// Hosts that contend for the order lease while the store loses answers, does
// writes late or is away, and hosts stand still, restart and lose each other's
// datagrams. Orders of two hosts must never come close together, and somebody
// must be able to give orders once the trouble is over.
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "mangoport/core/invariant.h"
#include "mangoport/membership/order_lease.h"
#include "unittests/support/soak_main.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(50);
/// Orders of two hosts are at least this far apart.
constexpr Duration kLeast = seconds(3);
constexpr int kHosts = 4;

class LeaseWorld {
 public:
  LeaseWorld(const SoakOptions& options, SoakProgress& progress)
      : random_(options.seed), progress_(progress) {
    for (int i = 0; i < kHosts; ++i)
      Start(i);
  }

  void Step(std::uint64_t step) {
    progress_.step = step;
    now_ += kStep;
    const bool calm = step % 1200 > 700;
    if (!calm)
      MakeTrouble();
    else
      EndTrouble();
    DoLateWrites();
    for (int i = 0; i < kHosts; ++i) {
      if (now_ >= hosts_[i].frozen_until)
        StepHost(i);
    }
    if (calm && step % 1200 == 1199)
      CheckInvariant(now_ - last_order_ < seconds(2), "somebody may order",
                     [] { return std::string("500 calm steps"); });
  }

 private:
  struct Host {
    std::unique_ptr<OrderLease> lease;
    std::uint64_t incarnation = 0;
    BootTime frozen_until;
    bool no_store = false;
  };
  struct LateWrite {
    OrderLeaseStep step;
    BootTime at;
  };

  bool Chance(int one_in) { return random_() % one_in == 0; }
  static HostId Name(int i) { return HostId("h" + std::to_string(i)); }

  void Start(int i) {
    Host& host = hosts_[i];
    ++host.incarnation;
    host.lease = std::make_unique<OrderLease>(
        Name(i), host.incarnation, OrderLeaseSettings{}, milliseconds(40 * i));
    progress_.Note("start " + Name(i).value());
  }

  void MakeTrouble() {
    const int i = static_cast<int>(random_() % kHosts);
    if (Chance(150))
      Start(i);
    if (Chance(150)) {
      hosts_[i].frozen_until = now_ + milliseconds(random_() % 6000);
      progress_.Note("freeze " + Name(i).value());
    }
    if (Chance(100))
      hosts_[i].no_store = !hosts_[i].no_store;
    if (Chance(200))
      deaf_ = !deaf_;
    lossy_ = true;
  }

  void EndTrouble() {
    lossy_ = false;
    deaf_ = false;
    for (auto& [i, host] : hosts_)
      host.no_store = false;
  }

  bool Append(const OrderLeaseStep& step) {
    if (step.expected_end != end_)
      return false;
    record_ = step.record;
    ++end_;
    progress_.Note("record of " + step.record.holder.value() + " term " +
                   std::to_string(step.record.term));
    return true;
  }

  void DoLateWrites() {
    for (auto it = late_.begin(); it != late_.end();) {
      if (now_ < it->at) {
        ++it;
        continue;
      }
      Append(it->step);
      it = late_.erase(it);
    }
  }

  void Write(OrderLease& lease, bool no_store, const OrderLeaseStep& step) {
    if (no_store) {
      lease.OnWriteUnknown(now_);
      return;
    }
    if (lossy_ && Chance(5)) {
      if (Chance(2))
        Append(step);
      else
        late_.push_back({step, now_ + milliseconds(random_() % 6000)});
      lease.OnWriteUnknown(now_);
      return;
    }
    if (Append(step))
      lease.OnWritten(now_, end_);
    else
      lease.OnConflict(now_);
  }

  void StepHost(int i) {
    Host& host = hosts_[i];
    OrderLease& lease = *host.lease;
    const OrderLeaseStep step = lease.Next(now_);
    if (step.kind == OrderLeaseStep::Kind::kRead) {
      if (host.no_store || (lossy_ && Chance(5)))
        lease.OnReadFailed(now_);
      else
        lease.OnRead(now_, record_, end_);
    }
    if (step.kind == OrderLeaseStep::Kind::kWrite)
      Write(lease, host.no_store, step);
    if (lease.MayOrder(now_))
      Order(i, *lease.MayOrder(now_));
    Tell(i);
  }

  void Order(int i, std::uint64_t term) {
    const bool changed = orderer_ && *orderer_ != i;
    CheckInvariant(
        !changed || now_ - last_order_ >= kLeast,
        "orders of two hosts are far apart",
        [&] { return Name(i).value() + " after " + Name(*orderer_).value(); });
    CheckInvariant(term >= last_term_, "terms rise",
                   [&] { return std::to_string(term); });
    orderer_ = i;
    last_order_ = now_;
    hosts_[i].lease->NoteOrder(now_);
    last_term_ = term;
  }

  void Tell(int i) {
    if (deaf_)
      return;
    const OrderLease& lease = *hosts_[i].lease;
    for (int j = 0; j < kHosts; ++j) {
      if (j == i || now_ < hosts_[j].frozen_until)
        continue;
      OrderLease& other = *hosts_[j].lease;
      if (lease.holds(now_))
        other.OnHolderHeard(now_, Name(i), lease.record()->term);
      else if (lease.resigned_term() != 0)
        other.OnHolderResigned(now_, Name(i), lease.resigned_term(),
                               lease.last_order_bound());
    }
  }

  std::mt19937_64 random_;
  SoakProgress& progress_;
  BootTime now_{seconds(1000)};
  std::map<int, Host> hosts_;
  std::optional<OrderLeaseRecord> record_;
  std::uint64_t end_ = 0;
  std::vector<LateWrite> late_;
  bool lossy_ = false;
  bool deaf_ = false;
  std::optional<int> orderer_;
  BootTime last_order_;
  std::uint64_t last_term_ = 0;
};

}  // namespace
}  // namespace mangoport

int main(int argc, char** argv) {
  using mangoport::LeaseWorld;
  return mangoport::SoakMain(argc, argv, {"order_lease_not_settled"},
                             [](const mangoport::SoakOptions& options,
                                mangoport::SoakProgress& progress) {
                               LeaseWorld world(options, progress);
                               for (std::uint64_t step = 1;
                                    step <= options.steps; ++step)
                                 world.Step(step);
                             });
}
