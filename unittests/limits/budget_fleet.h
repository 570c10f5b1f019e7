#ifndef MANGOPORT_UNITTESTS_LIMITS_BUDGET_FLEET_H_
#define MANGOPORT_UNITTESTS_LIMITS_BUDGET_FLEET_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "mangoport/limits/budget_allocator.h"
#include "mangoport/limits/holder_lease.h"
#include "mangoport/limits/host_budget.h"

namespace mangoport {

/// Configures the fleet and the behavior of its simulated network, log and
/// clocks.
struct FleetOptions {
  int zones = 3;
  int hosts_per_zone = 3;
  BudgetSettings settings;
  Duration step = std::chrono::milliseconds(1);
  /// One-way delays within a zone and between zones. An append to the log takes
  /// twice the delay between zones.
  Duration delay_within_zone = std::chrono::milliseconds(1);
  Duration delay_between_zones = std::chrono::milliseconds(2);
  /// Fractions of messages that are lost or duplicated.
  double loss_fraction = 0;
  double duplicated_fraction = 0;
  /// Fraction of messages that are delayed by up to `max_extra_delay` more.
  double delayed_fraction = 0;
  Duration max_extra_delay = std::chrono::milliseconds(400);
  /// Probability that an append is delayed by up to 1.5 s more, and that it is
  /// repeated because its answer was lost.
  double append_fault_probability = 0;
  /// Maximum rate error of a clock, as a fraction. Clocks start at random
  /// times.
  double drift = 0;
};

/// Runs hosts with their budgets, allocators and leases on a simulated network,
/// log and clock. It implements no budget rules itself.
class BudgetFleet {
 public:
  using TrueTime = std::chrono::nanoseconds;

  struct Waiting {
    SpendRequest request;
    std::uint64_t id = 0;
  };

  /// The charge of one admitted request.
  struct Charge {
    SpendReceipt receipt;
    std::uint64_t id = 0;
  };

  struct Process {
    int zone = 0;
    int number = 0;
    int run = 0;
    bool up = false;
    bool paused = false;
    /// True if the host can't reach the log, but can reach the other hosts.
    bool log_unreachable = false;
    MonoTime paused_at;
    TrueTime resumes_at{0};
    TrueTime starts_at{0};
    double clock_rate = 1;
    MonoTime clock_zero;
    std::size_t config_version = 0;
    std::unique_ptr<HostBudget> budget;
    /// Indexed by tier: 0 is the shared pool (the stream `budget`), 1 is the
    /// floor of this host's zone (the stream of the zone).
    std::unique_ptr<HolderLease> leases[2];
    std::unique_ptr<BudgetAllocator> allocators[2];
    /// The number of log records that were read, by tier.
    std::size_t records_read[2] = {0, 0};
    std::vector<Waiting> waiting;
    /// Message kind plus 16 times the sender's number, and the message.
    std::deque<std::pair<int, std::string>> inbox;
    std::string name;
  };

  BudgetFleet(const FleetOptions& options,
              std::uint64_t seed,
              std::vector<AccountLimit> limits)
      : options_(options), random_(seed), logs_(options.zones + 1) {
    configs_.push_back(std::move(limits));
    partitioned_.assign(options.zones, false);
    for (int zone = 0; zone < options.zones; ++zone) {
      for (int i = 0; i < options.hosts_per_zone; ++i) {
        Process& it = processes_.emplace_back();
        it.zone = zone;
        it.number = static_cast<int>(processes_.size()) - 1;
        StartProcess(it);
      }
    }
  }

  /// Called for each request that is admitted and dispatched.
  std::function<void(Process&, const Charge&)> on_admitted;
  /// Called when a request is refused for lack of tokens.
  std::function<void(Process&, const SpendRequest&)> on_refused;
  /// Called when a host resumes after a pause, before any other action of the
  /// host, with its clock reading at the start of the pause.
  std::function<void(Process&, MonoTime)> on_resumed;
  /// Called with a description when a host becomes the holder of a stream.
  std::function<void(std::string)> on_event = [](const std::string&) {};

  TrueTime now() const { return now_; }
  std::deque<Process>& processes() { return processes_; }
  std::mt19937_64& random() { return random_; }
  std::uint64_t messages() const { return messages_; }
  std::uint64_t message_bytes() const { return message_bytes_; }
  std::size_t log_records() const {
    std::size_t n = 0;
    for (const auto& it : logs_)
      n += it.size();
    return n;
  }
  const std::vector<std::vector<AccountLimit>>& configs() const {
    return configs_;
  }

  /// Returns true with the given probability.
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  /// Returns a random number below `n`.
  std::uint64_t Pick(std::uint64_t n) { return random_() % n; }

  /// Returns the monotonic clock reading of one host.
  MonoTime ClockOf(const Process& it) const {
    return it.clock_zero +
           Duration(static_cast<std::int64_t>(
               static_cast<double>(now_.count()) * it.clock_rate));
  }

  /// Submits a new request to the host `it`.
  void Submit(Process& it, const AccountId& account, std::int64_t tokens) {
    const SpendRequest request = {account, tokens, ClockOf(it), false};
    TrySpend(it, {request, ++next_id_}, ClockOf(it));
  }

  /// Submits a request with a clock reading from before a pause.
  void SubmitWithStaleTime(Process& it,
                           const AccountId& account,
                           std::int64_t tokens,
                           MonoTime stale_now) {
    TrySpend(it, {{account, tokens, stale_now, false}, ++next_id_}, stale_now);
  }

  void PublishLimits(std::vector<AccountLimit> limits) {
    configs_.push_back(std::move(limits));
  }
  /// Cuts the zone off from the log and the other zones, or reconnects it.
  void SetPartitioned(int zone, bool partitioned) {
    partitioned_[zone] = partitioned;
  }
  /// Makes the log unreachable for all hosts, or reachable again.
  void SetLogOutage(bool outage) { log_outage_ = outage; }
  void Pause(Process& it, Duration time) {
    it.paused = true;
    it.paused_at = ClockOf(it);
    it.resumes_at = now_ + time;
  }
  void Kill(Process& it, Duration down) {
    it.up = it.paused = false;
    it.starts_at = now_ + down;
    it.inbox.clear();
    it.waiting.clear();
  }

  /// Releases the leases of this host, as in a planned shutdown.
  void Release(Process& it) {
    for (int tier : {0, 1}) {
      BudgetAllocator& allocator = *it.allocators[tier];
      auto record = it.leases[tier]->MakeRelease(ClockOf(it));
      allocator.SetHeldUntil(MonoTime::min());
      if (!record)
        continue;
      for (auto& reserve : allocator.ReservesToRecord(record->nonce()))
        *record->add_reserves() = reserve;
      Append(it, tier, *record);
    }
  }

  /// Advances the simulation by one step of true time.
  void Step() {
    now_ += options_.step;
    ApplyAppends();
    Deliver();
    for (Process& it : processes_) {
      if (!it.up && now_ >= it.starts_at)
        StartProcess(it);
      if (it.paused && now_ >= it.resumes_at) {
        it.paused = false;
        on_resumed(it, it.paused_at);
      }
      if (it.up && !it.paused)
        RunProcess(it);
    }
  }

 private:
  enum Kind { kRequest, kReplyToHost, kReplyToZone };
  struct Message {
    TrueTime delivered_at;
    std::uint64_t order = 0;
    int from = 0;
    int to = 0;
    int to_run = 0;
    int kind = 0;
    std::string bytes;
    bool operator<(const Message& other) const {
      return std::tie(delivered_at, order) >
             std::tie(other.delivered_at, other.order);
    }
  };
  struct PendingAppend {
    TrueTime at;
    int log = 0;
    wire::BudgetRecord record;
  };

  void StartProcess(Process& it) {
    it.up = true;
    it.paused = false;
    it.log_unreachable = false;
    ++it.run;
    it.name = "h" + std::to_string(it.number) + "/" + std::to_string(it.run);
    it.clock_zero = MonoTime(std::chrono::seconds(1000 + Pick(1000000)));
    it.clock_rate = 1 + options_.drift * std::uniform_real_distribution<double>(
                                             -1, 1)(random_);
    // The maximum drift is the critical case, so most clocks have it.
    if (options_.drift > 0 && Chance(0.8))
      it.clock_rate = 1 + (Chance(0.5) ? options_.drift : -options_.drift);
    const BudgetSettings& s = options_.settings;
    it.budget = std::make_unique<HostBudget>(it.name, s);
    it.leases[0] =
        std::make_unique<HolderLease>(it.name, "", s, s.pool_holder_lease);
    it.leases[1] =
        std::make_unique<HolderLease>(it.name, "", s, s.floor_holder_lease);
    it.allocators[0] = std::make_unique<BudgetAllocator>(it.name + ":pool", s,
                                                         s.zone_grant_lease);
    it.allocators[1] = std::make_unique<BudgetAllocator>(it.name + ":zone", s,
                                                         s.host_grant_lease);
    it.records_read[0] = it.records_read[1] = 0;
    it.config_version = configs_.size() - 1;
    ApplyConfig(it);
  }

  void ApplyConfig(Process& it) {
    std::vector<AccountLimit> pool;
    std::vector<AccountLimit> floor;
    for (const AccountLimit& limit : configs_[it.config_version]) {
      pool.push_back(SharedPool(limit, options_.settings));
      floor.push_back(ZoneFloor(limit, options_.settings));
    }
    it.allocators[0]->SetLimits(ClockOf(it), pool);
    it.allocators[1]->SetLimits(ClockOf(it), floor);
    it.budget->SetLimits(configs_[it.config_version]);
  }

  void RunProcess(Process& it) {
    const bool log_reachable =
        !log_outage_ && !partitioned_[it.zone] && !it.log_unreachable;
    if (log_reachable && it.config_version + 1 < configs_.size() &&
        Chance(0.02)) {
      ++it.config_version;
      ApplyConfig(it);
    }
    for (int tier : {0, 1})
      RunHolder(it, tier, log_reachable);
    ChooseAllocator(it);
    while (!it.inbox.empty()) {
      const auto [kind, bytes] = std::move(it.inbox.front());
      it.inbox.pop_front();
      Receive(it, kind, bytes);
    }
    std::vector<Waiting> waiting = std::exchange(it.waiting, {});
    for (Waiting& w : waiting) {
      w.request.retried = true;
      TrySpend(it, w, ClockOf(it));
    }
    if (auto request = it.budget->MakeRequest(ClockOf(it)))
      SendRequest(it, *request);
    if (auto request = it.allocators[1]->MakeUplinkRequest(ClockOf(it)))
      SendRequest(it, *request);
  }

  /// Returns the index of the log that holds the stream of `tier`.
  int LogOf(const Process& it, int tier) const {
    return tier == 0 ? 0 : 1 + it.zone;
  }
  StreamId StreamOf(const Process& it, int tier) const {
    return StreamId("budget." + std::to_string(LogOf(it, tier)));
  }

  void RunHolder(Process& it, int tier, bool log_reachable) {
    HolderLease& lease = *it.leases[tier];
    BudgetAllocator& allocator = *it.allocators[tier];
    const auto& log = logs_[LogOf(it, tier)];
    if (log_reachable && Chance(0.3)) {
      for (; it.records_read[tier] < log.size(); ++it.records_read[tier])
        ReadRecord(it, tier, log[it.records_read[tier]]);
      lease.OnCaughtUp(ClockOf(it));
    }
    allocator.SetHeldUntil(lease.held_until());
    allocator.Tick(ClockOf(it));
    const auto& pool_epoch = it.leases[0]->fold().epoch();
    if (tier == 1 && pool_epoch)
      allocator.SetUplink(ClockOf(it),
                          AllocatorId{StreamOf(it, 0), *pool_epoch});
    if (auto record = lease.MakeRecord(ClockOf(it), allocator.wants_record())) {
      if (record->kind() == wire::BudgetRecord::RENEWAL) {
        for (auto& reserve : allocator.ReservesToRecord(record->nonce()))
          *record->add_reserves() = reserve;
      }
      Append(it, tier, *record);
    }
  }

  void ReadRecord(Process& it, int tier, const wire::BudgetRecord& record) {
    HolderLease& lease = *it.leases[tier];
    BudgetAllocator& allocator = *it.allocators[tier];
    const LogPosition position = {it.records_read[tier], 0};
    if (!lease.OnRecord(ClockOf(it), position, record) ||
        record.holder() != it.name)
      return;
    if (record.kind() == wire::BudgetRecord::CLAIM) {
      on_event(it.name + " is the holder of log " +
               std::to_string(LogOf(it, tier)));
      allocator.StartEpoch(ClockOf(it), {StreamOf(it, tier), position},
                           lease.fold().inheritance());
    } else {
      allocator.OnReservesRecorded(record.nonce());
    }
  }

  /// Selects the allocator of the zone, or that of the shared pool while the
  /// former is down.
  void ChooseAllocator(Process& it) {
    const MonoTime now = ClockOf(it);
    const auto& zone = it.leases[1]->fold();
    const auto& pool = it.leases[0]->fold();
    const bool zone_is_up = !zone.holder().empty() && IsUp(zone.holder());
    if (zone.epoch() && zone_is_up)
      it.budget->SetAllocator(now, {StreamOf(it, 1), *zone.epoch()});
    else if (pool.epoch())
      it.budget->SetAllocator(now, {StreamOf(it, 0), *pool.epoch()});
  }

  /// Simulates whether a connection attempt to the process succeeds.
  bool IsUp(const std::string& name) const {
    const Process* it = Find(name);
    return it != nullptr && it->up;
  }

  const Process* Find(const std::string& name) const {
    if (name.empty())
      return nullptr;
    const std::size_t n = std::stoul(name.substr(1));
    return processes_[n].name == name ? &processes_[n] : nullptr;
  }

  void SendRequest(Process& it, const wire::BudgetRequest& request) {
    const AllocatorId allocator = FromWire(request.dealer());
    const int tier = allocator.stream == StreamOf(it, 0) ? 0 : 1;
    const auto& fold = it.leases[tier]->fold();
    if (fold.epoch() != allocator.epoch)
      return;
    const Process* holder = Find(fold.holder());
    if (holder == nullptr)
      return;
    Send(it, *holder, kRequest, request.SerializeAsString());
  }

  void Send(const Process& from,
            const Process& to,
            int kind,
            const std::string& bytes) {
    ++messages_;
    message_bytes_ += bytes.size();
    if (Chance(options_.loss_fraction))
      return;
    const int copies = Chance(options_.duplicated_fraction) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      Duration delay = from.zone == to.zone ? options_.delay_within_zone
                                            : options_.delay_between_zones;
      if (Chance(options_.delayed_fraction))
        delay += Duration(static_cast<std::int64_t>(Pick(
            static_cast<std::uint64_t>(options_.max_extra_delay.count()))));
      network_.push({now_ + delay, ++next_id_, from.number, to.number, to.run,
                     kind, bytes});
    }
  }

  void Deliver() {
    while (!network_.empty() && network_.top().delivered_at <= now_) {
      const Message message = network_.top();
      network_.pop();
      Process& to = processes_[message.to];
      const Process& from = processes_[message.from];
      const bool dropped = from.zone != to.zone &&
                           (partitioned_[from.zone] || partitioned_[to.zone]);
      if (!dropped && to.up && to.run == message.to_run)
        to.inbox.emplace_back(message.kind | (message.from << 4),
                              message.bytes);
    }
  }

  void Receive(Process& it, int tag, const std::string& bytes) {
    const int kind = tag & 15;
    const Process& from = processes_[tag >> 4];
    if (kind != kRequest) {
      wire::BudgetReply reply;
      reply.ParseFromString(bytes);
      if (kind == kReplyToHost)
        it.budget->OnReply(ClockOf(it), reply);
      else
        it.allocators[1]->OnUplinkReply(ClockOf(it), reply);
      return;
    }
    wire::BudgetRequest request;
    request.ParseFromString(bytes);
    const bool from_zone = request.taker().find(":zone") != std::string::npos;
    for (int tier : {0, 1}) {
      if (it.allocators[tier]->id() != FromWire(request.dealer()))
        continue;
      if (auto reply = it.allocators[tier]->OnRequest(ClockOf(it), request))
        Send(it, from, from_zone ? kReplyToZone : kReplyToHost,
             reply->SerializeAsString());
    }
  }

  void TrySpend(Process& it, Waiting waiting, MonoTime now) {
    const SpendDecision decision = it.budget->TrySpend(now, waiting.request);
    if (decision.verdict == SpendVerdict::kWait)
      it.waiting.push_back(std::move(waiting));
    else if (decision.verdict == SpendVerdict::kRefused)
      on_refused(it, waiting.request);
    else if (decision.verdict == SpendVerdict::kAdmitted &&
             MayDispatch(decision.receipt, ClockOf(it)))
      on_admitted(it, {decision.receipt, waiting.id});
  }

  void Append(const Process& it, int tier, const wire::BudgetRecord& record) {
    if (partitioned_[it.zone] || it.log_unreachable)
      return;
    if (log_outage_) {
      // The answer is lost. The record may still be appended after the outage.
      if (Chance(0.5))
        pending_appends_.push_back(
            {now_ + Duration(static_cast<std::int64_t>(Pick(2'000'000'000))),
             LogOf(it, tier), record});
      return;
    }
    Duration delay = 2 * options_.delay_between_zones;
    if (Chance(options_.append_fault_probability))
      delay += Duration(static_cast<std::int64_t>(Pick(1'500'000'000)));
    pending_appends_.push_back({now_ + delay, LogOf(it, tier), record});
    if (Chance(options_.append_fault_probability))
      pending_appends_.push_back({now_ + 2 * delay, LogOf(it, tier), record});
  }

  void ApplyAppends() {
    if (log_outage_)
      return;
    std::erase_if(pending_appends_, [this](const PendingAppend& it) {
      if (it.at > now_)
        return false;
      logs_[it.log].push_back(it.record);
      return true;
    });
  }

  FleetOptions options_;
  std::mt19937_64 random_;
  TrueTime now_{0};
  std::uint64_t next_id_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t message_bytes_ = 0;
  std::deque<Process> processes_;
  std::priority_queue<Message> network_;
  /// The log of the shared pool, then one log per zone.
  std::vector<std::vector<wire::BudgetRecord>> logs_;
  std::vector<PendingAppend> pending_appends_;
  std::vector<std::vector<AccountLimit>> configs_;
  std::vector<bool> partitioned_;
  bool log_outage_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_LIMITS_BUDGET_FLEET_H_
