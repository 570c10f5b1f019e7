#include "mangoport/forward/http_connection.h"

#include <algorithm>
#include <asio/error.hpp>
#include <cassert>
#include <charconv>
#include <utility>

namespace mangoport {
namespace {

constexpr std::size_t kMaxAnswerHeadBytes = std::size_t{64} * 1024;
/// Sent bytes that stay unacknowledged for this long end the connection.
constexpr Duration kUserTimeout = std::chrono::seconds(3);
/// A peer that names no limit may still close an idle connection.
constexpr Duration kDefaultIdleLimit = std::chrono::seconds(4);
/// A kept connection is not used in the last part of the peer's limit, so that
/// a request does not cross its close.
constexpr Duration kIdleMargin = std::chrono::milliseconds(700);

/// Between the times at which the system is asked whether a request has been
/// acknowledged. It reports that as no event. An answer that waits for it ends
/// at most this much late, for one system call an interval.
constexpr Duration kAcknowledgementPollInterval = std::chrono::milliseconds(10);

MonoTime Now() {
  return std::chrono::steady_clock::now();
}

bool WasEndedByPeer(const asio::error_code& error) {
  return error == asio::error::connection_reset ||
         error == asio::error::broken_pipe;
}

/// The seconds of "timeout=5, max=100".
std::optional<Duration> ParseKeepAlive(std::string_view value) {
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = value.find(kName);
  if (at == std::string_view::npos)
    return std::nullopt;
  value.remove_prefix(at + kName.size());
  std::uint32_t seconds = 0;
  const auto parsed =
      std::from_chars(value.data(), value.data() + value.size(), seconds);
  if (parsed.ec != std::errc())
    return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

HttpConnection::HttpConnection(asio::io_context& io,
                               TimerQueue& timers,
                               asio::ip::tcp::endpoint endpoint,
                               StateHook on_state)
    : timers_(timers),
      endpoint_(std::move(endpoint)),
      on_state_(std::move(on_state)),
      stream_(std::make_shared<TcpStream>(asio::ip::tcp::socket(io))),
      parser_(HttpMessageKind::kResponse, kMaxAnswerHeadBytes) {}

void HttpConnection::Exchange(std::string request,
                              bool bodyless,
                              HttpExchangeHooks hooks) {
  assert((state_ == State::kNew || state_ == State::kIdle) &&
         "a connection carries one exchange at a time");
  hooks_ = std::make_shared<HttpExchangeHooks>(std::move(hooks));
  bodyless_ = bodyless;
  sent_ = false;
  ExpectMessage();
  ++exchanges_;
  if (state_ == State::kIdle) {
    state_ = State::kBusy;
    sent_ = true;
    stream_->Send(request);
    return;
  }
  state_ = State::kConnecting;
  request_ = std::move(request);
  const std::weak_ptr<HttpConnection> weak = weak_from_this();
  connect_timer_ = timers_.Add(Now() + connect_timeout_, [weak](MonoTime) {
    if (const Ptr self = weak.lock())
      self->Fail(HttpFailure::Kind::kConnect);
  });
  stream_->Connect(endpoint_, [weak](const asio::error_code& ec) {
    if (const Ptr self = weak.lock())
      self->OnConnected(ec);
  });
}

void HttpConnection::ExpectMessage() {
  parser_.Reset();
  parser_.set_bodyless(bodyless_);
  body_.clear();
  head_taken_ = false;
  skipping_ = false;
}

void HttpConnection::OnConnected(const asio::error_code& ec) {
  if (state_ != State::kConnecting)
    return;
  timers_.Cancel(connect_timer_);
  if (ec) {
    Fail(HttpFailure::Kind::kConnect);
    return;
  }
  const std::shared_ptr<HttpExchangeHooks> hooks = hooks_;
  if (hooks->may_send && !hooks->may_send())
    return;
  state_ = State::kBusy;
  const std::weak_ptr<HttpConnection> weak = weak_from_this();
  stream_->Start({.on_data =
                      [weak](std::string_view data) {
                        if (const Ptr self = weak.lock())
                          self->OnData(data);
                      },
                  .on_end =
                      [weak] {
                        if (const Ptr self = weak.lock())
                          self->OnEnd();
                      },
                  .on_error =
                      [weak](const asio::error_code& error) {
                        if (const Ptr self = weak.lock())
                          self->Fail(self->KindOfLoss(), WasEndedByPeer(error));
                      },
                  .on_drained = {}});
  stream_->SetUserTimeout(kUserTimeout);
  sent_ = true;
  stream_->Send(std::exchange(request_, {}));
}

void HttpConnection::OnData(std::string_view data) {
  const Ptr self = shared_from_this();
  const std::shared_ptr<HttpExchangeHooks> running = hooks_;
  if (state_ != State::kBusy) {
    // Bytes that nobody asked for.
    Close();
    return;
  }
  while (!data.empty()) {
    data.remove_prefix(parser_.Feed(data, body_));
    if (parser_.error() != HttpParseError::kNone) {
      Fail(HttpFailure::Kind::kBrokenAnswer);
      return;
    }
    const bool complete = parser_.message_complete();
    if (!TakeMessage() || !complete)
      return;
    const bool interim = parser_.head().status < 200;
    if (!skipping_ && !interim) {
      Complete(/*keep=*/data.empty() && IsReusable());
      return;
    }
    ExpectMessage();
  }
}

bool HttpConnection::IsReusable() const {
  const HttpHead& head = parser_.head();
  const bool framed = head.chunked || head.content_length || bodyless_ ||
                      head.status == 204 || head.status == 304;
  return head.keep_alive && framed && stream_->unsent() == 0;
}

bool HttpConnection::TakeMessage() {
  if (!parser_.head_complete() || parser_.head().status < 200)
    return true;
  if (!head_taken_) {
    head_taken_ = true;
    NoteKeepAlive(parser_.head());
    skipping_ = !hooks_->on_head(parser_.head());
    if (state_ != State::kBusy)
      return false;
  }
  if (skipping_) {
    body_.clear();
    return true;
  }
  if (!body_.empty()) {
    hooks_->on_body(body_);
    body_.clear();
  }
  return state_ == State::kBusy;
}

void HttpConnection::NoteKeepAlive(const HttpHead& head) {
  if (const std::string* value = FindField(head.fields, "keep-alive"))
    idle_limit_ = ParseKeepAlive(*value);
}

void HttpConnection::Complete(bool keep) {
  const std::shared_ptr<HttpExchangeHooks> hooks = std::move(hooks_);
  timers_.Cancel(acknowledgement_timer_);
  if (keep) {
    state_ = State::kIdle;
    idle_since_ = Now();
    stream_->SetReading(true);
  } else {
    state_ = State::kClosed;
    stream_->Close();
  }
  on_state_(shared_from_this(), keep);
  hooks->on_complete();
}

void HttpConnection::OnEnd() {
  const Ptr self = shared_from_this();
  if (state_ != State::kBusy) {
    Close();
    return;
  }
  parser_.FeedEnd();
  if (!parser_.message_complete() || skipping_ || !head_taken_) {
    Fail(KindOfLoss(), /*by_peer=*/true);
    return;
  }
  CompleteWhenAcknowledged(Now());
}

void HttpConnection::CompleteWhenAcknowledged(MonoTime now) {
  timers_.Cancel(acknowledgement_timer_);
  if (stream_->IsAcknowledged()) {
    Complete(/*keep=*/false);
    return;
  }
  stream_->ReportLoss();
  acknowledgement_timer_ = timers_.Add(now + kAcknowledgementPollInterval,
                                       [weak = weak_from_this()](MonoTime due) {
                                         if (const Ptr self = weak.lock())
                                           self->CompleteWhenAcknowledged(due);
                                       });
}

HttpFailure::Kind HttpConnection::KindOfLoss() const {
  return head_taken_ && !skipping_ ? HttpFailure::Kind::kBrokenAnswer
                                   : HttpFailure::Kind::kNoAnswer;
}

void HttpConnection::Fail(HttpFailure::Kind kind, bool by_peer) {
  if (state_ == State::kClosed)
    return;
  const Ptr self = shared_from_this();
  const bool had_exchange =
      state_ == State::kBusy || state_ == State::kConnecting;
  const std::shared_ptr<HttpExchangeHooks> hooks = std::move(hooks_);
  Close();
  if (had_exchange && hooks)
    hooks->on_failed({.kind = kind, .request_sent = sent_, .by_peer = by_peer});
}

void HttpConnection::Cancel() {
  hooks_.reset();
  Close(/*reset=*/true);
}

void HttpConnection::SetReading(bool reading) {
  if (state_ == State::kBusy)
    stream_->SetReading(reading);
}

void HttpConnection::Close(bool reset) {
  if (state_ == State::kClosed)
    return;
  state_ = State::kClosed;
  timers_.Cancel(connect_timer_);
  timers_.Cancel(acknowledgement_timer_);
  stream_->Close(reset);
  on_state_(shared_from_this(), /*reusable=*/false);
}

bool HttpConnection::UsableAt(MonoTime now) const {
  if (state_ != State::kIdle)
    return false;
  const Duration limit = idle_limit_.value_or(kDefaultIdleLimit);
  if (now - idle_since_ >= std::max(limit - kIdleMargin, limit / 4))
    return false;
  // What came before a request is not its answer.
  return stream_->IsQuiet();
}

}  // namespace mangoport
