#ifndef MANGOPORT_TOOLS_STANDIN_TOKEN_BUCKET_H_
#define MANGOPORT_TOOLS_STANDIN_TOKEN_BUCKET_H_

#include <mutex>

#include "mangoport/core/time.h"

namespace mangoport::standin {

/// A rate limit with a burst. Thread safe.
class TokenBucket {
 public:
  TokenBucket(double per_second, double burst);

  /// Takes one token if there is one at `now`.
  bool TryTake(MonoTime now);

 private:
  const double per_second_;
  const double burst_;
  std::mutex mutex_;
  double level_;
  MonoTime filled_at_;
};

}  // namespace mangoport::standin

#endif  // MANGOPORT_TOOLS_STANDIN_TOKEN_BUCKET_H_
