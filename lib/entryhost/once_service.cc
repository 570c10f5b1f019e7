#include "mangoport/entryhost/once_service.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>
#include <variant>

#include "interruptible_sleep.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;

constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kAppendTimeout = milliseconds(1000);

/// Maximum time an appender sleeps while it has work that is not yet due.
constexpr Duration kAppendPoll = milliseconds(10);

/// Maximum time a stopping host waits for its last outcomes to be recorded.
constexpr Duration kFlushTimeout = std::chrono::seconds(3);

OnceSettings ToOnceSettings(const ClaimSettings& claims) {
  constexpr std::uint32_t kMaxJitterPermille = 500;
  OnceSettings settings;
  settings.append_interval = claims.append_interval;
  settings.claim_wait = claims.claim_wait;
  settings.max_wait = claims.outcome_wait;
  settings.carry_interval = claims.carry_interval;
  settings.carry_jitter_permille = std::random_device{}() % kMaxJitterPermille;
  return settings;
}

DispatchResult ToDispatchResult(PlainAnswer answer) {
  DispatchResult result;
  if (!answer.answered) {
    result.kind = answer.error.not_run ? DispatchResult::Kind::kNotSent
                                       : DispatchResult::Kind::kUnknown;
    return result;
  }
  result.kind = DispatchResult::Kind::kDone;
  result.response = {static_cast<std::uint32_t>(answer.http_status),
                     std::move(answer.content_type), std::move(answer.body),
                     true};
  return result;
}

PlainAnswer ToPlainAnswer(const OnceAnswer& answer) {
  PlainAnswer result;
  if (answer.kind != OnceAnswerKind::kDone) {
    result.error = ErrorFor(answer);
    return result;
  }
  result.answered = true;
  result.http_status = static_cast<int>(answer.response->status);
  result.content_type = answer.response->content_type;
  result.body = answer.response->body;
  return result;
}

PlainAnswer Refusal(Error error) {
  PlainAnswer answer;
  answer.error = std::move(error);
  return answer;
}

}  // namespace

OnceService::OnceService(LogService& log,
                         const WriterId& self,
                         const ClaimSettings& settings,
                         RunPlain run_plain)
    : log_(log), run_plain_(std::move(run_plain)) {
  for (std::uint32_t i = 0; i < kClaimPartitions; ++i) {
    partitions_.push_back(
        std::make_unique<Partition>(self, ToOnceSettings(settings)));
    StartPartition(i, *partitions_.back());
  }
  ticker_ =
      std::jthread([this](const std::stop_token& stop) { RunTicks(stop); });
}

OnceService::~OnceService() {
  const MonoTime deadline = steady_clock::now() + kFlushTimeout;
  while (!AllRecorded() && steady_clock::now() < deadline)
    std::this_thread::sleep_for(kTickInterval);
  for (const auto& it : partitions_)
    it->appender.request_stop();
}

void OnceService::StartPartition(std::uint32_t number, Partition& partition) {
  const StreamId stream = ClaimStream(number);
  partition.follower = std::make_unique<LogFollower>(
      log_, stream,
      [&partition] {
        const std::lock_guard lock(partition.mutex);
        return partition.executor.next_offset();
      },
      [&partition](MonoTime /*requested_at*/, const LogPage& page) {
        const std::lock_guard lock(partition.mutex);
        const MonoTime now = steady_clock::now();
        partition.executor.OnPage(now, page);
        partition.Deliver(now);
      });
  partition.appender =
      std::jthread([this, stream, &partition](const std::stop_token& stop) {
        RunAppends(stop, stream, partition);
      });
}

void OnceService::RunAppends(const std::stop_token& stop,
                             const StreamId& stream,
                             Partition& partition) {
  std::unique_lock lock(partition.mutex);
  while (!stop.stop_requested()) {
    const std::optional<std::string> batch =
        partition.executor.TakeBatch(steady_clock::now(), system_clock::now());
    if (!batch) {
      partition.append_due.wait_for(lock, stop, kAppendPoll,
                                    [] { return false; });
      continue;
    }
    lock.unlock();
    const AppendResult result = log_.Append(stream, *batch, kAppendTimeout);
    lock.lock();
    const MonoTime now = steady_clock::now();
    partition.executor.OnAppendResult(now, result.status);
    partition.Deliver(now);
  }
}

void OnceService::RunTicks(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    SleepUnlessStopped(stop, kTickInterval);
    for (const auto& it : partitions_) {
      const std::lock_guard lock(it->mutex);
      const MonoTime now = steady_clock::now();
      it->executor.OnTick(now, system_clock::now());
      it->Deliver(now);
    }
  }
}

void OnceService::Partition::Deliver(MonoTime now) {
  const std::vector<OnceAction> actions = executor.TakeActions();
  for (const OnceAction& it : actions) {
    if (const auto* answer = std::get_if<OnceAnswer>(&it)) {
      const auto slot = slots.find(answer->request);
      if (slot != slots.end())
        slot->second.answer = *answer;
      continue;
    }
    const auto& dispatch = std::get<DispatchAction>(it);
    const auto slot = slots.find(dispatch.request);
    if (slot != slots.end())
      slot->second.dispatch = dispatch;
    else
      executor.OnDispatchResult(now, dispatch.key,
                                {DispatchResult::Kind::kNotSent, {}});
  }
  if (!actions.empty())
    changed.notify_all();
}

PlainAnswer OnceService::Run(const PlainRequest& request) {
  // Without a client account, callers would share idempotency keys and answers.
  if (request.account.empty()) {
    return Refusal({ErrorCode::kForbidden,
                    "a route that is open to all must be idempotent", true});
  }
  if (!IsValidIdempotencyKey(request.idempotency_key))
    return Refusal(MissingKeyError());
  OnceRequest once;
  once.id = request.request;
  once.key = MakeClaimKey(request.account, request.idempotency_key);
  once.body =
      MakeRequestFingerprint(request.method, request.path, request.body);
  once.key_created = KeyCreatedAt(request.idempotency_key);
  once.deadline = request.deadline;
  return ToPlainAnswer(
      Await(request, once, *partitions_[PartitionOf(once.key)]));
}

OnceAnswer OnceService::Await(const PlainRequest& request,
                              const OnceRequest& once,
                              Partition& partition) {
  std::unique_lock lock(partition.mutex);
  Slot& slot = partition.slots[once.id];
  const MonoTime arrived = steady_clock::now();
  partition.executor.OnRequest(arrived, system_clock::now(), once);
  partition.Deliver(arrived);
  partition.append_due.notify_one();
  while (true) {
    partition.changed.wait(lock,
                           [&slot] { return slot.dispatch || slot.answer; });
    // Every dispatch must be followed by its result, whatever the caller was
    // answered.
    if (!slot.dispatch) {
      OnceAnswer answer = *std::move(slot.answer);
      partition.slots.erase(once.id);
      return answer;
    }
    slot.dispatch.reset();
    lock.unlock();
    DispatchResult result = ToDispatchResult(run_plain_(request));
    lock.lock();
    const MonoTime now = steady_clock::now();
    partition.executor.OnDispatchResult(now, once.key, result);
    partition.Deliver(now);
    partition.append_due.notify_one();
  }
}

bool OnceService::AllRecorded() const {
  for (const auto& it : partitions_) {
    const std::lock_guard lock(it->mutex);
    if (it->executor.unrecorded_outcomes() > 0)
      return false;
  }
  return true;
}

std::string OnceService::StatusJson() const {
  nlohmann::json streams = nlohmann::json::array();
  for (std::uint32_t i = 0; i < kClaimPartitions; ++i) {
    Partition& partition = *partitions_[i];
    const std::lock_guard lock(partition.mutex);
    const ClaimFold& fold = partition.executor.fold();
    streams.push_back(
        {{"stream", ClaimStream(i).value()},
         {"complete", fold.complete()},
         {"keys", fold.size()},
         {"open_keys", partition.executor.open_keys()},
         {"unrecorded_outcomes", partition.executor.unrecorded_outcomes()},
         {"next_offset", fold.next_offset()},
         {"carried_up_to", fold.covered_up_to()},
         {"damaged_records", fold.damaged_records()}});
  }
  return streams.dump();
}

}  // namespace mangoport
