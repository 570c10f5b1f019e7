#ifndef MANGOPORT_ENTRYHOST_LOG_APPENDER_H_
#define MANGOPORT_ENTRYHOST_LOG_APPENDER_H_

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/ledger/envelope.h"
#include "mangoport/ports/log_service.h"

namespace mangoport {

/// Appends records to one stream, many in one entry, on a thread of its own.
///
/// While one append is under way, records gather for the next: the log's rate
/// of appends bounds the entries, not the records. An append without an answer
/// is sent again with the same sequence numbers, so that it folds once.
class LogAppender {
 public:
  /// Called once for each record, on the appender's thread. With `kRefused`
  /// the record is certainly not in the log; with `kUnknown` it may be.
  using OnDone = std::function<void(AppendResult)>;

  LogAppender(LogService& log, StreamId stream, WriterId writer);

  /// Records that have not been sent are answered as refused.
  ~LogAppender();

  LogAppender(const LogAppender&) = delete;
  LogAppender& operator=(const LogAppender&) = delete;

  /// Queues a record. `done` may be empty. False if the queue is full: the
  /// record is then dropped and `done` is not called.
  bool Append(wire::RecordKind kind, std::string body, OnDone done);

  /// Observes each append's outcome, for metrics. Set before the first append.
  void SetObserver(std::function<void(const AppendResult&)> observer);

  const StreamId& stream() const { return stream_; }
  const WriterId& writer() const { return writer_.writer(); }

 private:
  struct Pending {
    wire::Envelope record;
    OnDone done;
  };

  void Run(const std::stop_token& stop);
  std::vector<Pending> TakeBatch(const std::stop_token& stop);
  AppendResult AppendBatch(const std::stop_token& stop,
                           const std::vector<Pending>& batch);

  LogService& log_;
  StreamId stream_;
  std::function<void(const AppendResult&)> observer_;
  std::mutex mutex_;
  std::condition_variable_any wake_;
  RecordWriter writer_;
  std::vector<Pending> queue_;
  std::jthread thread_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ENTRYHOST_LOG_APPENDER_H_
