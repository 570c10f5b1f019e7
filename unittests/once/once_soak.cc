// Several hosts run requests that may not be repeated, over a log that loses
// answers, takes entries late or twice, forgets old entries and has outages,
// while hosts are paused, killed and replaced with no state, and callers repeat
// their requests to other hosts, together and long after.
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
constexpr std::uint64_t kRetentionSpreadMs = 12'000;
constexpr WallTime kWallStart{std::chrono::seconds(1'700'000'000)};

OnceSettings SoakSettings() {
  OnceSettings settings;
  settings.append_interval = std::chrono::milliseconds(20);
  settings.claim_wait = std::chrono::milliseconds(1200);
  settings.append_retry = std::chrono::milliseconds(60);
  settings.read_back_wait = std::chrono::milliseconds(200);
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

/// One stream of the log, with entries on their way to it.
struct FakeStream {
  struct Entry {
    std::string payload;
    std::uint64_t step = 0;
  };
  std::vector<Entry> entries;
  std::uint64_t first_retained = 0;
  std::multimap<std::uint64_t, std::string> on_the_way;
};

/// What the world knows of one idempotency key.
struct KeyStory {
  ClaimKey key;
  std::optional<WallTime> created;
  std::array<bool, 2> bodies_used{};
  int runs = 0;
  int body_run = 0;
  std::string response;
  bool unknown_told = false;
  std::uint64_t not_run_told_at = 0;
};

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

class World {
 public:
  World(const SoakOptions& options, SoakProgress& progress)
      : progress_(progress), random_(options.seed), steps_(options.steps) {
    retention_ = kShortestRetention +
                 std::chrono::milliseconds(Below(kRetentionSpreadMs));
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
    Calm();
    PrintCounts();
  }

 private:
  std::uint64_t Below(std::uint64_t n) { return random_() % n; }
  bool Chance(std::uint64_t permille) { return Below(1000) < permille; }
  bool Late(std::uint64_t permille) { return !calm_ && Chance(permille); }
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
      Cut(Below(kZones), 20 + Below(200));
    if (Chance(3))
      LoseEntries();
    if (Chance(2))
      for (std::size_t i = 0; i < kZones; ++i)
        Cut(i, 20 + Below(Chance(100) ? 600 : 100));
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

  void Cut(std::size_t zone, std::uint64_t steps) {
    cut_until_[zone] = progress_.step + steps;
    progress_.Note("log cut from zone " + std::to_string(zone) + " until " +
                   std::to_string(cut_until_[zone]));
  }

  /// The log drops entries before their time, and hosts that start after that
  /// must not take for free what only an older host still knows.
  void LoseEntries() {
    const std::size_t partition = Below(kPartitions);
    FakeStream& stream = streams_[partition];
    const std::size_t witness = Below(hosts_.size());
    const OnceExecutor& executor = *hosts_[witness].executors[partition];
    if (!executor.fold().complete() ||
        executor.next_offset() < stream.entries.size())
      return;
    const std::uint64_t kept = stream.entries.size() - stream.first_retained;
    stream.first_retained += Chance(500) ? kept : Below(kept + 1);
    progress_.Note("the log forgets all before offset " +
                   std::to_string(stream.first_retained));
    ReplaceHost((witness + 1) % hosts_.size());
    ReplaceHost((witness + 2) % hosts_.size());
  }

  bool IsCut(const SoakHost& host) const {
    return cut_until_[host.zone] > progress_.step;
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
    KeyStory story;
    const std::string name = "key-" + std::to_string(keys_.size());
    story.key = MakeClaimKey(AccountId("gallery"), name);
    if (Chance(500))
      story.created = kWallStart +
                      std::chrono::duration_cast<WallTime::duration>(Elapsed());
    keys_.push_back(story);
    return keys_.size() - 1;
  }

  void SendCall(std::size_t key) {
    const std::uint64_t copies = Chance(200) ? 1 + Below(3) : 1;
    for (std::uint64_t i = 0; i < copies; ++i)
      SendTo(hosts_[Below(hosts_.size())], key, Chance(80) ? 1 : 0);
  }

  std::string SendTo(SoakHost& host, std::size_t key, int body) {
    KeyStory& story = keys_[key];
    story.bodies_used[static_cast<std::size_t>(body)] = true;
    std::string id = "call-" + std::to_string(calls_.size());
    const Duration wait =
        std::chrono::milliseconds(calm_ ? 2000 : 100 + Below(2000));
    // A paused host finds the request when it wakes.
    Call& call = calls_[id];
    call.key = key;
    call.body = body;
    inbox_.emplace(
        std::max(progress_.step, host.paused_until),
        [this, id, name = host.name, wait] { Deliver(id, name, wait); });
    return id;
  }

  void Deliver(const std::string& id, const std::string& name, Duration wait) {
    SoakHost* host = FindHost(name);
    if (!host)
      return;
    Call& call = calls_[id];
    const KeyStory& story = keys_[call.key];
    call.arrived_at = ++clock_;
    call.deadline = MonoOf(*host) + wait;
    progress_.Note(name + " gets " + id + " for key " +
                   std::to_string(call.key) + " body " +
                   std::to_string(call.body));
    ExecutorOf(*host, story.key)
        .OnRequest(MonoOf(*host), WallOf(*host),
                   {RequestId(id), story.key, Body(call.body), story.created,
                    call.deadline});
    TakeActions(*host);
  }

  static BodyFingerprint Body(int body) {
    return MakeBodyFingerprint("POST", "/payouts", std::to_string(body));
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
    LandAppends();
    DropOldEntries();
    RunInbox();
    for (SoakHost& it : hosts_)
      if (it.paused_until <= progress_.step)
        RunHost(it);
  }

  void LandAppends() {
    for (FakeStream& it : streams_) {
      const auto due = it.on_the_way.upper_bound(progress_.step);
      for (auto entry = it.on_the_way.begin(); entry != due; ++entry)
        it.entries.push_back({entry->second, progress_.step});
      it.on_the_way.erase(it.on_the_way.begin(), due);
    }
  }

  void DropOldEntries() {
    const auto kept = static_cast<std::uint64_t>(retention_ / kStep);
    for (FakeStream& it : streams_)
      while (it.first_retained < it.entries.size() &&
             it.entries[it.first_retained].step + kept < progress_.step)
        ++it.first_retained;
  }

  void RunInbox() {
    const auto due = inbox_.upper_bound(progress_.step);
    std::vector<std::function<void()>> events;
    for (auto it = inbox_.begin(); it != due; ++it)
      events.push_back(std::move(it->second));
    inbox_.erase(inbox_.begin(), due);
    for (const auto& it : events)
      it();
  }

  void RunHost(SoakHost& host) {
    for (std::uint32_t i = 0; i < kPartitions; ++i) {
      OnceExecutor& executor = *host.executors[i];
      const bool tick_first = Chance(500);
      if (tick_first)
        executor.OnTick(MonoOf(host), WallOf(host));
      if (!IsCut(host) && Chance(700))
        executor.OnPage(MonoOf(host), ReadPage(streams_[i], executor));
      if (!tick_first)
        executor.OnTick(MonoOf(host), WallOf(host));
      TakeActions(host);
      if (auto batch = executor.TakeBatch(MonoOf(host), WallOf(host)))
        Append(host, i, *batch);
    }
    // With an append under way and callers that wait for it.
    if (Late(10) && host.executors[0]->open_keys() > 0)
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
    std::multimap<std::uint64_t, std::string>& way =
        streams_[partition].on_the_way;
    const std::uint64_t now = progress_.step;
    AppendStatus status = AppendStatus::kAppended;
    if (calm_) {
      way.emplace(now + 1, batch);
    } else if (IsCut(host) || Chance(100)) {
      status = Chance(300) ? AppendStatus::kRefused : AppendStatus::kUnknown;
      if (status == AppendStatus::kUnknown && Chance(600))
        way.emplace(now + 1 + Below(Chance(200) ? 1200 : 60), batch);
    } else {
      way.emplace(now + 1, batch);
      if (Chance(60))
        way.emplace(now + 1 + Below(Chance(300) ? 1500 : 30), batch);
      if (Chance(100))
        status = AppendStatus::kUnknown;
    }
    AtHost(host.name, now + 2 + Below(5),
           [partition, status](SoakHost& it, MonoTime at) {
             it.executors[partition]->OnAppendResult(at, status);
           });
  }

  /// Calls `event` on the host once it is due and not paused, unless it has
  /// been replaced.
  void AtHost(const std::string& name,
              std::uint64_t step,
              std::function<void(SoakHost&, MonoTime)> event) {
    inbox_.emplace(step, [this, name, event = std::move(event)] {
      SoakHost* host = FindHost(name);
      if (!host)
        return;
      if (host->paused_until > progress_.step) {
        AtHost(name, host->paused_until, event);
        return;
      }
      event(*host, MonoOf(*host));
      TakeActions(*host);
    });
  }

  // --- What hosts do

  void TakeActions(SoakHost& host) {
    for (const auto& executor : host.executors)
      for (const OnceAction& it : executor->TakeActions())
        std::visit([this, &host](const auto& action) { Do(host, action); }, it);
  }

  void Do(SoakHost& host, const DispatchAction& action) {
    Call& call = calls_[action.request.value()];
    progress_.Note(host.name + " dispatches " + action.request.value() +
                   " key " + std::to_string(call.key));
    CheckInvariant(MonoOf(host) < call.deadline,
                   "a request is not dispatched after its deadline",
                   [&] { return action.request.value(); });
    CheckInvariant(!call.answered, "an answered request is not dispatched",
                   [&] { return action.request.value(); });
    call.dispatched = true;
    // The host may be paused, or killed, with the bytes on their way.
    const std::uint64_t delay = Late(50) ? Below(800) : Below(20);
    inbox_.emplace(progress_.step + delay,
                   [this, name = host.name, action] { Arrive(name, action); });
  }

  void Arrive(const std::string& host, const DispatchAction& action) {
    DispatchResult result;
    const std::uint64_t fate = calm_ ? 99 : Below(100);
    if (fate < 12)
      result.kind = DispatchResult::Kind::kNotSent;
    if (fate >= 20)
      RunRequest(action.request.value());
    if (fate >= 35) {
      result.kind = DispatchResult::Kind::kDone;
      result.response = {200, "text/plain",
                         keys_[calls_[action.request.value()].key].response,
                         true};
    }
    AtHost(
        host, progress_.step + 1 + Below(Late(50) ? 400 : 10),
        [this, action, result](SoakHost& it, MonoTime at) {
          ExecutorOf(it, action.key).OnDispatchResult(at, action.key, result);
        });
  }

  void RunRequest(const std::string& id) {
    const Call& call = calls_[id];
    KeyStory& story = keys_[call.key];
    progress_.Note("backend runs " + id + " key " + std::to_string(call.key));
    CheckInvariant(story.runs == 0,
                   "a non-idempotent request runs at most once",
                   [&] { return "key " + std::to_string(call.key); });
    CheckInvariant(call.arrived_at > story.not_run_told_at,
                   "a refusal that says not run is true", [&] {
                     return "run later, key " + std::to_string(call.key);
                   });
    ++story.runs;
    story.body_run = call.body;
    story.response = "answer " + id + std::string(100, '.');
    ++counts_["(runs)"];
  }

  void Do(const SoakHost& host, const OnceAnswer& answer) {
    Call& call = calls_[answer.request.value()];
    KeyStory& story = keys_[call.key];
    ++clock_;
    ++counts_[std::string(OnceAnswerName(answer.kind))];
    progress_.Note(host.name + " answers " + answer.request.value() + " key " +
                   std::to_string(call.key) + ": " +
                   std::string(OnceAnswerName(answer.kind)));
    CheckInvariant(!call.answered, "a caller is answered once",
                   [&] { return answer.request.value(); });
    call.answered = true;
    call.done = answer.kind == OnceAnswerKind::kDone;
    CheckAnswer(answer, call, story);
  }

  void CheckAnswer(const OnceAnswer& answer,
                   const Call& call,
                   KeyStory& story) {
    const auto detail = [&] { return answer.request.value(); };
    switch (answer.kind) {
      case OnceAnswerKind::kDone:
        CheckInvariant(answer.response->body == story.response,
                       "all answers of a key are the run's answer", detail);
        [[fallthrough]];
      case OnceAnswerKind::kDoneWithoutBody:
        CheckInvariant(story.runs == 1, "done means that it ran once", detail);
        CheckInvariant(story.body_run == call.body,
                       "an answer belongs to the caller's own request", detail);
        CheckInvariant(!story.unknown_told, "an outcome is never reversed",
                       detail);
        return;
      case OnceAnswerKind::kUnknown:
        story.unknown_told = true;
        return;
      case OnceAnswerKind::kNotRun:
        CheckInvariant(story.runs == 0, "a refusal that says not run is true",
                       detail);
        story.not_run_told_at = clock_;
        return;
      case OnceAnswerKind::kNotDispatched:
        CheckInvariant(!call.dispatched, "not dispatched means not dispatched",
                       detail);
        return;
      case OnceAnswerKind::kConflict:
        CheckInvariant(story.bodies_used[0] && story.bodies_used[1],
                       "a conflict needs two bodies", detail);
        return;
      case OnceAnswerKind::kKeyOutOfDate:
        CheckInvariant(story.created.has_value(),
                       "only a key with a time is out of date", detail);
        return;
      case OnceAnswerKind::kInProgress:
        return;
    }
  }

  // --- After the faults

  /// With all faults over, every host runs a new request, unless the log
  /// forgot entries of the partition that no host had carried.
  void Calm() {
    calm_ = true;
    cut_until_ = {};
    for (SoakHost& it : hosts_)
      it.paused_until = 0;
    // Longer than anything that is still on its way.
    constexpr std::uint64_t kCalmSteps = 2000;
    Idle(kCalmSteps);
    std::vector<std::string> sent;
    for (SoakHost& it : hosts_)
      for (int i = 0; i < 4; ++i) {
        const std::size_t key = NewKey();
        if (ExecutorOf(it, keys_[key].key).fold().complete())
          sent.push_back(SendTo(it, key, 0));
        else
          ++counts_["(closed partition)"];
      }
    Idle(kCalmSteps);
    for (const std::string& it : sent)
      CheckInvariant(calls_[it].done, "a calm fleet runs every request",
                     [&it] { return it; });
    for (std::uint32_t i = 0; i < kPartitions; ++i)
      CheckAllAgree(i);
  }

  void Idle(std::uint64_t steps) {
    for (std::uint64_t i = 0; i < steps; ++i) {
      ++progress_.step;
      Advance();
    }
  }

  /// Folds that began to read at different offsets hold the same state.
  void CheckAllAgree(std::uint32_t partition) {
    const ClaimFold& first = hosts_[0].executors[partition]->fold();
    for (const SoakHost& host : hosts_) {
      const ClaimFold& fold = host.executors[partition]->fold();
      CheckInvariant(fold.complete() == first.complete(),
                     "one complete fold makes all complete",
                     [&host] { return host.name; });
      if (!fold.complete())
        continue;
      for (const KeyStory& it : keys_)
        CheckAgree(fold, first, it);
    }
  }

  static void CheckAgree(const ClaimFold& fold,
                         const ClaimFold& first,
                         const KeyStory& story) {
    const ClaimState* one = fold.Find(story.key);
    const ClaimState* other = first.Find(story.key);
    const bool agree = story.created.has_value() || (!one && !other) ||
                       (one && other && one->phase == other->phase &&
                        one->generation == other->generation &&
                        fold.HolderOf(*one) == first.HolderOf(*other));
    CheckInvariant(agree, "complete folds agree",
                   [] { return std::string("after the calm"); });
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
  bool calm_ = false;
  /// Orders arrivals and answers.
  std::uint64_t clock_ = 0;
  std::array<std::uint64_t, kZones> cut_until_{};
  std::array<FakeStream, kPartitions> streams_;
  std::vector<SoakHost> hosts_;
  std::vector<KeyStory> keys_;
  std::map<std::string, Call> calls_;
  std::multimap<std::uint64_t, std::function<void()>> inbox_;
  std::map<std::string, std::uint64_t> counts_;
};

void Run(const SoakOptions& options, SoakProgress& progress) {
  World(options, progress).Run();
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
