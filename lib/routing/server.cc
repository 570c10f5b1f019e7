#include "mangoport/routing/server.h"

namespace mangoport {

bool ProvesNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kRefusedLeaving ||
         outcome == AttemptOutcome::kRefusedBusy ||
         outcome == AttemptOutcome::kConnectFailed;
}

bool IsServerFailure(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kConnectFailed:
    case AttemptOutcome::kTimedOut:
    case AttemptOutcome::kConnectionLost:
    case AttemptOutcome::kServerDied:
    case AttemptOutcome::kInvalidAnswer:
      return true;
    case AttemptOutcome::kCompleted:
    case AttemptOutcome::kCancelled:
    case AttemptOutcome::kRefusedLeaving:
    case AttemptOutcome::kRefusedBusy:
      return false;
  }
  return false;
}

}  // namespace mangoport
