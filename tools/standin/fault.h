#ifndef MANGOPORT_TOOLS_STANDIN_FAULT_H_
#define MANGOPORT_TOOLS_STANDIN_FAULT_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "mangoport/core/time.h"

namespace mangoport::standin {

enum class FaultKind {
  kDelay,
  kDrop,
  kLoseAnswer,
  kOutage,
  kFreeze,
  kFreezeAfter,
  kCrashOn,
};

/// One planted fault. README.md says what each kind does with its members.
struct Fault {
  FaultKind kind = FaultKind::kDelay;
  std::string path_contains;
  /// Time for which a delay holds an answer back.
  Duration delay{};
  /// When an outage ends.
  MonoTime until;
  /// How many more requests or streams it may hit.
  std::uint64_t remaining = 0;
  /// How many tokens a stream may send before it freezes.
  std::uint64_t after_tokens = 0;
  /// The text that makes the process exit.
  std::string marker;
};

/// What happens to one request.
struct Verdict {
  Duration delay{};
  bool outage = false;
  bool drop = false;
  bool lose_answer = false;
  bool freeze = false;
};

/// The faults that are on. Thread safe.
class FaultPlan {
 public:
  /// Reads a body of POST /standin/fault and applies it; returns an error
  /// message, or an empty string.
  std::string Apply(std::string_view body, MonoTime now);

  void AddCrashMarker(std::string marker);

  /// Decides about one request and uses up what it takes.
  Verdict Judge(std::string_view path, MonoTime now);

  /// True if a running stream that has sent `tokens` falls silent now.
  bool TakeStreamFreeze(std::string_view path, std::uint64_t tokens);

  /// True if `body` contains a marker on which the process must crash.
  bool IsCrashing(std::string_view body) const;

  std::vector<std::string> CrashMarkers() const;

 private:
  mutable std::mutex mutex_;
  std::vector<Fault> faults_;
};

}  // namespace mangoport::standin

#endif  // MANGOPORT_TOOLS_STANDIN_FAULT_H_
