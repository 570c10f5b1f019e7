#include "mangoport/entryhost/log_appender.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "interruptible_sleep.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxQueuedRecords = 8192;
constexpr std::size_t kMaxBatchRecords = 512;
constexpr std::size_t kMaxBatchBytes = std::size_t{512} * 1024;
constexpr Duration kAppendTimeout = milliseconds(1000);
constexpr Duration kRetryPause = milliseconds(100);

/// Maximum number of attempts to append a batch before its records are
/// dropped.
constexpr int kMaxAppends = 8;

}  // namespace

LogAppender::LogAppender(LogService& log, StreamId stream, WriterId writer)
    : log_(log),
      stream_(std::move(stream)),
      writer_(std::move(writer)),
      thread_([this](const std::stop_token& stop) { Run(stop); }) {}

LogAppender::~LogAppender() {
  thread_.request_stop();
  thread_.join();
  for (const Pending& it : queue_) {
    if (it.done)
      it.done({AppendStatus::kRefused, 0});
  }
}

bool LogAppender::Append(wire::RecordKind kind, std::string body, OnDone done) {
  const std::lock_guard lock(mutex_);
  if (queue_.size() >= kMaxQueuedRecords)
    return false;
  queue_.push_back({writer_.Wrap(kind, std::move(body)), std::move(done)});
  wake_.notify_one();
  return true;
}

void LogAppender::SetObserver(
    std::function<void(const AppendResult&)> observer) {
  const std::lock_guard lock(mutex_);
  observer_ = std::move(observer);
}

void LogAppender::Run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    const std::vector<Pending> batch = TakeBatch(stop);
    if (batch.empty())
      continue;
    const AppendResult result = AppendBatch(stop, batch);
    for (const Pending& it : batch) {
      if (it.done)
        it.done(result);
    }
  }
}

std::vector<LogAppender::Pending> LogAppender::TakeBatch(
    const std::stop_token& stop) {
  std::unique_lock lock(mutex_);
  wake_.wait(lock, stop, [this] { return !queue_.empty(); });
  std::size_t n = 0;
  std::size_t bytes = 0;
  while (n < queue_.size() && n < kMaxBatchRecords && bytes < kMaxBatchBytes) {
    bytes += queue_[n].record.body().size();
    ++n;
  }
  const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(n);
  std::vector<Pending> batch(std::make_move_iterator(queue_.begin()),
                             std::make_move_iterator(end));
  queue_.erase(queue_.begin(), end);
  return batch;
}

AppendResult LogAppender::AppendBatch(const std::stop_token& stop,
                                      const std::vector<Pending>& batch) {
  std::vector<wire::Envelope> records;
  for (const Pending& it : batch)
    records.push_back(it.record);
  const std::string payload = EncodeBatch(records);
  bool may_be_in_log = false;
  for (int i = 0; i < kMaxAppends && !stop.stop_requested(); ++i) {
    if (i != 0)
      SleepUnlessStopped(stop, kRetryPause * i);
    const AppendResult result = log_.Append(stream_, payload, kAppendTimeout);
    if (observer_)
      observer_(result);
    if (result.status == AppendStatus::kAppended)
      return result;
    may_be_in_log = may_be_in_log || result.status == AppendStatus::kUnknown;
  }
  return {may_be_in_log ? AppendStatus::kUnknown : AppendStatus::kRefused, 0};
}

}  // namespace mangoport
