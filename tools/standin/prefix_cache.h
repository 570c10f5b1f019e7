#ifndef MANGOPORT_TOOLS_STANDIN_PREFIX_CACHE_H_
#define MANGOPORT_TOOLS_STANDIN_PREFIX_CACHE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

#include <nlohmann/json.hpp>

#include "mangoport/core/time.h"

namespace mangoport::standin {

/// Least-recently-used cache of prompt prefixes in blocks of characters, which
/// publishes its changes late and with gaps. Thread safe.
class PrefixCache {
 public:
  PrefixCache(std::size_t max_blocks, Duration event_lag)
      : max_blocks_(max_blocks), event_lag_(event_lag) {}

  /// Stores every whole block of `prompt`; returns how many blocks were not
  /// cached and have to be computed.
  std::size_t Use(std::string_view model,
                  std::string_view prompt,
                  MonoTime now);

  /// The events from sequence number `from` on that are old enough to show.
  nlohmann::json Events(std::uint64_t from, MonoTime now);

 private:
  struct Event {
    std::uint64_t sequence;
    MonoTime at;
    bool stored;
    std::uint64_t block;
  };

  void Publish(bool stored, std::uint64_t block, MonoTime now);

  const std::size_t max_blocks_;
  const Duration event_lag_;
  std::mutex mutex_;
  /// Most recently used first.
  std::list<std::uint64_t> order_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
  std::uint64_t next_sequence_ = 0;
  std::deque<Event> events_;
};

}  // namespace mangoport::standin

#endif  // MANGOPORT_TOOLS_STANDIN_PREFIX_CACHE_H_
