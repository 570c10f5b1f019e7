#ifndef MANGOPORT_ENTRYHOST_LOG_FOLLOWER_H_
#define MANGOPORT_ENTRYHOST_LOG_FOLLOWER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <thread>

#include "mangoport/core/ids.h"
#include "mangoport/ports/log_service.h"

namespace mangoport {

/// A page with fewer entries held everything that the log had.
inline constexpr std::size_t kMaxPageEntries = 512;

/// Follows one stream of the log on a thread of its own.
class LogFollower {
 public:
  /// Returns the position of the next read. Called before every read.
  using NextOffset = std::function<std::uint64_t()>;
  /// Takes one page that the log answered with; it may be empty. `requested_at`
  /// is the time just before the read was sent: the page is no older than that.
  using OnPage = std::function<void(MonoTime requested_at, const LogPage&)>;

  LogFollower(LogService& log, StreamId stream, NextOffset next, OnPage page);

  /// Stops after the read under way, at most a long poll's wait later.
  ~LogFollower();

  LogFollower(const LogFollower&) = delete;
  LogFollower& operator=(const LogFollower&) = delete;

 private:
  void Run(const std::stop_token& stop);

  LogService& log_;
  StreamId stream_;
  NextOffset next_;
  OnPage page_;
  std::jthread thread_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ENTRYHOST_LOG_FOLLOWER_H_
