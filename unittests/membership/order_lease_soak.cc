// Hosts compete for the order lease while the store loses responses, performs
// writes late, is unreachable or is restored from an older copy, hosts pause,
// restart and lose each other's datagrams, and engines are silent for a time
// before they read an order. Orders of different hosts must arrive at least
// `kMinOrderGap` apart and have different terms, which never decrease, and a
// host must be able to send orders once the faults have ended.
#include <chrono>
#include <cstdint>
#include <deque>
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
/// Minimum time between the arrivals of two hosts' orders.
constexpr Duration kMinOrderGap = seconds(3);
/// How long a sound engine may be silent, and how long a host waits for its
/// answer.
constexpr Duration kLongestSilence = milliseconds(1500);
constexpr Duration kOrderTimeout = milliseconds(1500);
constexpr int kHosts = 4;
/// Faults are injected up to this step of each cycle. The rest of the cycle
/// runs without faults.
constexpr std::uint64_t kFaultSteps = 700;
constexpr std::uint64_t kCycleSteps = 1200;
/// The age of the oldest copy that the store is restored from, in steps.
constexpr std::size_t kMaxCopyAge = 200;

class LeaseSimulation {
 public:
  LeaseSimulation(const SoakOptions& options, SoakProgress& progress)
      : random_(options.seed), progress_(progress) {
    for (int i = 0; i < kHosts; ++i)
      Start(i);
  }

  void Step(std::uint64_t step) {
    progress_.step = step;
    now_ += kStep;
    const bool without_faults = step % kCycleSteps > kFaultSteps;
    if (!without_faults)
      InjectFaults();
    else
      ClearFaults();
    ApplyLateWrites();
    KeepCopy();
    for (int i = 0; i < kHosts; ++i) {
      if (now_ >= hosts_[i].paused_until)
        StepHost(i);
    }
    if (without_faults && step % kCycleSteps == kCycleSteps - 1)
      CheckInvariant(now_ - last_order_ < seconds(2), "a host may send orders",
                     [] { return std::string("500 steps without faults"); });
  }

 private:
  struct Order {
    BootTime sent;
    BootTime arrives;
  };
  struct Host {
    std::unique_ptr<OrderLease> lease;
    std::uint64_t incarnation = 0;
    BootTime paused_until;
    bool store_unreachable = false;
    /// Orders whose calls have not ended.
    std::vector<Order> orders;
  };
  struct Copy {
    std::optional<OrderLeaseRecord> record;
    std::uint64_t end = 0;
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
    host.orders.clear();
    host.lease = std::make_unique<OrderLease>(
        Name(i), host.incarnation, OrderLeaseSettings{}, milliseconds(40 * i));
    progress_.Note("start " + Name(i).value());
  }

  void InjectFaults() {
    const int i = static_cast<int>(random_() % kHosts);
    if (Chance(150))
      Start(i);
    if (Chance(150)) {
      hosts_[i].paused_until = now_ + milliseconds(random_() % 6000);
      progress_.Note("pause " + Name(i).value());
    }
    if (Chance(100))
      hosts_[i].store_unreachable = !hosts_[i].store_unreachable;
    if (Chance(200))
      updates_lost_ = !updates_lost_;
    if (Chance(80))
      Restore();
    store_faulty_ = true;
  }

  void KeepCopy() {
    copies_.push_back({record_, end_.offset});
    if (copies_.size() > kMaxCopyAge)
      copies_.pop_front();
  }

  /// Restores the store from one of the copies, rarely from an empty one, and
  /// sometimes again at once.
  void Restore() {
    constexpr int kEmptyOneIn = 4;
    do {
      const Copy copy =
          Chance(kEmptyOneIn) ? Copy() : copies_[random_() % copies_.size()];
      record_ = copy.record;
      end_ = {.timeline = end_.timeline + 1, .offset = copy.end};
      progress_.Note("restore to timeline " + std::to_string(end_.timeline) +
                     " end " + std::to_string(end_.offset));
    } while (Chance(4));
    copies_.clear();
    KeepCopy();
  }

  void ClearFaults() {
    store_faulty_ = false;
    updates_lost_ = false;
    for (auto& [i, host] : hosts_)
      host.store_unreachable = false;
  }

  bool Append(const OrderLeaseStep& step) {
    if (step.expected_end.offset != end_.offset)
      return false;
    record_ = step.record;
    ++end_.offset;
    progress_.Note("record of " + step.record.holder.value() + " term " +
                   std::to_string(step.record.term));
    return true;
  }

  void ApplyLateWrites() {
    for (auto it = late_writes_.begin(); it != late_writes_.end();) {
      if (now_ < it->at) {
        ++it;
        continue;
      }
      Append(it->step);
      it = late_writes_.erase(it);
    }
  }

  void Write(OrderLease& lease,
             bool store_unreachable,
             const OrderLeaseStep& step) {
    if (store_unreachable) {
      lease.OnWriteUnknown(now_);
      return;
    }
    if (store_faulty_ && Chance(5)) {
      if (Chance(2))
        Append(step);
      else
        late_writes_.push_back({step, now_ + milliseconds(random_() % 6000)});
      lease.OnWriteUnknown(now_);
      return;
    }
    if (Append(step))
      lease.OnWritten(now_, end_);
    else
      lease.OnConflict(now_, end_.timeline);
  }

  void StepHost(int i) {
    Host& host = hosts_[i];
    OrderLease& lease = *host.lease;
    EndOrders(host);
    const OrderLeaseStep step = lease.Next(now_);
    if (step.kind == OrderLeaseStep::Kind::kRead) {
      if (host.store_unreachable || (store_faulty_ && Chance(5)))
        lease.OnReadFailed(now_);
      else
        lease.OnRead(now_, record_, end_);
    }
    if (step.kind == OrderLeaseStep::Kind::kWrite)
      Write(lease, host.store_unreachable, step);
    if (lease.MayOrder(now_))
      CheckOrder(i, *lease.MayOrder(now_));
    SendUpdates(i);
  }

  /// Ends the calls of orders that were answered or have timed out.
  void EndOrders(Host& host) {
    std::erase_if(host.orders, [&](const Order& it) {
      const bool timed_out = now_ - it.sent >= kOrderTimeout;
      const bool answered = now_ >= it.arrives && !timed_out;
      if (answered || timed_out)
        host.lease->NoteOrderEnd(now_, it.sent, answered);
      return answered || timed_out;
    });
  }

  void SendOrder(int i) {
    BootTime arrives = now_;
    if (store_faulty_ && Chance(4))
      arrives += milliseconds(random_() % (kLongestSilence / milliseconds(1)));
    for (const auto& it : last_arrivals_) {
      const int other = it.first;
      const BootTime last = it.second;
      CheckInvariant(other == i || arrives - last >= kMinOrderGap,
                     "orders of two hosts arrive at least 3 s apart", [&] {
                       return Name(i).value() + " after " + Name(other).value();
                     });
    }
    last_arrivals_[i] = std::max(last_arrivals_[i], arrives);
    hosts_[i].lease->NoteOrder(now_);
    hosts_[i].orders.push_back({.sent = now_, .arrives = arrives});
  }

  void CheckOrder(int i, std::uint64_t term) {
    SendOrder(i);
    CheckInvariant(term >= last_term_, "terms never decrease",
                   [&] { return std::to_string(term); });
    const auto [sender, is_new] = senders_.try_emplace(term, i);
    CheckInvariant(sender->second == i, "a term has one holder",
                   [&] { return std::to_string(term); });
    last_order_ = now_;
    last_term_ = term;
  }

  void SendUpdates(int i) {
    if (updates_lost_)
      return;
    const OrderLease& lease = *hosts_[i].lease;
    for (int j = 0; j < kHosts; ++j) {
      if (j == i || now_ < hosts_[j].paused_until)
        continue;
      OrderLease& other = *hosts_[j].lease;
      other.OnTimeline(lease.timeline(), now_);
      if (lease.holds(now_))
        other.OnHolderUpdate(now_, Name(i), lease.record()->term);
      else if (lease.resigned_term() != 0 && lease.last_order_bound() <= now_)
        other.OnHolderResigned(now_, Name(i), lease.resigned_term(),
                               lease.last_order_bound());
    }
  }

  std::mt19937_64 random_;
  SoakProgress& progress_;
  BootTime now_{seconds(1000)};
  std::map<int, Host> hosts_;
  std::optional<OrderLeaseRecord> record_;
  StorePosition end_{.timeline = 1, .offset = 0};
  std::deque<Copy> copies_;
  std::vector<LateWrite> late_writes_;
  bool store_faulty_ = false;
  bool updates_lost_ = false;
  BootTime last_order_;
  /// When the last order of each host arrived, or will arrive.
  std::map<int, BootTime> last_arrivals_;
  std::uint64_t last_term_ = 0;
  std::map<std::uint64_t, int> senders_;
};

}  // namespace
}  // namespace mangoport

int main(int argc, char** argv) {
  using mangoport::LeaseSimulation;
  return mangoport::SoakMain(
      argc, argv,
      {"order_lease_not_settled", "order_terms_without_timeline",
       "empty_log_is_trusted", "order_arrives_when_sent",
       "restored_record_counts"},
      [](const mangoport::SoakOptions& options,
         mangoport::SoakProgress& progress) {
        LeaseSimulation simulation(options, progress);
        for (std::uint64_t step = 1; step <= options.steps; ++step)
          simulation.Step(step);
      });
}
