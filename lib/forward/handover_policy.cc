#include "mangoport/forward/handover_policy.h"

namespace mangoport {
namespace {

/// A server that has work and sends no host anything for so long is taken for
/// dead.
constexpr Duration kServerSilence = std::chrono::milliseconds(700);

/// The same for a server that other hosts hear, if it sends this one nothing:
/// the way to it may be cut.
constexpr Duration kPathSilence = std::chrono::milliseconds(1400);

}  // namespace

bool PrefersSuccessor(const HandoverState& state) {
  if (state.accepted)
    return true;
  // Neither has shown that it goes on: what has begun is not given up unless
  // only the other server lives.
  const bool server_silent = state.server_silence_to_all > kServerSilence ||
                             state.server_silence > kPathSilence;
  if (!server_silent)
    return false;
  return state.successor_heard || !state.answer_begun;
}

}  // namespace mangoport
