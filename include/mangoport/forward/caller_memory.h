#ifndef MANGOPORT_FORWARD_CALLER_MEMORY_H_
#define MANGOPORT_FORWARD_CALLER_MEMORY_H_

#include <cstddef>
#include <functional>
#include <set>
#include <utility>

namespace mangoport {

/// Bounds the memory that a host holds for all its callers together: requests
/// that are arriving or under way, what is sent ahead, and answers that are not
/// read.
///
/// Each connection states what it holds, and whether it can be given up: it has
/// an unfinished request, or its caller does not read. When all together exceed
/// the bound, those that hold most are given up first, so that callers with
/// ordinary requests are served beside a crowd that fills the memory.
class CallerMemory {
 public:
  explicit CallerMemory(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  CallerMemory(const CallerMemory&) = delete;
  CallerMemory& operator=(const CallerMemory&) = delete;

  /// What one connection holds.
  class Share {
   public:
    /// `give_up` refuses the connection's request or closes it, and frees what
    /// it holds.
    Share(CallerMemory& memory, std::function<void()> give_up)
        : memory_(memory), give_up_(std::move(give_up)) {}
    ~Share() { Set(0, /*may_give_up=*/false); }

    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    void Set(std::size_t bytes, bool may_give_up);

   private:
    friend class CallerMemory;

    CallerMemory& memory_;
    std::function<void()> give_up_;
    std::size_t bytes_ = 0;
    bool may_give_up_ = false;
  };

  /// Gives up the largest shares until the bound holds or none is left. Called
  /// at the end of a connection's read or from a timer: any connection may be
  /// given up in the call.
  void Enforce();

  std::size_t bytes() const { return bytes_; }
  /// The shares that have been given up so far.
  std::size_t given_up() const { return given_up_; }

 private:
  const std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::size_t given_up_ = 0;
  bool enforcing_ = false;
  /// Those that can be given up, by what they hold.
  std::set<std::pair<std::size_t, Share*>> candidates_;
};

/// Returns the bound for a machine with this much memory in bytes: a quarter of
/// it, and enough for a few requests of the greatest legal size.
std::size_t CallerMemoryBound(std::size_t machine_bytes);

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_CALLER_MEMORY_H_
