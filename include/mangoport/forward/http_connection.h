#ifndef MANGOPORT_FORWARD_HTTP_CONNECTION_H_
#define MANGOPORT_FORWARD_HTTP_CONNECTION_H_

#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "mangoport/core/time.h"
#include "mangoport/forward/tcp_stream.h"
#include "mangoport/forward/timer_queue.h"
#include "mangoport/http/message.h"
#include "mangoport/http/message_parser.h"

namespace mangoport {

/// The time in which a connection must be made, unless a call sets another.
constexpr Duration kDefaultConnectTimeout = std::chrono::milliseconds(300);

/// Why an exchange on a connection ended without a whole answer.
struct HttpFailure {
  enum class Kind {
    /// No connection: no byte of the request has left.
    kConnect,
    /// The connection was lost before the answer's head had arrived.
    kNoAnswer,
    /// The answer broke off, or was no HTTP.
    kBrokenAnswer,
  };

  Kind kind = Kind::kNoAnswer;
  /// True if some byte of the request may have reached the peer.
  bool request_sent = false;
  /// True if the peer closed or reset the connection, as it does when its
  /// process ends; false if the way to it was lost or its bytes were wrong.
  bool by_peer = false;
};

/// What one exchange tells its owner. After `on_complete`, `on_failed` or
/// `HttpConnection::Cancel` nothing is called.
struct HttpExchangeHooks {
  /// The head of an answer. False if it belongs to another request: that
  /// answer is read to its end and dropped, and the next one is waited for.
  std::function<bool(const HttpHead& head)> on_head;
  /// A piece of the body; valid during the call only.
  std::function<void(std::string_view piece)> on_body;
  std::function<void()> on_complete;
  std::function<void(const HttpFailure& failure)> on_failed;
  /// Asked when a new connection has been made, before anything is sent on it.
  /// False if the exchange has been cancelled in the call. Optional.
  std::function<bool()> may_send = {};
};

/// One HTTP/1.1 client connection, used for one exchange at a time.
///
/// It can be kept only after an answer that was wholly framed, to a request
/// that was wholly written, with no byte behind it.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  using Ptr = std::shared_ptr<HttpConnection>;
  /// Tells what became of the connection after an exchange, or while idle.
  using StateHook = std::function<void(const Ptr& connection, bool reusable)>;

  HttpConnection(asio::io_context& io,
                 TimerQueue& timers,
                 asio::ip::tcp::endpoint endpoint,
                 StateHook on_state);

  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Sets the time in which a connection must be made.
  void set_connect_timeout(Duration timeout) { connect_timeout_ = timeout; }

  /// Sends a request, connecting first if need be. `bodyless` says that no
  /// body follows the answer's head.
  void Exchange(std::string request, bool bodyless, HttpExchangeHooks hooks);

  /// Gives the exchange up and resets the connection, so that what the system
  /// still holds of the request does not reach the peer.
  void Cancel();

  /// Stops and resumes reading, for back-pressure.
  void SetReading(bool reading);

  void Close(bool reset = false);

  /// True if another request may be sent on this idle connection: the peer's
  /// idle limit is not near, and nothing has arrived since the last answer.
  bool UsableAt(MonoTime now) const;

  const asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }
  bool request_sent() const { return stream_->has_written(); }
  /// True if the connection has carried an exchange before.
  bool reused() const { return exchanges_ > 1; }

 private:
  enum class State { kNew, kConnecting, kBusy, kIdle, kClosed };

  void OnConnected(const asio::error_code& ec);
  void OnData(std::string_view data);
  void OnEnd();
  /// Completes an answer that ended with its connection once the whole request
  /// has been acknowledged. Until then the stream may tell of a reset.
  void CompleteWhenAcknowledged(MonoTime now);
  /// Makes ready for the next message of the peer.
  void ExpectMessage();
  /// Hands over what has arrived of a message. False if that ended the
  /// exchange.
  bool TakeMessage();
  /// True if the connection can be kept after the answer that has arrived.
  bool IsReusable() const;
  void Complete(bool keep);
  /// How an exchange fails if its connection is lost now.
  HttpFailure::Kind KindOfLoss() const;
  void Fail(HttpFailure::Kind kind, bool by_peer = false);
  void NoteKeepAlive(const HttpHead& head);

  TimerQueue& timers_;
  Duration connect_timeout_ = kDefaultConnectTimeout;
  asio::ip::tcp::endpoint endpoint_;
  StateHook on_state_;
  TcpStream::Ptr stream_;
  MessageParser parser_;
  /// Shared with the call that is running, which may end the exchange.
  std::shared_ptr<HttpExchangeHooks> hooks_;
  State state_ = State::kNew;
  std::string request_;
  std::string body_;
  std::optional<Duration> idle_limit_;
  MonoTime idle_since_;
  TimerQueue::Ticket connect_timer_ = TimerQueue::kNoTicket;
  TimerQueue::Ticket acknowledgement_timer_ = TimerQueue::kNoTicket;
  std::uint32_t exchanges_ = 0;
  bool head_taken_ = false;
  bool skipping_ = false;
  bool bodyless_ = false;
  bool sent_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_HTTP_CONNECTION_H_
