// Drives the request supervisors of several entry hosts against fake engines.
// Injected faults: engines that crash, freeze, leave, or send answers that are
// delayed, truncated or mixed up with another request's; requests that crash
// their server and are resent to other hosts; quarantine records that are lost,
// delayed or not logged.
#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "mangoport/ledger/envelope.h"
#include "mangoport/routing/fair_queue.h"
#include "mangoport/routing/request_supervisor.h"
#include "unittests/support/soak_main.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ModelId kModel("drafts");
constexpr int kHosts = 4;
constexpr int kServers = 10;
constexpr Duration kStep = milliseconds(10);
constexpr Duration kMaxListLag = seconds(3);
/// A leaving server gets no new work after this time: the maximum age of a
/// server list plus the interval between two reads.
constexpr Duration kLeavingBound = kMaxListLag + seconds(1);
constexpr Duration kMaxLogLag = milliseconds(200);

/// Small enough that the faults of a run exhaust the budget.
constexpr RetryBudgetSettings kRetries = {.per_request = 0.1,
                                          .account_reserve = 10,
                                          .host_reserve = 10,
                                          .account_refill = 0.2,
                                          .host_refill = 0.2};

/// One prompt and the crashes that it caused.
struct Prompt {
  std::string text;
  AccountId account;
  bool poison = false;
  /// Tokens that a poison prompt generates before it crashes the engine.
  std::uint32_t crashes_after_tokens = 0;
  /// Its caller waits for each answer and then longer than the delay of records
  /// before it resends the prompt.
  bool waits_for_answer = true;
  /// A server crashed while this prompt ran there isolated, for another reason
  /// (by chance, by a prompt that was proven) or with records that may be lost.
  /// It cannot be distinguished from a culprit.
  bool ambiguous = false;
  /// Crashes by this prompt before its host suspected it, per host.
  std::map<int, int> unsuspected_crashes;
  /// Crashes by this prompt while its host suspected it.
  int suspected_crashes = 0;
  /// Crashes that the rules cannot distinguish from chance, or whose record may
  /// be lost.
  int excluded_crashes = 0;
};

struct Call {
  RequestId id;
  int host = 0;
  std::size_t prompt = 0;
  std::uint32_t tokens = 0;
  bool repeatable = true;
  bool ended = false;
  MonoTime disconnect_at = MonoTime::max();
  std::uint32_t received = 0;
  int runs = 0;
  std::unique_ptr<RequestSupervisor> supervisor;
  std::uint64_t claim = 0;
  bool claim_pending = false;
};

/// One attempt of a call at a fake engine.
struct Run {
  std::size_t call = 0;
  std::uint32_t attempt = 0;
  std::uint32_t next = 0;
  std::uint32_t emitted = 0;
  MonoTime next_at;
  bool frozen = false;
  bool suspected = false;
  bool isolated = false;
};

struct Engine {
  ServerId id;
  ZoneId zone;
  MonoTime down_until;
  std::optional<MonoTime> leaving_at;
  bool refuses_when_leaving = true;
  std::vector<Run> runs;
};

struct LogRecord {
  MonoTime appended_at;
  wire::Envelope envelope;
};

struct Host {
  ZoneId zone;
  RoutingState state;
  RecordWriter writer{WriterId("host")};
  /// Number of log records read.
  std::size_t read = 0;
  /// Delay between the append of a log record and its read.
  Duration lag{};
  std::uint64_t claims = 0;
  std::uint64_t requests = 0;
};

struct Event {
  MonoTime at;
  std::uint64_t order = 0;
  std::function<void()> run;
  bool operator<(const Event& other) const {
    return std::tie(at, order) > std::tie(other.at, other.order);
  }
};

std::string TokenText(const Call& call, std::uint32_t index) {
  return "p" + std::to_string(call.prompt) + "#" + std::to_string(index);
}

class FaultSimulation {
 public:
  FaultSimulation(const SoakOptions& options, SoakProgress& progress)
      : progress_(progress),
        random_(options.seed),
        loses_records_(options.seed % 2 == 0) {
    for (int i = 0; i < kServers; ++i)
      engines_.push_back({.id = ServerId("s" + std::to_string(i)),
                          .zone = ZoneId("z" + std::to_string(i % 2)),
                          .down_until = {},
                          .leaving_at = {},
                          .runs = {}});
    for (int i = 0; i < kHosts; ++i) {
      auto host = std::make_unique<Host>();
      host->zone = ZoneId("z" + std::to_string(i % 2));
      host->state.retries = RetryBudget(kRetries);
      host->writer = RecordWriter(WriterId("h" + std::to_string(i)));
      hosts_.push_back(std::move(host));
    }
    for (int i = 0; i < 150; ++i)
      prompts_.push_back({.text = "letter " + std::to_string(i * 7919) +
                                  " to the smith about the gate",
                          .account = AccountId("a" + std::to_string(i % 3)),
                          .unsuspected_crashes = {}});
    now_ += std::chrono::hours(1);
  }

  void Step() {
    now_ += kStep;
    InjectFaults();
    const std::size_t any = random_() % prompts_.size();
    if (Chance(0.3) && !prompts_[any].poison)
      NewCall(any);
    if (Chance(0.001))
      NewPoison();
    AdvanceEngines();
    DeliverEvents();
    UpdateHosts();
    CheckChoiceAndBudget();
  }

  /// Prints the number of calls per outcome, which shows whether a run covered
  /// enough cases.
  void PrintOutcomes() const {
    for (const auto& [outcome, n] : outcomes_)
      std::printf("  %6d %s\n", n, outcome.c_str());
  }

 private:
  bool Chance(double p) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < p;
  }
  Duration Between(Duration low, Duration high) {
    return Duration(std::uniform_int_distribution<std::int64_t>(
        low.count(), high.count())(random_));
  }
  WallTime Wall() const {
    return WallTime(std::chrono::duration_cast<WallTime::duration>(
        now_.time_since_epoch()));
  }
  std::int64_t WallMillis() const {
    return std::chrono::duration_cast<milliseconds>(now_.time_since_epoch())
        .count();
  }
  SupervisorStep StepOf(int host) {
    return SupervisorStep{now_, Wall(), hosts_[host]->state};
  }
  void Schedule(MonoTime at, std::function<void()> run) {
    events_.push(Event{at, next_event_++, std::move(run)});
  }

  void InjectFaults() {
    if (Chance(0.002))
      log_outage_until_ = now_ + Between(seconds(1), seconds(4));
    if (Chance(0.0005))
      Crash(engines_[random_() % kServers], /*culprit=*/nullptr);
    if (Chance(0.0002)) {
      for (int i = 0; i < 6; ++i)
        Crash(engines_[random_() % kServers], nullptr);
    }
    if (Chance(0.01)) {
      Engine& engine = engines_[random_() % kServers];
      const bool enough_not_leaving =
          std::count_if(engines_.begin(), engines_.end(), [](const Engine& it) {
            return !it.leaving_at;
          }) > kServers / 2;
      if (engine.leaving_at && now_ - *engine.leaving_at > seconds(8)) {
        engine.leaving_at.reset();
      } else if (!engine.leaving_at && enough_not_leaving) {
        engine.leaving_at = now_;
        engine.refuses_when_leaving = Chance(0.5);
      }
    }
  }

  void NewPoison() {
    const std::string number = std::to_string(1000 + prompts_.size());
    Prompt prompt{.text = "Condition report for loan " + number +
                          ", oil on board, crate 4, due back in May",
                  .account = AccountId("a" + std::to_string(random_() % 3)),
                  .poison = true,
                  .crashes_after_tokens = Chance(0.2) ? 12U : 0U,
                  .waits_for_answer = Chance(0.5),
                  .unsuspected_crashes = {}};
    Prompt similar = prompt;
    similar.text = "Condition report for loan " + number +
                   "7, oil on board, crate 4, due back in May";
    similar.poison = false;
    prompts_.push_back(std::move(prompt));
    const std::size_t poison = prompts_.size() - 1;
    prompts_.push_back(std::move(similar));
    for (int i = 0; i < 3; ++i)
      NewCall(poison + 1);
    SendPoison(poison, /*times_left=*/6);
  }

  /// Sends the prompt with changed formatting and schedules further repeats.
  void SendPoison(std::size_t prompt, int times_left) {
    poison_repeats_[prompt] = times_left;
    NewCall(prompt);
    while (!prompts_[prompt].waits_for_answer && Chance(0.5))
      NewCall(prompt, Chance(0.7) ? calls_.back()->host : -1);
  }

  std::string VaryFormatting(std::string text) {
    const std::size_t at = random_() % text.size();
    if (Chance(0.5))
      text.insert(at, " \t");
    if (Chance(0.5))
      text[at] = text[at] >= 'a' && text[at] <= 'z'
                     ? static_cast<char>(text[at] - 'a' + 'A')
                     : text[at];
    return text;
  }

  void NewCall(std::size_t prompt_index, int host_index = -1) {
    const Prompt& prompt = prompts_[prompt_index];
    auto call = std::make_unique<Call>();
    call->id = RequestId("r" + std::to_string(calls_.size()));
    call->host =
        host_index >= 0 ? host_index : static_cast<int>(random_() % kHosts);
    call->prompt = prompt_index;
    call->tokens = (prompt.poison ? 20 : 5) + random_() % 60;
    call->repeatable = prompt.poison || !Chance(0.1);
    if (Chance(prompt.waits_for_answer ? 0.02 : 0.6))
      call->disconnect_at = now_ + Between(milliseconds(20), seconds(1));
    const std::string sent = VaryFormatting(prompt.text);
    SupervisedRequest request;
    request.route = {.request = call->id,
                     .account = prompt.account,
                     .model = kModel,
                     .adapter = {},
                     .prefix_hash = 0,
                     .own_zone = hosts_[call->host]->zone,
                     .excluded = {},
                     .deadline = now_ + seconds(4)};
    request.fingerprint =
        FingerprintOf({prompt.account, kModel, AdapterId(), sent});
    request.sketch = SketchOf(sent);
    request.repeatable = call->repeatable;
    request.deadline = now_ + seconds(30);
    call->supervisor = std::make_unique<RequestSupervisor>(SupervisorSettings{},
                                                           std::move(request));
    calls_.push_back(std::move(call));
    open_calls_.push_back(calls_.size() - 1);
    Host& host = *hosts_[calls_.back()->host];
    ++host.requests;
    const std::size_t index = calls_.size() - 1;
    Perform(index,
            calls_[index]->supervisor->Start(StepOf(calls_[index]->host)));
  }

  void Perform(std::size_t index, SupervisorActions actions) {
    for (SupervisorAction& it : actions)
      std::visit([&](auto& action) { Do(index, action); }, it);
  }

  void Do(std::size_t index, StartAttempt& action) {
    Call& call = *calls_[index];
    Engine& engine = EngineOf(action.server);
    progress_.Note(call.id.value() + " prompt " + std::to_string(call.prompt) +
                   " attempt " + std::to_string(action.attempt) + " at " +
                   action.server.value() + " from host " +
                   std::to_string(call.host));
    const QuarantineFold& fold = hosts_[call.host]->state.quarantine;
    const Prompt& prompt = prompts_[call.prompt];
    const Fingerprint fingerprint =
        FingerprintOf({prompt.account, kModel, AdapterId(), prompt.text});
    const SuspicionLevel level = fold.Assess(Wall(), fingerprint).level;
    Run run{.call = index,
            .attempt = action.attempt,
            .next = action.resume_from,
            .next_at = now_ + Between(milliseconds(20), milliseconds(300)),
            .frozen = Chance(0.01) && !prompt.poison,
            .suspected = level != SuspicionLevel::kClear,
            .isolated = call.claim != 0};
    const bool reached = now_ >= engine.down_until && !Chance(0.005);
    if (!reached) {
      Fail(run, AttemptOutcome::kConnectFailed);
      return;
    }
    if (engine.leaving_at && engine.refuses_when_leaving) {
      Fail(run, AttemptOutcome::kRefusedLeaving);
      return;
    }
    const Duration since_leaving = now_ - engine.leaving_at.value_or(now_);
    CheckInvariant(
        since_leaving < kLeavingBound,
        "a leaving server gets no new work after the time limit",
        [&] { return engine.id.value() + " got " + call.id.value(); });
    ++call.runs;
    CheckInvariant(call.repeatable || call.runs <= 1,
                   "a request that may not be repeated runs once",
                   [&] { return call.id.value(); });
    engine.runs.push_back(run);
  }

  void Do(std::size_t index, CancelAttempt& action) {
    // The cancel is lost: the engine continues, and its answer or crash is
    // late.
    if (Chance(prompts_[calls_[index]->prompt].poison ? 0.6 : 0.05))
      return;
    Engine& engine = EngineOf(action.server);
    std::erase_if(engine.runs, [&](const Run& it) {
      return it.call == index && it.attempt == action.attempt;
    });
  }

  void Do(std::size_t index, DeliverToken& action) {
    Call& call = *calls_[index];
    CheckInvariant(action.index == call.received &&
                       action.text == TokenText(call, call.received),
                   "a caller gets its own tokens in order", [&] {
                     return call.id.value() + " got " + action.text +
                            " as its token " + std::to_string(call.received);
                   });
    ++call.received;
  }

  void Do(std::size_t index, ClaimIsolation& action) {
    Call& call = *calls_[index];
    Host& host = *hosts_[call.host];
    const Prompt& prompt = prompts_[call.prompt];
    call.claim = ++host.claims;
    progress_.Note(call.id.value() + " claims " + action.server.value());
    call.claim_pending = true;
    wire::QuarantineRecord record;
    wire::IsolationClaim& claim = *record.mutable_claim();
    claim.set_account(prompt.account.value());
    claim.set_fingerprint(
        FingerprintOf({prompt.account, kModel, AdapterId(), prompt.text}).hash);
    claim.set_server(action.server.value());
    claim.set_host(HostName(call.host));
    claim.set_number(call.claim);
    claim.set_claimed_at_ms(WallMillis());
    claim.set_expires_at_ms(
        WallMillis() +
        std::chrono::duration_cast<milliseconds>(action.lease).count());
    Append(host, record);
  }

  void Do(std::size_t index, ClearSuspicion&) {
    calls_[index]->claim = 0;
    EndIsolation end{.survived = true};
    Do(index, end);
  }

  void Do(std::size_t index, EndIsolation& action) {
    Call& call = *calls_[index];
    const Prompt& prompt = prompts_[call.prompt];
    wire::QuarantineRecord record;
    wire::IsolationEnd& end = *record.mutable_end();
    end.set_account(prompt.account.value());
    end.set_fingerprint(
        FingerprintOf({prompt.account, kModel, AdapterId(), prompt.text}).hash);
    end.set_host(HostName(call.host));
    end.set_number(call.claim);
    end.set_survived(action.survived);
    end.set_ended_at_ms(WallMillis());
    progress_.Note(call.id.value() + " ends its isolation" +
                   (action.survived ? ", survived" : ""));
    Append(*hosts_[call.host], record);
    call.claim = 0;
    call.claim_pending = false;
  }

  void Do(std::size_t index, SendCrashReport& action) {
    const int from = calls_[index]->host;
    wire::QuarantineRecord record;
    *record.mutable_crash() = action.report;
    Append(*hosts_[from], record);
    for (int i = 0; i < kHosts; ++i) {
      if (i == from || Chance(loses_records_ ? 0.3 : 0.0))
        continue;
      Schedule(now_ + Between(milliseconds(1), kMaxLogLag),
               [this, i, report = action.report] {
                 hosts_[i]->state.quarantine.MergeReport(report);
               });
    }
  }

  void Do(std::size_t index, FinishRequest& action) {
    Call& call = *calls_[index];
    progress_.Note(
        call.id.value() + " prompt " + std::to_string(call.prompt) +
        " finished: " + (action.complete ? "complete" : action.error.message));
    ++outcomes_[std::string(prompts_[call.prompt].poison ? "poison: " : "") +
                (action.complete ? "complete" : action.error.message)];
    CheckInvariant(!call.ended,
                   "a call whose caller disconnected gets no result",
                   [&] { return call.id.value(); });
    CheckInvariant(!action.complete || call.received == call.tokens,
                   "a complete answer has all its tokens", [&] {
                     return call.id.value() + " has " +
                            std::to_string(call.received) + " of " +
                            std::to_string(call.tokens);
                   });
    if (!action.complete)
      CheckInvariant(!action.error.not_run || call.runs == 0,
                     "a refusal that says not run is true",
                     [&] { return call.id.value(); });
    Prompt& prompt = prompts_[call.prompt];
    CheckInvariant(prompt.poison || prompt.ambiguous ||
                       action.error.code != ErrorCode::kQuarantined,
                   "a harmless request is not quarantined",
                   [&] { return prompt.text; });
  }

  /// Reports the end of an attempt to its host after a delay.
  void Fail(const Run& run, AttemptOutcome outcome) {
    Schedule(now_ + Between(milliseconds(1), milliseconds(40)),
             [this, run, outcome] {
               Call& call = *calls_[run.call];
               Perform(run.call, call.supervisor->OnAttemptFailed(
                                     StepOf(call.host), run.attempt, outcome));
             });
  }

  void Crash(Engine& engine, const Run* culprit) {
    if (now_ < engine.down_until)
      return;
    engine.down_until = now_ + Between(seconds(1), seconds(6));
    recent_crashes_.push_back(now_);
    std::string running;
    for (const Run& it : engine.runs)
      running += " " + calls_[it.call]->id.value() + "/" +
                 std::to_string(it.attempt) + ":" + std::to_string(it.emitted);
    progress_.Note(engine.id.value() + " crashes while running" + running);
    if (culprit != nullptr)
      CheckCulprit(engine, *culprit);
    for (const Run& it : engine.runs) {
      const bool by_chance =
          culprit == nullptr ||
          prompts_[calls_[culprit->call]->prompt].crashes_after_tokens > 0;
      if (it.isolated && (by_chance || loses_records_))
        prompts_[calls_[it.call]->prompt].ambiguous = true;
      if (!it.frozen)
        Fail(it, AttemptOutcome::kServerDied);
    }
    engine.runs.clear();
  }

  void CheckCulprit(const Engine& engine, const Run& culprit) {
    const Call& call = *calls_[culprit.call];
    Prompt& prompt = prompts_[call.prompt];
    progress_.Note("prompt " + std::to_string(call.prompt) + " crashed " +
                   engine.id.value() + (culprit.isolated ? " isolated" : "") +
                   (culprit.suspected ? " suspected" : ""));
    if (!culprit.suspected) {
      if (CrashesWithin(seconds(6)) > 4)
        return;  // Indistinguishable from the failure of a rack.
      const int n = ++prompt.unsuspected_crashes[call.host];
      CheckInvariant(n <= 1 || prompt.crashes_after_tokens > 0,
                     "copies of one request crash at most one server per host",
                     [&] { return prompt.text; });
      CheckCrashesOfWaitingCaller(prompt);
      return;
    }
    ++prompt.suspected_crashes;
    // More than one request that had sent fewer tokens than `proven_tokens` ran
    // there.
    const bool shared =
        std::count_if(engine.runs.begin(), engine.runs.end(),
                      [](const Run& it) { return it.emitted < 5; }) > 1;
    const bool mass_failure =
        std::count_if(recent_crashes_.begin(), recent_crashes_.end(),
                      [this](MonoTime at) { return now_ - at < seconds(15); }) >
        2;
    if (culprit.isolated &&
        (shared || mass_failure || loses_records_ || now_ < log_outage_until_))
      ++prompt.excluded_crashes;
    CheckInvariant(prompt.suspected_crashes <= 1 + prompt.excluded_crashes,
                   "a known suspect crashes at most one more server",
                   [&] { return prompt.text; });
    CheckCrashesOfWaitingCaller(prompt);
  }

  std::int64_t CrashesWithin(Duration span) const {
    return std::count_if(recent_crashes_.begin(), recent_crashes_.end(),
                         [&](MonoTime at) { return now_ - at < span; });
  }

  void CheckCrashesOfWaitingCaller(const Prompt& prompt) const {
    if (!prompt.waits_for_answer || loses_records_)
      return;
    int n = prompt.suspected_crashes - prompt.excluded_crashes;
    for (const auto& [host, crashes] : prompt.unsuspected_crashes)
      n += crashes;
    // A prompt that crashes only after it is proven takes one crash more to
    // identify.
    CheckInvariant(n <= (prompt.crashes_after_tokens > 0 ? 3 : 2),
                   "a request crashes at most two servers",
                   [&prompt] { return prompt.text; });
  }

  void AdvanceEngines() {
    while (!recent_crashes_.empty() &&
           now_ - recent_crashes_.front() > seconds(30))
      recent_crashes_.pop_front();
    for (Engine& engine : engines_) {
      for (std::size_t i = 0; i < engine.runs.size(); ++i) {
        Run& run = engine.runs[i];
        if (run.frozen || run.next_at > now_)
          continue;
        const Prompt& prompt = prompts_[calls_[run.call]->prompt];
        if (prompt.poison && run.next >= prompt.crashes_after_tokens) {
          const Run culprit = run;
          Crash(engine, &culprit);
          break;
        }
        if (!Emit(run)) {
          engine.runs.erase(engine.runs.begin() +
                            static_cast<std::ptrdiff_t>(i));
          --i;
        }
      }
    }
  }

  /// Sends the next event of the run; false if it was the last.
  bool Emit(Run& run) {
    const Call& call = *calls_[run.call];
    run.next_at = now_ + Between(milliseconds(10), milliseconds(60));
    RequestId id = call.id;
    std::uint32_t index = run.next;
    std::string text = TokenText(call, index);
    if (Chance(0.001)) {  // Mixed up with another call's answer.
      const Call& other = *calls_[random_() % calls_.size()];
      text = TokenText(other, index);
      id = other.id;
    }
    if (Chance(0.001))
      index += Chance(0.5) ? 1 : -1;
    if (Chance(0.002)) {
      run.frozen = true;
      return true;
    }
    if (Chance(0.001)) {
      Fail(run, AttemptOutcome::kConnectionLost);
      return false;
    }
    const bool truncated = Chance(0.001);
    const MonoTime at = now_ + Between(milliseconds(1), milliseconds(5));
    if (run.next >= call.tokens || truncated) {
      Schedule(at, [this, run, id] {
        Call& it = *calls_[run.call];
        Perform(run.call, it.supervisor->OnFinal(StepOf(it.host), run.attempt,
                                                 id, it.tokens));
      });
      return false;
    }
    ++run.next;
    ++run.emitted;
    Schedule(at, [this, run, id, index, text] {
      Call& it = *calls_[run.call];
      Perform(run.call, it.supervisor->OnToken(StepOf(it.host), run.attempt, id,
                                               index, text));
    });
    return true;
  }

  void DeliverEvents() {
    while (!events_.empty() && events_.top().at <= now_) {
      const std::function<void()> run = events_.top().run;
      events_.pop();
      run();
    }
    const std::vector<std::size_t> open = open_calls_;
    for (const std::size_t index : open) {
      Call& call = *calls_[index];
      if (!call.supervisor->finished() && now_ >= call.disconnect_at) {
        call.disconnect_at = MonoTime::max();
        Perform(index,
                call.supervisor->OnCallerDisconnected(StepOf(call.host)));
        CallEnded(call);
      }
      if (!call.supervisor->finished() && now_ >= call.supervisor->NextTimer())
        Perform(index, call.supervisor->OnTimer(StepOf(call.host)));
      if (call.supervisor->finished() && !call.ended)
        CallEnded(call);
    }
    std::erase_if(open_calls_, [this](std::size_t index) {
      return calls_[index]->supervisor->finished();
    });
  }

  void CallEnded(Call& call) {
    call.ended = true;
    const auto repeats = poison_repeats_.find(call.prompt);
    if (repeats == poison_repeats_.end() || repeats->second == 0)
      return;
    const int times_left = --repeats->second;
    const bool waits_for_answer = prompts_[call.prompt].waits_for_answer;
    const Duration wait = waits_for_answer
                              ? Between(seconds(1), seconds(3))
                              : Between(milliseconds(0), seconds(1));
    Schedule(now_ + wait, [this, prompt = call.prompt, times_left] {
      SendPoison(prompt, times_left);
    });
  }

  void Append(Host& host, const wire::QuarantineRecord& record) {
    wire::Envelope envelope = host.writer.Wrap(wire::RECORD_KIND_QUARANTINE,
                                               record.SerializeAsString());
    if (now_ < log_outage_until_ && !record.has_claim() && !loses_records_) {
      // The host keeps the record and appends it after the log outage.
      Schedule(log_outage_until_, [this, envelope] {
        log_.push_back({now_, envelope});
      });
      return;
    }
    if (now_ < log_outage_until_ || (loses_records_ && Chance(0.3)))
      return;
    log_.push_back({now_, std::move(envelope)});
  }

  void UpdateHosts() {
    const bool is_list_due = progress_.step % 50 == 0;
    if (is_list_due)
      RecordList();
    for (int i = 0; i < kHosts; ++i) {
      Host& host = *hosts_[i];
      if (Chance(0.02))
        host.lag = Between(milliseconds(1), kMaxLogLag - milliseconds(50));
      ReadLog(i);
      if (is_list_due)
        ReadList(host);
      for (const Engine& it : engines_) {
        if (Chance(0.02) && now_ >= it.down_until)
          host.state.router.OnReport(
              now_, {.server = it.id,
                     .measured_at = now_ - Between(milliseconds(0), seconds(2)),
                     .running = static_cast<std::uint32_t>(it.runs.size())});
      }
    }
  }

  void ReadLog(int index) {
    Host& host = *hosts_[index];
    while (host.read < log_.size() &&
           log_[host.read].appended_at + host.lag <= now_) {
      host.state.quarantine.Apply({host.read, 0}, log_[host.read].envelope);
      ++host.read;
    }
    const std::vector<ActiveIsolation> isolations =
        host.state.quarantine.Isolations(Wall());
    std::set<std::string> servers;
    for (const ActiveIsolation& it : isolations) {
      CheckInvariant(servers.insert(it.server.value()).second,
                     "no two isolation claims are valid for the same server",
                     [&it] { return it.server.value(); });
      host.state.router.Reserve(it.server, now_ + milliseconds(100));
    }
    for (const std::size_t open : open_calls_) {
      Call& call = *calls_[open];
      if (call.host != index || !call.claim_pending || !ClaimRead(call))
        continue;
      call.claim_pending = false;
      const bool granted = host.state.quarantine.HoldsClaim(
          Wall(), HostId(HostName(index)), call.claim);
      Perform(open, call.supervisor->OnIsolation(StepOf(index), granted));
    }
  }

  bool ClaimRead(const Call& call) const {
    const Host& host = *hosts_[call.host];
    for (std::size_t i = host.read; i-- > 0;) {
      wire::QuarantineRecord record;
      record.ParseFromString(log_[i].envelope.body());
      if (record.has_claim() && record.claim().host() == HostName(call.host) &&
          record.claim().number() == call.claim)
        return true;
      if (now_ - log_[i].appended_at > seconds(4))
        return false;
    }
    return false;
  }

  void RecordList() {
    ServerList list{.as_of = now_, .servers = {}};
    for (const Engine& it : engines_)
      list.servers.push_back({.id = it.id,
                              .zone = it.zone,
                              .models = {kModel},
                              .adapters = {},
                              .batch_size = 16,
                              .leaving = it.leaving_at.has_value()});
    lists_.push_back(std::move(list));
  }

  void ReadList(Host& host) {
    const MonoTime readable_until =
        now_ - Between(milliseconds(0), kMaxListLag);
    const ServerList* best = &lists_.front();
    for (const ServerList& it : lists_) {
      if (it.as_of >= readable_until)
        break;
      best = &it;
    }
    const bool is_not_older = best->as_of >= list_read_as_of_[&host];
    if (!is_not_older)
      return;
    list_read_as_of_[&host] = best->as_of;
    host.state.router.SetServers(now_, *best);
  }

  void CheckChoiceAndBudget() {
    for (const auto& host : hosts_) {
      if (list_read_as_of_.count(host.get()) == 0)
        continue;
      const bool some_not_leaving =
          std::any_of(engines_.begin(), engines_.end(), [&](const Engine& it) {
            return !host->state.router.IsLeaving(it.id);
          });
      if (!some_not_leaving)
        continue;
      RouteRequest request;
      request.model = kModel;
      request.own_zone = host->zone;
      CheckInvariant(
          host->state.router.Choose(now_, request).server.has_value(),
          "an eligible server is left when servers are ejected",
          [&host] { return host->zone.value(); });
      const double credited =
          kRetries.host_reserve +
          kRetries.per_request * static_cast<double>(host->requests) +
          kRetries.host_refill *
              std::chrono::duration<double>(now_ - start_).count();
      CheckInvariant(
          static_cast<double>(host->state.retries.taken()) <= credited + 1,
          "retries stay within the budget",
          [&host] { return std::to_string(host->state.retries.taken()); });
    }
  }

  Engine& EngineOf(const ServerId& server) {
    return *std::find_if(
        engines_.begin(), engines_.end(),
        [&server](const Engine& it) { return it.id == server; });
  }
  static std::string HostName(int host) { return "h" + std::to_string(host); }

  SoakProgress& progress_;
  std::mt19937_64 random_;
  /// Even seeds lose quarantine records.
  bool loses_records_;
  std::map<std::string, int> outcomes_;
  MonoTime now_;
  MonoTime start_ = MonoTime() + std::chrono::hours(1);
  MonoTime log_outage_until_;
  std::vector<Engine> engines_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<Prompt> prompts_;
  std::vector<std::unique_ptr<Call>> calls_;
  std::vector<std::size_t> open_calls_;
  std::map<std::size_t, int> poison_repeats_;
  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 0;
  std::vector<LogRecord> log_;
  std::deque<ServerList> lists_;
  std::map<const Host*, MonoTime> list_read_as_of_;
  std::deque<MonoTime> recent_crashes_;
};

/// Checks that accounts which always have queued requests receive tokens in
/// proportion to their weights, to within one request of each account (Goyal,
/// Vin and Cheng, SIGCOMM 1996).
void RunFairQueue(const SoakOptions& options, SoakProgress& progress) {
  constexpr double kMaxTokens = 500;
  std::mt19937_64 random(options.seed);
  FairQueue queue;
  const std::vector<double> weights = {1, 1, 2, 4};
  std::vector<double> received(weights.size());
  MonoTime now = MonoTime() + std::chrono::hours(1);
  std::uint64_t ticket = 0;
  const auto push = [&](std::size_t account) {
    queue.Push(now, {.ticket = ++ticket,
                     .account = AccountId(std::to_string(account)),
                     .model = kModel,
                     .weight = weights[account],
                     .tokens = 1 + static_cast<double>(random() % 500)});
  };
  for (std::size_t i = 0; i < weights.size(); ++i) {
    for (int n = 0; n < 20; ++n)
      push(i);
  }
  for (std::uint64_t i = 0; i < options.steps; ++i) {
    now += milliseconds(1);
    const auto next = queue.Pop(now, [](const ModelId&) { return true; });
    const std::size_t account = std::stoul(next->account.value());
    received[account] += next->tokens / weights[account];
    push(account);
    const auto extremes = std::minmax_element(received.begin(), received.end());
    const double gap = *extremes.second - *extremes.first;
    CheckInvariant(
        gap <= 2 * kMaxTokens,
        "backlogged accounts receive tokens in proportion to their weights",
        [gap] { return std::to_string(gap); });
  }
  progress.Note("fair queue run finished");
}

/// Simulates one host, three engines and one caller whose request crashes its
/// engine. The caller repeats the request immediately, in several concurrent
/// copies, and sometimes disconnects before the crash.
void RunSingleCulprit(const SoakOptions& options, SoakProgress& progress) {
  constexpr int kRounds = 50;
  std::mt19937_64 random(options.seed);
  for (int round = 0; round < kRounds; ++round) {
    MonoTime now = MonoTime() + std::chrono::hours(1);
    RoutingState state;
    ServerList list{.as_of = now, .servers = {}};
    for (const char* it : {"s0", "s1", "s2"})
      list.servers.push_back({.id = ServerId(it),
                              .zone = ZoneId("z"),
                              .models = {kModel},
                              .adapters = {}});
    state.router.SetServers(now, list);
    const auto step = [&] {
      return SupervisorStep{
          now,
          WallTime(std::chrono::duration_cast<WallTime::duration>(
              now.time_since_epoch())),
          state};
    };
    std::set<std::string> crashed;
    int isolated_crashes = 0;
    for (int repeat = 0; repeat < 6; ++repeat) {
      struct Copy {
        RequestSupervisor supervisor;
        std::optional<StartAttempt> attempt;
        bool claimed = false;
      };
      std::vector<Copy> copies;
      const std::size_t n = 1 + random() % 3;
      const auto apply = [&](Copy& copy, const SupervisorActions& actions) {
        for (const SupervisorAction& it : actions) {
          if (const auto* start = std::get_if<StartAttempt>(&it))
            copy.attempt = *start;
          copy.claimed |= std::holds_alternative<ClaimIsolation>(it);
        }
      };
      for (std::size_t i = 0; i < n; ++i) {
        SupervisedRequest request;
        request.route.request = RequestId(std::to_string(i));
        request.route.account = AccountId("a");
        request.route.model = kModel;
        request.route.own_zone = ZoneId("z");
        request.fingerprint = FingerprintOf(
            {AccountId("a"), kModel, AdapterId(), "the poisonous letter"});
        copies.push_back(
            {RequestSupervisor(SupervisorSettings{}, std::move(request)),
             std::nullopt});
        apply(copies.back(), copies.back().supervisor.Start(step()));
      }
      // At most one claim per fingerprint is granted at a time.
      bool granted = false;
      for (Copy& it : copies) {
        if (it.claimed)
          apply(it, it.supervisor.OnIsolation(step(), !granted));
        granted |= it.claimed;
      }
      now += seconds(1);
      for (Copy& it : copies)
        apply(it, it.supervisor.OnTimer(step()));
      if (random() % 2 == 0) {
        for (Copy& it : copies)
          it.supervisor.OnCallerDisconnected(step());
      }
      now += milliseconds(100);
      for (Copy& it : copies) {
        if (!it.attempt)
          continue;
        if (it.claimed)
          ++isolated_crashes;
        else
          crashed.insert(it.attempt->server.value());
        it.supervisor.OnAttemptFailed(step(), it.attempt->attempt,
                                      AttemptOutcome::kServerDied);
        it.supervisor.OnCallerDisconnected(step());
      }
      now += seconds(7);
    }
    const std::size_t crashes = crashed.size() + isolated_crashes;
    CheckInvariant(crashes <= 2,
                   "one caller's request crashes at most two servers",
                   [crashes] { return std::to_string(crashes) + " crashes"; });
  }
  progress.Note("single culprit run finished");
}

/// Simulates a suspect that runs isolated while a host that has not yet
/// received the claim sends a culprit to the same server. The crash reports of
/// the hosts arrive in any order.
void RunSharedServer(const SoakOptions& options, SoakProgress& progress) {
  constexpr int kRounds = 50;
  std::mt19937_64 random(options.seed);
  const WallTime start = WallTime(std::chrono::hours(1000));
  const auto report = [&](const std::string& server, WallTime at, int prompt,
                          bool isolated) {
    wire::CrashReport crash;
    crash.set_server(server);
    crash.set_crashed_at_ms(
        std::chrono::duration_cast<milliseconds>(at.time_since_epoch())
            .count() +
        static_cast<std::int64_t>(random() % 1000));
    wire::Suspect& suspect = *crash.add_suspects();
    suspect.set_account("a");
    suspect.set_fingerprint(prompt);
    suspect.set_isolated(isolated);
    return crash;
  };
  for (int round = 0; round < kRounds; ++round) {
    const int innocent = 1;
    const WallTime second_crash_at = start + seconds(10);
    std::vector<wire::CrashReport> reports = {
        report("s1", start, innocent, false), report("s1", start, 2, false),
        report("s2", second_crash_at, innocent, true),
        report("s2", second_crash_at, 3, false)};
    std::shuffle(reports.begin(), reports.end(), random);
    QuarantineFold fold;
    for (const wire::CrashReport& it : reports)
      fold.MergeReport(it);
    const Assessment assessment =
        fold.Assess(second_crash_at + seconds(3), {AccountId("a"), innocent});
    CheckInvariant(
        assessment.level != SuspicionLevel::kQuarantined,
        "a suspect that ran beside another unproven request is not quarantined",
        [round] { return std::to_string(round); });
  }
  progress.Note("shared server run finished");
}

/// Checks that a server is always chosen when the few servers fail often.
void RunEjection(const SoakOptions& options, SoakProgress& progress) {
  constexpr int kRounds = 2000;
  std::mt19937_64 random(options.seed);
  MonoTime now = MonoTime() + std::chrono::hours(1);
  Router router;
  ServerList list{.as_of = now, .servers = {}};
  for (const char* it : {"s0", "s1", "s2", "s3"})
    list.servers.push_back({.id = ServerId(it),
                            .zone = ZoneId("z"),
                            .models = {kModel},
                            .adapters = {}});
  router.SetServers(now, list);
  RouteRequest request;
  request.model = kModel;
  request.own_zone = ZoneId("z");
  for (int round = 0; round < kRounds; ++round) {
    now += milliseconds(random() % 300);
    const RouteChoice choice = router.Choose(now, request);
    CheckInvariant(choice.server.has_value(),
                   "an eligible server is left when servers are ejected",
                   [round] { return "round " + std::to_string(round); });
    router.OnDispatched(now, *choice.server);
    router.OnFinished(now, *choice.server,
                      random() % 4 == 0 ? AttemptOutcome::kCompleted
                                        : AttemptOutcome::kConnectFailed);
  }
  progress.Note("ejection run finished");
}

void Run(const SoakOptions& options, SoakProgress& progress) {
  RunEjection(options, progress);
  RunFairQueue(options, progress);
  RunSharedServer(options, progress);
  RunSingleCulprit(options, progress);
  FaultSimulation simulation(options, progress);
  for (progress.step = 0; progress.step < options.steps; ++progress.step)
    simulation.Step();
  simulation.PrintOutcomes();
}

}  // namespace
}  // namespace mangoport

int main(int argc, char** argv) {
  return mangoport::SoakMain(
      argc, argv,
      {"index_unchecked", "request_id_unchecked", "count_unchecked",
       "leaving_ignored", "ejection_empties_pool", "retry_budget_ignored",
       "not_run_untrue", "repeats_anything", "quarantine_ignored",
       "suspects_share", "company_convicts", "counts_convict", "claims_overlap",
       "hang_up_forgotten", "copies_spread", "share_uncharged"},
      mangoport::Run);
}
