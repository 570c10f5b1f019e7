#ifndef MANGOPORT_ENTRYHOST_COMPLETION_STREAM_H_
#define MANGOPORT_ENTRYHOST_COMPLETION_STREAM_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mangoport/core/error.h"
#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/entryhost/backend_directory.h"
#include "mangoport/entryhost/event_channel.h"
#include "mangoport/ports/engine.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {

class HostMetrics;

/// One caller's completion, as the entry host runs it.
struct CompletionRequest {
  RequestId request;
  AccountId account;
  ModelId model;
  AdapterId adapter;
  std::string prompt;
  std::uint32_t max_tokens = 0;
  std::int32_t priority = 0;
  std::uint64_t prefix_hash = 0;
  MonoTime deadline;
};

/// What comes next in an answer.
struct CompletionStep {
  enum class Kind { kToken, kEnd, kError };

  Kind kind = Kind::kError;
  std::string text;
  Error error;
  /// When a refused request may be worth repeating; zero if unknown.
  Duration retry_after{};
};

/// What a stream needs; all of it outlives the stream.
struct CompletionContext {
  std::shared_ptr<EngineClient> engines;
  BackendDirectory* backends = nullptr;
  HostMetrics* metrics = nullptr;
  BackendTimeouts timeouts;
};

/// One caller's answer, pulled token by token.
///
/// The answer comes from one attempt at a time. An attempt that breaks off or
/// goes silent is dropped and another engine goes on at the next token, so the
/// caller gets every token once and in order, or an error. An answer is whole
/// only if the engine's final event counts the tokens that were handed on.
class CompletionStream {
 public:
  CompletionStream(CompletionContext context, CompletionRequest request);

  /// Cancels what is still running.
  ~CompletionStream();

  CompletionStream(const CompletionStream&) = delete;
  CompletionStream& operator=(const CompletionStream&) = delete;

  /// Waits for the next step. After an end or an error there is none.
  CompletionStep Next();

  std::uint32_t tokens() const { return next_index_; }

 private:
  std::optional<CompletionStep> StartAttempt(MonoTime now);
  std::optional<CompletionStep> TakeEvent(MonoTime now,
                                          const TokenEvent& event);
  void EndAttempt(MonoTime now, AttemptOutcome outcome);
  CompletionStep Fail(ErrorCode code, std::string message);
  MonoTime ProgressDeadline(MonoTime now) const;

  CompletionContext context_;
  CompletionRequest request_;
  std::shared_ptr<EventChannel> attempt_;
  ServerId server_;
  MonoTime attempt_started_;
  std::uint32_t attempts_ = 0;
  std::uint32_t next_index_ = 0;
  /// True once an ended attempt may have run on a backend server.
  bool may_have_run_ = false;
  std::vector<ServerId> excluded_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ENTRYHOST_COMPLETION_STREAM_H_
