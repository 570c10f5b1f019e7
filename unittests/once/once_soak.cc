// Runs non-idempotent requests on several hosts that share a simulated log. The
// log loses append results, appends entries late or twice, drops old entries
// and has outages. Hosts are paused, killed and replaced without state. Callers
// repeat their requests to other hosts, concurrently and much later.
#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "mangoport/once/once_executor.h"
#include "unittests/support/soak_main.h"

namespace mangoport {
namespace {

constexpr std::uint32_t kPartitions = 2;
constexpr std::size_t kHosts = 5;
constexpr std::size_t kZones = 3;
constexpr Duration kStep = std::chrono::milliseconds(20);
constexpr Duration kShortestRetention = std::chrono::seconds(8);
constexpr std::uint64_t kRetentionJitterMs = 12'000;
constexpr WallTime kWallStart{std::chrono::seconds(1'700'000'000)};

OnceSettings SoakSettings() {
  OnceSettings settings;
  settings.append_interval = std::chrono::milliseconds(20);
  settings.claim_wait = std::chrono::milliseconds(1200);
  settings.append_retry = std::chrono::milliseconds(60);
  settings.read_back_timeout = std::chrono::milliseconds(200);
  settings.outcome_wait = std::chrono::milliseconds(100);
  settings.max_batch_records = 8;
  settings.max_batch_bytes = 1500;
  settings.max_key_age = std::chrono::seconds(10);
  settings.max_clock_skew = std::chrono::seconds(1);
  settings.carry_interval = std::chrono::seconds(2);
  settings.sweep_interval = std::chrono::seconds(1);
  settings.fold.response_bytes = 2000;
  return settings;
}

/// One stream of the log, with appends in progress by the step at which they
/// complete.
struct FakeStream {
  struct Entry {
    std::string payload;
    std::uint64_t step = 0;
  };
  std::vector<Entry> entries;
  std::uint64_t first_retained = 0;
  std::multimap<std::uint64_t, std::string> pending_appends;
};

/// What the simulation records about one idempotency key.
struct KeyHistory {
  ClaimKey key;
  std::optional<WallTime> created;
  std::array<bool, 2> bodies_used{};
  int runs = 0;
  /// The body of the request that ran.
  int body_run = 0;
  std::string response;
  bool answered_unknown = false;
  /// Event number of the last kNotRun answer.
  std::uint64_t answered_not_run_at = 0;
};

/// One request of a caller to one host.
struct Call {
  std::size_t key = 0;
  int body = 0;
  std::uint64_t arrived_at = 0;
  MonoTime deadline;
  bool answered = false;
  bool dispatched = false;
  bool done = false;
};

struct SoakHost {
  std::string name;
  std::size_t zone = 0;
  std::uint64_t paused_until = 0;
  Duration mono_offset{};
  Duration wall_offset{};
  std::vector<std::unique_ptr<OnceExecutor>> executors;
};

/// Simulates the hosts, the log, the callers and the backend servers.
class Simulation {
 public:
  Simulation(const SoakOptions& options, SoakProgress& progress)
      : progress_(progress), random_(options.seed), steps_(options.steps) {
    retention_ = kShortestRetention +
                 std::chrono::milliseconds(Below(kRetentionJitterMs));
    for (std::size_t i = 0; i < kHosts; ++i)
      hosts_.push_back(NewHost(i % kZones));
  }

  void Run() {
    for (progress_.step = 0; progress_.step < steps_; ++progress_.step) {
      InjectFaults();
      if (Chance(150))
        SendCall(PickKey());
      Advance();
    }
    CheckRecovery();
    PrintCounts();
  }

 private:
  std::uint64_t Below(std::uint64_t n) { return random_() % n; }
  /// Returns true with a probability of `permille` thousandths.
  bool Chance(std::uint64_t permille) { return Below(1000) < permille; }
  /// Like `Chance`, but false once faults have stopped.
  bool FaultChance(std::uint64_t permille) {
    return !faults_stopped_ && Chance(permille);
  }
  Duration Elapsed() const {
    return kStep * static_cast<std::int64_t>(progress_.step);
  }
  MonoTime MonoOf(const SoakHost& host) const {
    return MonoTime(std::chrono::hours(1) + Elapsed() + host.mono_offset);
  }
  WallTime WallOf(const SoakHost& host) const {
    return kWallStart + std::chrono::duration_cast<WallTime::duration>(
                            Elapsed() + host.wall_offset);
  }

  SoakHost NewHost(std::size_t zone) {
    SoakHost host;
    host.name = "host-" + std::to_string(++incarnations_);
    host.zone = zone;
    host.mono_offset = std::chrono::seconds(Below(1000));
    host.wall_offset =
        std::chrono::milliseconds(static_cast<int>(Below(900)) - 450);
    OnceSettings settings = SoakSettings();
    settings.carry_jitter_permille = static_cast<std::uint32_t>(Below(500));
    for (std::uint32_t i = 0; i < kPartitions; ++i)
      host.executors.push_back(
          std::make_unique<OnceExecutor>(WriterId(host.name), settings));
    return host;
  }

  // --- Faults

  void InjectFaults() {
    if (Chance(6))
      Pause(hosts_[Below(hosts_.size())]);
    if (Chance(3))
      ReplaceHost(Below(hosts_.size()));
    if (Chance(3))
      DisconnectZone(Below(kZones), 20 + Below(200));
    if (Chance(3))
      DropEntriesEarly();
    if (Chance(2))
      for (std::size_t i = 0; i < kZones; ++i)
        DisconnectZone(i, 20 + Below(Chance(100) ? 600 : 100));
  }

  void Pause(SoakHost& host) {
    host.paused_until = progress_.step + 5 + Below(Chance(200) ? 1500 : 150);
    progress_.Note(host.name + " paused until " +
                   std::to_string(host.paused_until));
  }

  void ReplaceHost(std::size_t index) {
    SoakHost& host = hosts_[index];
    const std::string old = host.name;
    host = NewHost(host.zone);
    progress_.Note(old + " killed, replaced by " + host.name);
  }

  void DisconnectZone(std::size_t zone, std::uint64_t steps) {
    log_unreachable_until_[zone] = progress_.step + steps;
    progress_.Note("zone " + std::to_string(zone) +
                   " can't reach the log until " +
                   std::to_string(log_unreachable_until_[zone]));
  }

  /// Drops entries before the end of their retention and replaces two hosts.
  /// The new hosts must not treat a key as free if only the remaining
  /// hosts have read its claim.
  void DropEntriesEarly() {
    const std::size_t partition = Below(kPartitions);
    FakeStream& stream = streams_[partition];
    const std::size_t up_to_date_host = Below(hosts_.size());
    const OnceExecutor& executor =
        *hosts_[up_to_date_host].executors[partition];
    if (!executor.fold().complete() ||
        executor.next_offset() < stream.entries.size())
      return;
    const std::uint64_t kept = stream.entries.size() - stream.first_retained;
    stream.first_retained += Chance(500) ? kept : Below(kept + 1);
    progress_.Note("log drops entries before offset " +
                   std::to_string(stream.first_retained));
    ReplaceHost((up_to_date_host + 1) % hosts_.size());
    ReplaceHost((up_to_date_host + 2) % hosts_.size());
  }

  bool IsLogUnreachable(const SoakHost& host) const {
    return log_unreachable_until_[host.zone] > progress_.step;
  }

  // --- Callers

  std::size_t PickKey() {
    if (keys_.empty() || Chance(400))
      return NewKey();
    const std::size_t n = keys_.size();
    if (Chance(250))
      return Below(n);
    return n - 1 - Below(std::min<std::size_t>(n, 8));
  }

  std::size_t NewKey() {
    KeyHistory history;
    const std::string name = "key-" + std::to_string(keys_.size());
    history.key = MakeClaimKey(AccountId("gallery"), name);
    if (Chance(500))
      history.created =
          kWallStart +
          std::chrono::duration_cast<WallTime::duration>(Elapsed());
    keys_.push_back(history);
    return keys_.size() - 1;
  }

  void SendCall(std::size_t key) {
    const std::uint64_t copies = Chance(200) ? 1 + Below(3) : 1;
    for (std::uint64_t i = 0; i < copies; ++i)
      SendTo(hosts_[Below(hosts_.size())], key, Chance(80) ? 1 : 0);
  }

  std::string SendTo(SoakHost& host, std::size_t key, int body) {
    KeyHistory& history = keys_[key];
    history.bodies_used[static_cast<std::size_t>(body)] = true;
    std::string id = "call-" + std::to_string(calls_.size());
    const Duration wait =
        std::chrono::milliseconds(faults_stopped_ ? 2000 : 100 + Below(2000));
    // A paused host receives the request when it resumes.
    Call& call = calls_[id];
    call.key = key;
    call.body = body;
    events_by_step_.emplace(
        std::max(progress_.step, host.paused_until),
        [this, id, name = host.name, wait] { Deliver(id, name, wait); });
    return id;
  }

  void Deliver(const std::string& id, const std::string& name, Duration wait) {
    SoakHost* host = FindHost(name);
    if (!host)
      return;
    Call& call = calls_[id];
    const KeyHistory& history = keys_[call.key];
    call.arrived_at = ++event_number_;
    call.deadline = MonoOf(*host) + wait;
    progress_.Note(name + " gets " + id + " for key " +
                   std::to_string(call.key) + " body " +
                   std::to_string(call.body));
    ExecutorOf(*host, history.key)
        .OnRequest(MonoOf(*host), WallOf(*host),
                   {RequestId(id), history.key, Body(call.body),
                    history.created, call.deadline});
    TakeActions(*host);
  }

  static RequestFingerprint Body(int body) {
    return MakeRequestFingerprint("POST", "/payouts", std::to_string(body));
  }

  OnceExecutor& ExecutorOf(SoakHost& host, const ClaimKey& key) {
    return *host.executors[key.digest.high % kPartitions];
  }

  SoakHost* FindHost(const std::string& name) {
    const auto it = std::find_if(
        hosts_.begin(), hosts_.end(),
        [&name](const SoakHost& host) { return host.name == name; });
    return it == hosts_.end() ? nullptr : &*it;
  }

  // --- One step

  void Advance() {
    CompleteAppends();
    DropOldEntries();
    RunDueEvents();
    for (SoakHost& it : hosts_)
      if (it.paused_until <= progress_.step)
        RunHost(it);
  }

  void CompleteAppends() {
    for (FakeStream& it : streams_) {
      const auto due = it.pending_appends.upper_bound(progress_.step);
      for (auto entry = it.pending_appends.begin(); entry != due; ++entry)
        it.entries.push_back({entry->second, progress_.step});
      it.pending_appends.erase(it.pending_appends.begin(), due);
    }
  }

  void DropOldEntries() {
    const auto kept = static_cast<std::uint64_t>(retention_ / kStep);
    for (FakeStream& it : streams_)
      while (it.first_retained < it.entries.size() &&
             it.entries[it.first_retained].step + kept < progress_.step)
        ++it.first_retained;
  }

  void RunDueEvents() {
    const auto due = events_by_step_.upper_bound(progress_.step);
    std::vector<std::function<void()>> events;
    for (auto it = events_by_step_.begin(); it != due; ++it)
      events.push_back(std::move(it->second));
    events_by_step_.erase(events_by_step_.begin(), due);
    for (const auto& it : events)
      it();
  }

  void RunHost(SoakHost& host) {
    for (std::uint32_t i = 0; i < kPartitions; ++i) {
      OnceExecutor& executor = *host.executors[i];
      const bool tick_first = Chance(500);
      if (tick_first)
        executor.OnTick(MonoOf(host), WallOf(host));
      if (!IsLogUnreachable(host) && Chance(700))
        executor.OnPage(MonoOf(host), ReadPage(streams_[i], executor));
      if (!tick_first)
        executor.OnTick(MonoOf(host), WallOf(host));
      TakeActions(host);
      if (auto batch = executor.TakeBatch(MonoOf(host), WallOf(host)))
        Append(host, i, *batch);
    }
    // Pauses the host while callers wait and an append may be in progress.
    if (FaultChance(10) && host.executors[0]->open_keys() > 0)
      Pause(host);
  }

  LogPage ReadPage(const FakeStream& stream, const OnceExecutor& executor) {
    LogPage page{true, stream.first_retained, {}};
    const std::uint64_t from =
        std::max(executor.next_offset(), stream.first_retained);
    const std::uint64_t end =
        std::min<std::uint64_t>(stream.entries.size(), from + 1 + Below(40));
    for (std::uint64_t i = from; i < end; ++i)
      page.entries.push_back({i, stream.entries[i].payload});
    return page;
  }

  void Append(const SoakHost& host,
              std::uint32_t partition,
              const std::string& batch) {
    std::multimap<std::uint64_t, std::string>& pending =
        streams_[partition].pending_appends;
    const std::uint64_t now = progress_.step;
    AppendStatus status = AppendStatus::kAppended;
    if (faults_stopped_) {
      pending.emplace(now + 1, batch);
    } else if (IsLogUnreachable(host) || Chance(100)) {
      status = Chance(300) ? AppendStatus::kRefused : AppendStatus::kUnknown;
      if (status == AppendStatus::kUnknown && Chance(600))
        pending.emplace(now + 1 + Below(Chance(200) ? 1200 : 60), batch);
    } else {
      pending.emplace(now + 1, batch);
      if (Chance(60))
        pending.emplace(now + 1 + Below(Chance(300) ? 1500 : 30), batch);
      if (Chance(100))
        status = AppendStatus::kUnknown;
    }
    ScheduleOnHost(host.name, now + 2 + Below(5),
                   [partition, status](SoakHost& it, MonoTime at) {
                     it.executors[partition]->OnAppendResult(at, status);
                   });
  }

  /// Calls `event` on the host at `step`, or once the host is no longer paused.
  /// Drops the event if the host has been replaced.
  void ScheduleOnHost(const std::string& name,
                      std::uint64_t step,
                      std::function<void(SoakHost&, MonoTime)> event) {
    events_by_step_.emplace(step, [this, name, event = std::move(event)] {
      SoakHost* host = FindHost(name);
      if (!host)
        return;
      if (host->paused_until > progress_.step) {
        ScheduleOnHost(name, host->paused_until, event);
        return;
      }
      event(*host, MonoOf(*host));
      TakeActions(*host);
    });
  }

  // --- Actions of hosts

  void TakeActions(SoakHost& host) {
    for (const auto& executor : host.executors)
      for (const OnceAction& it : executor->TakeActions())
        std::visit(
            [this, &host](const auto& action) { HandleAction(host, action); },
            it);
  }

  void HandleAction(SoakHost& host, const DispatchAction& action) {
    Call& call = calls_[action.request.value()];
    progress_.Note(host.name + " dispatches " + action.request.value() +
                   " key " + std::to_string(call.key));
    CheckInvariant(MonoOf(host) < call.deadline,
                   "a request is not dispatched after its deadline",
                   [&] { return action.request.value(); });
    CheckInvariant(!call.answered, "an answered request is not dispatched",
                   [&] { return action.request.value(); });
    call.dispatched = true;
    // The host may be paused or killed while the request is in transit.
    const std::uint64_t delay = FaultChance(50) ? Below(800) : Below(20);
    events_by_step_.emplace(
        progress_.step + delay,
        [this, name = host.name, action] { ArriveAtServer(name, action); });
  }

  void ArriveAtServer(const std::string& host, const DispatchAction& action) {
    DispatchResult result;
    // 12% of the requests are not sent, 8% are lost before they run, 15% run
    // but their response is lost, and 65% complete.
    const std::uint64_t outcome = faults_stopped_ ? 99 : Below(100);
    if (outcome < 12)
      result.kind = DispatchResult::Kind::kNotSent;
    if (outcome >= 20)
      RunRequest(action.request.value());
    if (outcome >= 35) {
      result.kind = DispatchResult::Kind::kDone;
      result.response = {200, "text/plain",
                         keys_[calls_[action.request.value()].key].response,
                         true};
    }
    ScheduleOnHost(
        host, progress_.step + 1 + Below(FaultChance(50) ? 400 : 10),
        [this, action, result](SoakHost& it, MonoTime at) {
          ExecutorOf(it, action.key).OnDispatchResult(at, action.key, result);
        });
  }

  void RunRequest(const std::string& id) {
    const Call& call = calls_[id];
    KeyHistory& history = keys_[call.key];
    progress_.Note("backend server runs " + id + " key " +
                   std::to_string(call.key));
    CheckInvariant(history.runs == 0,
                   "a non-idempotent request runs at most once",
                   [&] { return "key " + std::to_string(call.key); });
    CheckInvariant(
        call.arrived_at > history.answered_not_run_at,
        "a request that arrived before a not_run answer never runs",
        [&] { return "run later, key " + std::to_string(call.key); });
    ++history.runs;
    history.body_run = call.body;
    history.response = "answer " + id + std::string(100, '.');
    ++counts_["(runs)"];
  }

  void HandleAction(const SoakHost& host, const OnceAnswer& answer) {
    Call& call = calls_[answer.request.value()];
    KeyHistory& history = keys_[call.key];
    ++event_number_;
    ++counts_[std::string(OnceAnswerName(answer.kind))];
    progress_.Note(host.name + " answers " + answer.request.value() + " key " +
                   std::to_string(call.key) + ": " +
                   std::string(OnceAnswerName(answer.kind)));
    CheckInvariant(!call.answered, "a caller is answered once",
                   [&] { return answer.request.value(); });
    call.answered = true;
    call.done = answer.kind == OnceAnswerKind::kDone;
    CheckAnswer(answer, call, history);
  }

  void CheckAnswer(const OnceAnswer& answer,
                   const Call& call,
                   KeyHistory& history) {
    const auto detail = [&] { return answer.request.value(); };
    switch (answer.kind) {
      case OnceAnswerKind::kDone:
        CheckInvariant(answer.response->body == history.response,
                       "every answer for a key has the response of its run",
                       detail);
        [[fallthrough]];
      case OnceAnswerKind::kDoneWithoutBody:
        CheckInvariant(history.runs == 1, "a request answered as done ran once",
                       detail);
        CheckInvariant(history.body_run == call.body,
                       "an answer belongs to the caller's own request", detail);
        CheckInvariant(!history.answered_unknown,
                       "an outcome is never reversed", detail);
        return;
      case OnceAnswerKind::kUnknown:
        history.answered_unknown = true;
        return;
      case OnceAnswerKind::kNotRun:
        CheckInvariant(history.runs == 0,
                       "a key answered as not_run has not run", detail);
        history.answered_not_run_at = event_number_;
        return;
      case OnceAnswerKind::kNotDispatched:
        CheckInvariant(
            !call.dispatched,
            "a request answered as not_dispatched was not dispatched", detail);
        return;
      case OnceAnswerKind::kConflict:
        CheckInvariant(history.bodies_used[0] && history.bodies_used[1],
                       "a conflict requires two different bodies", detail);
        return;
      case OnceAnswerKind::kKeyOutOfDate:
        CheckInvariant(history.created.has_value(),
                       "only a key that contains a time is out of date",
                       detail);
        return;
      case OnceAnswerKind::kInProgress:
        return;
    }
  }

  // --- After the faults

  /// Stops all faults and checks that every host runs new requests. Skips
  /// partitions whose log dropped entries that no host had carried.
  void CheckRecovery() {
    faults_stopped_ = true;
    log_unreachable_until_ = {};
    for (SoakHost& it : hosts_)
      it.paused_until = 0;
    // Longer than any append, message or pause still in progress.
    constexpr std::uint64_t kRecoverySteps = 2000;
    RunSteps(kRecoverySteps);
    std::vector<std::string> sent;
    for (SoakHost& it : hosts_)
      for (int i = 0; i < 4; ++i) {
        const std::size_t key = NewKey();
        if (ExecutorOf(it, keys_[key].key).fold().complete())
          sent.push_back(SendTo(it, key, 0));
        else
          ++counts_["(closed partition)"];
      }
    RunSteps(kRecoverySteps);
    for (const std::string& it : sent)
      CheckInvariant(calls_[it].done, "without faults every request runs",
                     [&it] { return it; });
    for (std::uint32_t i = 0; i < kPartitions; ++i)
      CheckAllAgree(i);
  }

  void RunSteps(std::uint64_t steps) {
    for (std::uint64_t i = 0; i < steps; ++i) {
      ++progress_.step;
      Advance();
    }
  }

  /// Checks that folds that began to read at different offsets hold the same
  /// state.
  void CheckAllAgree(std::uint32_t partition) {
    const ClaimFold& first = hosts_[0].executors[partition]->fold();
    for (const SoakHost& host : hosts_) {
      const ClaimFold& fold = host.executors[partition]->fold();
      CheckInvariant(fold.complete() == first.complete(),
                     "either all folds or none are complete",
                     [&host] { return host.name; });
      if (!fold.complete())
        continue;
      for (const KeyHistory& it : keys_)
        CheckAgree(fold, first, it);
    }
  }

  static void CheckAgree(const ClaimFold& fold,
                         const ClaimFold& first,
                         const KeyHistory& history) {
    const ClaimState* one = fold.Find(history.key);
    const ClaimState* other = first.Find(history.key);
    const bool agree = history.created.has_value() || (!one && !other) ||
                       (one && other && one->phase == other->phase &&
                        one->generation == other->generation &&
                        fold.HolderOf(*one) == first.HolderOf(*other));
    CheckInvariant(agree, "complete folds agree",
                   [] { return std::string("after recovery"); });
  }

  void PrintCounts() const {
    for (const auto& [name, n] : counts_)
      std::printf("  %s %llu", name.c_str(),
                  static_cast<unsigned long long>(n));
    std::printf("  keys %zu\n", keys_.size());
  }

  SoakProgress& progress_;
  std::mt19937_64 random_;
  std::uint64_t steps_;
  Duration retention_{};
  std::uint64_t incarnations_ = 0;
  bool faults_stopped_ = false;
  /// Number of arrivals and answers so far; orders them.
  std::uint64_t event_number_ = 0;
  /// The step at which each zone can reach the log again.
  std::array<std::uint64_t, kZones> log_unreachable_until_{};
  std::array<FakeStream, kPartitions> streams_;
  std::vector<SoakHost> hosts_;
  std::vector<KeyHistory> keys_;
  std::map<std::string, Call> calls_;
  std::multimap<std::uint64_t, std::function<void()>> events_by_step_;
  std::map<std::string, std::uint64_t> counts_;
};

void Run(const SoakOptions& options, SoakProgress& progress) {
  Simulation(options, progress).Run();
}

}  // namespace
}  // namespace mangoport

int main(int argc, char** argv) {
  return mangoport::SoakMain(
      argc, argv,
      {"claim_not_read_back", "last_claim_wins", "dispatched_again",
       "unknown_said_not_run", "late_claim_dispatched", "claim_taken_over",
       "release_read_as_not_run", "generation_not_checked",
       "deadline_not_checked", "conflict_ignored", "horizon_not_checked",
       "horizon_before_carried", "released_not_carried", "key_age_not_checked"},
      mangoport::Run);
}
