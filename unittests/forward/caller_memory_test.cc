#include "mangoport/forward/caller_memory.h"

#include <cstddef>
#include <memory>
#include <vector>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

constexpr std::size_t kBound = 1000;

/// Connections that free what they hold when they are given up.
class Connections {
 public:
  void Add(std::size_t bytes, bool may_give_up) {
    const std::size_t i = shares_.size();
    given_up_.push_back(false);
    shares_.push_back(std::make_unique<CallerMemory::Share>(memory_, [this, i] {
      given_up_[i] = true;
      shares_[i]->Set(0, false);
    }));
    shares_[i]->Set(bytes, may_give_up);
  }
  void Set(std::size_t i, std::size_t bytes, bool may_give_up) {
    shares_[i]->Set(bytes, may_give_up);
  }
  void End(std::size_t i) { shares_[i].reset(); }
  bool given_up(std::size_t i) const { return given_up_[i]; }
  CallerMemory& memory() { return memory_; }

 private:
  CallerMemory memory_{kBound};
  std::vector<std::unique_ptr<CallerMemory::Share>> shares_;
  std::vector<bool> given_up_;
};

// Each connection had a bound of its own, and all together had none. An
// ordinary request must not be given up for a crowd's large ones.
Test(caller_memory, the_largest_are_given_up_until_the_bound_holds) {
  Connections it;
  it.Add(600, true);
  it.Add(5, true);
  it.Add(700, true);
  it.Add(300, true);
  it.memory().Enforce();
  cr_assert(it.given_up(2));
  cr_assert_not(it.given_up(0));
  cr_assert_not(it.given_up(1));
  cr_assert_not(it.given_up(3));
  cr_assert_eq(it.memory().bytes(), 905);
  cr_assert_eq(it.memory().given_up(), 1);
}

// Work that a server has must not be lost for what has not arrived yet.
Test(caller_memory, what_is_under_way_is_not_given_up) {
  Connections it;
  it.Add(2000, false);
  it.Add(10, true);
  it.memory().Enforce();
  cr_assert_not(it.given_up(0));
  cr_assert(it.given_up(1));
}

// A connection that ends, or whose request was answered, holds nothing.
Test(caller_memory, an_ended_connection_counts_for_nothing) {
  Connections it;
  it.Add(900, true);
  it.Add(900, true);
  it.End(0);
  it.memory().Enforce();
  cr_assert_not(it.given_up(1));
  it.Set(1, 100, false);
  cr_assert_eq(it.memory().bytes(), 100);
}

// The bound must leave room for one request of the greatest legal size.
Test(caller_memory, a_small_machine_has_room_for_a_large_request) {
  constexpr std::size_t kMb = std::size_t{1024} * 1024;
  cr_assert_geq(CallerMemoryBound(32 * kMb), 16 * kMb);
  cr_assert_eq(CallerMemoryBound(512 * kMb), 128 * kMb);
}

}  // namespace
}  // namespace mangoport
