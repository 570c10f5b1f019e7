#ifndef MANGOPORT_ENTRYHOST_ATTEMPT_INBOX_H_
#define MANGOPORT_ENTRYHOST_ATTEMPT_INBOX_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <set>

#include "mangoport/core/time.h"
#include "mangoport/ports/engine.h"

namespace mangoport {

/// Carries the events of one request's attempts from the threads that read the
/// engines' streams to the one that serves the caller.
///
/// A closed attempt is cancelled at its next event; nothing that it still sends
/// reaches the caller's side.
class AttemptInbox {
 public:
  enum class Kind { kEvent, kEnded, kTimeout };

  struct Item {
    Kind kind = Kind::kTimeout;
    std::uint32_t attempt = 0;
    TokenEvent event;
    CompletionResult result;
  };

  /// Caller's side: events of `attempt` count from now on.
  void Open(std::uint32_t attempt);

  /// Reader's side. Blocks while the caller's side is far behind; false once
  /// the attempt is closed.
  bool Push(std::uint32_t attempt, const TokenEvent& event);

  /// Reader's side: the call has ended.
  void End(std::uint32_t attempt, CompletionResult result);

  /// Caller's side: the next item of an open attempt, in order of arrival.
  Item WaitUntil(MonoTime deadline);

  /// Caller's side: drops all that `attempt` has sent and will send.
  void Close(std::uint32_t attempt);

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::set<std::uint32_t> open_;
  std::deque<Item> items_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ENTRYHOST_ATTEMPT_INBOX_H_
