#ifndef MANGOPORT_FORWARD_HTTP_CALLER_H_
#define MANGOPORT_FORWARD_HTTP_CALLER_H_

#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "mangoport/core/time.h"
#include "mangoport/forward/connection_pool.h"
#include "mangoport/forward/timer_queue.h"
#include "mangoport/http/message.h"

namespace mangoport {

/// A small call of this host's own, such as to the store or to an engine's
/// interface.
struct HttpCall {
  /// The called process, for kept connections.
  std::string peer;
  asio::ip::tcp::endpoint endpoint;
  std::string method = "GET";
  /// Path and query.
  std::string target;
  HttpFields fields = {};
  std::string content_type = {};
  std::string body = {};
  Duration timeout = std::chrono::seconds(1);
  Duration connect_timeout = kDefaultConnectTimeout;
  /// Most bytes of the answer's body. A call whose answer has more ends without
  /// an answer.
  std::size_t max_answer_bytes = std::size_t{1024} * 1024;
  /// A field that names another request: an answer which bears it is not this
  /// call's, and is skipped. Empty if answers have no such field.
  std::string foreign_field = {};
};

/// How a call ended: `status` is zero if there was no answer.
struct HttpCallResult {
  int status = 0;
  HttpFields fields;
  std::string body;
  /// With no answer: true if the call may have reached the peer.
  bool sent = false;
  /// With no answer: true if there was one with more bytes than are held.
  bool overlong = false;
};

using HttpCallDone = std::function<void(HttpCallResult result)>;

/// Makes whole calls over the kept connections of a pool.
class HttpCaller {
 public:
  HttpCaller(ConnectionPool& pool, TimerQueue& timers)
      : pool_(pool), timers_(timers) {}

  HttpCaller(const HttpCaller&) = delete;
  HttpCaller& operator=(const HttpCaller&) = delete;

  /// Sets a hook for the head of each answer, with the name of its peer.
  void set_on_head(
      std::function<void(const std::string& peer, const HttpHead& head)> hook) {
    on_head_ = std::move(hook);
  }

  /// Calls `done` once, when the answer is there or the time has passed.
  void Call(MonoTime now, const HttpCall& call, HttpCallDone done);

 private:
  ConnectionPool& pool_;
  TimerQueue& timers_;
  std::function<void(const std::string& peer, const HttpHead& head)> on_head_;
};

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_HTTP_CALLER_H_
