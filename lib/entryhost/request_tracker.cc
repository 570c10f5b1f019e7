#include "mangoport/entryhost/request_tracker.h"

namespace mangoport {

RequestTracker::Scope RequestTracker::Begin() {
  {
    const std::lock_guard lock(state_->mutex);
    ++state_->active;
  }
  return {nullptr, [state = state_](void* /*unused*/) {
            const std::lock_guard lock(state->mutex);
            --state->active;
            if (state->active == 0)
              state->idle.notify_all();
          }};
}

std::uint64_t RequestTracker::active() const {
  const std::lock_guard lock(state_->mutex);
  return state_->active;
}

bool RequestTracker::WaitUntilIdle(Duration timeout) {
  std::unique_lock lock(state_->mutex);
  return state_->idle.wait_for(lock, timeout,
                               [this] { return state_->active == 0; });
}

}  // namespace mangoport
