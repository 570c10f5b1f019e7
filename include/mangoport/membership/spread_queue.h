#ifndef MANGOPORT_MEMBERSHIP_SPREAD_QUEUE_H_
#define MANGOPORT_MEMBERSHIP_SPREAD_QUEUE_H_

#include <algorithm>
#include <bit>
#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace mangoport {

/// How often one piece of news rides on messages until it has reached all of
/// `hosts` hosts with high probability.
inline std::size_t SendsToReach(std::size_t hosts) {
  constexpr std::size_t kSendsPerDoubling = 3;
  return kSendsPerDoubling * (std::bit_width(hosts) + 1);
}

/// News to piggyback on messages, each a limited number of times; what has
/// been sent least goes first.
template <typename Key>
class SpreadQueue {
 public:
  /// Sends `key` another `times` times.
  void Add(const Key& key, std::size_t times) { left_[key] = times; }

  /// At most `max` keys for one message.
  std::vector<Key> Take(std::size_t max) {
    std::vector<std::pair<std::size_t, Key>> order;
    for (const auto& [key, left] : left_)
      order.emplace_back(left, key);
    std::stable_sort(
        order.begin(), order.end(),
        [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<Key> taken;
    for (const auto& [left, key] : order) {
      if (taken.size() == max)
        break;
      taken.push_back(key);
      if (left > 1)
        left_[key] = left - 1;
      else
        left_.erase(key);
    }
    return taken;
  }

 private:
  std::map<Key, std::size_t> left_;
};

}  // namespace mangoport

#endif  // MANGOPORT_MEMBERSHIP_SPREAD_QUEUE_H_
