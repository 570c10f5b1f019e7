#ifndef MANGOPORT_ENTRYHOST_EVENT_CHANNEL_H_
#define MANGOPORT_ENTRYHOST_EVENT_CHANNEL_H_

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

#include "mangoport/core/time.h"
#include "mangoport/ports/engine.h"

namespace mangoport {

/// Carries the events of one attempt from the thread that reads the engine's
/// stream to the one that serves the caller.
///
/// An abandoned channel tells the reader to stop at its next event; nothing
/// that arrives late can reach a caller through it.
class EventChannel {
 public:
  enum class WaitStatus { kEvent, kEnded, kTimeout };

  struct Item {
    WaitStatus status = WaitStatus::kTimeout;
    TokenEvent event;
    CompletionResult result;
  };

  /// Reader's side. Blocks while the caller's side is far behind; false once
  /// the channel is abandoned.
  bool Push(const TokenEvent& event);

  /// Reader's side: the call has ended.
  void End(CompletionResult result);

  /// Caller's side: the next event, or the call's end after all events.
  Item WaitUntil(MonoTime deadline);

  /// Caller's side: drops all that is still to come.
  void Abandon();

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<TokenEvent> events_;
  std::optional<CompletionResult> result_;
  bool abandoned_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_ENTRYHOST_EVENT_CHANNEL_H_
