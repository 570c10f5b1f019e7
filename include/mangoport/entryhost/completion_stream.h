#ifndef MANGOPORT_ENTRYHOST_COMPLETION_STREAM_H_
#define MANGOPORT_ENTRYHOST_COMPLETION_STREAM_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "mangoport/core/error.h"
#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/entryhost/attempt_inbox.h"
#include "mangoport/entryhost/backend_directory.h"
#include "mangoport/entryhost/quarantine_service.h"
#include "mangoport/ports/engine.h"
#include "mangoport/routing/request_supervisor.h"
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
  QuarantineService* quarantine = nullptr;
  HostMetrics* metrics = nullptr;
  BackendTimeouts timeouts;
};

/// One caller's answer, pulled token by token.
///
/// A `RequestSupervisor` decides; this class carries its actions out, with one
/// reading thread per attempt, and hands the engines' events to it.
class CompletionStream {
 public:
  CompletionStream(CompletionContext context, CompletionRequest request);

  /// Cancels what is still running. Waits for a moment if the request could
  /// still crash its backend server.
  ~CompletionStream();

  CompletionStream(const CompletionStream&) = delete;
  CompletionStream& operator=(const CompletionStream&) = delete;

  /// Waits for the next step. After an end or an error there is none.
  CompletionStep Next();

  std::uint32_t tokens() const { return supervisor_.delivered(); }

 private:
  using Decision = std::function<SupervisorActions(SupervisorStep)>;

  void Decide(const Decision& decision);
  /// Waits for one event or timer and decides on it.
  void Advance();
  bool AnswerClaim();
  void OnEvent(std::uint32_t attempt, const TokenEvent& event);
  void OnEnded(std::uint32_t attempt, const CompletionResult& result);
  AttemptOutcome OutcomeOf(std::uint32_t attempt,
                           const CompletionResult& result) const;

  void Do(const StartAttempt& action);
  void Do(const CancelAttempt& action);
  void Do(const DeliverToken& action);
  void Do(const ClaimIsolation& action);
  void Do(const EndIsolation& action);
  void Do(const ClearSuspicion& action);
  void Do(const SendCrashReport& action);
  void Do(const FinishRequest& action);

  CompletionContext context_;
  CompletionRequest request_;
  Fingerprint fingerprint_;
  RequestSupervisor supervisor_;
  /// Shared with reading threads, which may outlive the stream.
  std::shared_ptr<AttemptInbox> inbox_ = std::make_shared<AttemptInbox>();
  std::unordered_map<std::uint32_t, Endpoint> endpoints_;
  std::deque<CompletionStep> steps_;
  bool started_ = false;
  /// The isolation claim asked for; zero if none is held or asked for.
  std::uint64_t claim_ = 0;
  bool claim_answered_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_ENTRYHOST_COMPLETION_STREAM_H_
