#ifndef MANGOPORT_UNITTESTS_SUPPORT_SCRIPTED_BACKEND_H_
#define MANGOPORT_UNITTESTS_SUPPORT_SCRIPTED_BACKEND_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "unittests/support/platform_standin.h"

namespace mangoport {

/// The bytes that a backend server answers one request with.
struct ScriptedAnswer {
  enum class End { kKeep, kClose, kReset };

  /// Written one after the other.
  std::vector<std::string> pieces;
  /// The wait before each piece but the first.
  std::chrono::milliseconds pause{0};
  /// The last piece is written again and again until the other side closes.
  bool endless = false;
  /// What becomes of the connection after the last piece.
  End end = End::kKeep;
};

/// A backend server that writes exactly the bytes that a script gives, right or
/// wrong, and one request after the other on each connection.
class ScriptedBackend {
 public:
  /// Called for each request with the number of those before it that were no
  /// queries for reports; from several threads.
  using Script = std::function<ScriptedAnswer(const SeenRequest&, int number)>;

  static constexpr std::size_t kWholeBody =
      std::numeric_limits<std::size_t>::max();

  /// Answers once it has read `max_body_bytes` of a request's body, and leaves
  /// the rest unread; on a connection that is kept after that, the rest is
  /// taken for the next request. Throws std::runtime_error if no port is free.
  ScriptedBackend(std::string id,
                  Script script,
                  std::size_t max_body_bytes = kWholeBody);
  ~ScriptedBackend();

  ScriptedBackend(const ScriptedBackend&) = delete;
  ScriptedBackend& operator=(const ScriptedBackend&) = delete;

  /// The head of an answer to `request`: status line, the attempt's id and this
  /// server's seal, the lines of `more`, an empty line.
  std::string Head(const SeenRequest& request,
                   int status,
                   const std::string& more) const;

  const std::string& id() const { return id_; }
  std::string address() const;
  /// All that it was sent but queries for reports.
  std::vector<SeenRequest> seen() const;
  /// The last requests of connections that were closed by the other side.
  std::vector<SeenRequest> given_up() const;
  /// Targets of requests whose connection was closed before the answer was out.
  std::vector<std::string> abandoned() const;
  /// How often it was asked for a report.
  int report_queries() const { return report_queries_; }
  /// Its entry in the store's list of servers.
  std::string Entry(const std::string& service, const std::string& state) const;

 private:
  void Accept();
  void Serve(int fd);
  bool Answer(int fd, const SeenRequest& request);
  /// False once the connection is of no more use.
  bool RepeatUntilClosed(int fd, const std::string& piece);

  std::string id_;
  Script script_;
  std::size_t max_body_bytes_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<int> report_queries_{0};
  mutable std::mutex mutex_;
  std::vector<SeenRequest> seen_;
  std::vector<SeenRequest> given_up_;
  std::vector<std::string> abandoned_;
  std::vector<int> open_;
  std::list<std::thread> connections_;
  std::thread acceptor_;
};

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_SUPPORT_SCRIPTED_BACKEND_H_
