#include "mangoport/forward/handover_policy.h"

#include <algorithm>

namespace mangoport {
namespace {

/// A server that has work and sends no host anything for so long is taken for
/// dead, as far as a whole request may run elsewhere.
constexpr Duration kServerSilence = std::chrono::milliseconds(700);

/// The same for a server that other hosts hear, if it sends this one nothing
/// (the way to it may be cut), and for a stream without an event whose server
/// answers others.
constexpr Duration kPathSilence = std::chrono::milliseconds(1400);

/// A sound server may be silent for a second. Its streams bear that, and no
/// stream moves sooner.
constexpr Duration kSoundSilence = std::chrono::seconds(1);

/// For an offer that is not taken, one that is, and the way to the caller.
constexpr Duration kOfferLead =
    2 * kHandoverTime + std::chrono::milliseconds(100);

/// How long a path or a stream may be silent.
MonoTime PathDueAt(const AttemptSilence& attempt) {
  const MonoTime latest = attempt.last_byte_at + kPathSilence;
  if (!attempt.caller_leaves_at)
    return latest;
  return std::clamp(*attempt.caller_leaves_at - kOfferLead,
                    attempt.last_byte_at + kSoundSilence, latest);
}

}  // namespace

MonoTime OfferDueAt(MonoTime now, const AttemptSilence& attempt) {
  const MonoTime path_due = PathDueAt(attempt);
  if (attempt.answer_begun && path_due <= now)
    return path_due;
  const Duration path_silence = path_due - attempt.last_byte_at;
  const MonoTime to_this_host =
      std::max(path_due, now - attempt.server_silence + path_silence);
  const Duration server_silence =
      attempt.caller_leaves_at ? kSoundSilence : kServerSilence;
  const MonoTime to_all =
      std::max(attempt.last_byte_at + server_silence,
               now - attempt.server_silence_to_all + server_silence);
  const MonoTime due = std::min(to_this_host, to_all);
  return attempt.answer_begun ? std::min(due, path_due) : due;
}

bool PrefersSuccessor(const HandoverState& state) {
  if (state.accepted)
    return true;
  // An answer that has begun is given up only for one that has begun.
  if (state.answer_begun)
    return false;
  return state.server_silence_to_all > kServerSilence ||
         state.server_silence > kPathSilence;
}

}  // namespace mangoport
