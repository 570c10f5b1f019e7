#ifndef MANGOPORT_MEMBERSHIP_DISSEMINATION_QUEUE_H_
#define MANGOPORT_MEMBERSHIP_DISSEMINATION_QUEUE_H_

#include <algorithm>
#include <bit>
#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace mangoport {

/// The number of messages to which one update must be added to reach all of
/// `hosts` hosts with high probability.
inline std::size_t TransmissionsToReach(std::size_t hosts) {
  constexpr std::size_t kTransmissionsPerDoubling = 3;
  return kTransmissionsPerDoubling * (std::bit_width(hosts) + 1);
}

/// Updates to piggyback on messages. Each is sent a limited number of times,
/// and updates with the most remaining transmissions are sent first.
template <typename Key>
class DisseminationQueue {
 public:
  /// Schedules `key` for `times` transmissions, replacing any earlier count.
  void Add(const Key& key, std::size_t times) { remaining_[key] = times; }

  /// Returns at most `max` keys for one message.
  std::vector<Key> Take(std::size_t max) {
    std::vector<std::pair<std::size_t, Key>> order;
    for (const auto& [key, remaining] : remaining_)
      order.emplace_back(remaining, key);
    std::stable_sort(
        order.begin(), order.end(),
        [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<Key> taken;
    for (const auto& [remaining, key] : order) {
      if (taken.size() == max)
        break;
      taken.push_back(key);
      if (remaining > 1)
        remaining_[key] = remaining - 1;
      else
        remaining_.erase(key);
    }
    return taken;
  }

 private:
  std::map<Key, std::size_t> remaining_;
};

}  // namespace mangoport

#endif  // MANGOPORT_MEMBERSHIP_DISSEMINATION_QUEUE_H_
