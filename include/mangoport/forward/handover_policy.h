#ifndef MANGOPORT_FORWARD_HANDOVER_POLICY_H_
#define MANGOPORT_FORWARD_HANDOVER_POLICY_H_

#include <optional>

#include "mangoport/core/time.h"

namespace mangoport {

/// Two servers work on a request for no longer than this. Longer than it takes
/// to make a connection or to refuse a request.
constexpr Duration kHandoverTime = std::chrono::milliseconds(350);

/// What is known of an attempt whose server may be silent.
struct AttemptSilence {
  /// When the attempt's last byte came; the send before the first one.
  MonoTime last_byte_at;
  /// Since the server sent this host anything.
  Duration server_silence{};
  /// Since the server sent any host anything.
  Duration server_silence_to_all{};
  /// Events have been passed on.
  bool answer_begun = false;
  /// When the caller of a stream leaves for the lack of an event.
  std::optional<MonoTime> caller_leaves_at;
};

/// When the request of a silent attempt is to be offered to another server, as
/// far as is known at `now`; in the past if it is due. A server that goes on in
/// the meantime moves it, always to a later time.
MonoTime OfferDueAt(MonoTime now, const AttemptSilence& attempt);

/// What is known at the end of the time for which two servers may work.
struct HandoverState {
  /// The successor has begun a success that fits.
  bool accepted = false;
  /// Since the server of the attempt under way sent this host anything.
  Duration server_silence{};
  /// Since it sent any host anything.
  Duration server_silence_to_all{};
  /// Events have been passed on.
  bool answer_begun = false;
};

/// True if the successor is kept and the attempt under way given up, false for
/// the contrary.
bool PrefersSuccessor(const HandoverState& state);

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_HANDOVER_POLICY_H_
