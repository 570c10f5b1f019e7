#include "mangoport/forward/client_session.h"

#include <cassert>
#include <utility>

namespace mangoport {
namespace {

/// Bytes that a caller may send ahead of the answer to its request.
constexpr std::size_t kMaxAheadBytes = std::size_t{64} * 1024;

/// A kept connection is closed this long after callers have stopped using it.
constexpr Duration kIdleSlack = std::chrono::milliseconds(500);

/// How long the caller may take to close after the last answer.
constexpr Duration kLingerTime = std::chrono::seconds(2);

/// How often a caller that is not read is asked whether it is there: work for
/// one that has left ends within half a second.
constexpr Duration kLeaveCheckInterval = std::chrono::milliseconds(200);

constexpr std::string_view kContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

MonoTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

ClientSession::ClientSession(TcpStream::Ptr stream,
                             TimerQueue& timers,
                             CallerMemory& memory,
                             const IngressLimits& limits,
                             ClientSessionHooks hooks)
    : stream_(std::move(stream)),
      timers_(timers),
      memory_(memory),
      share_(memory, [this] { GiveUpForMemory(); }),
      limits_(limits),
      hooks_(std::move(hooks)),
      parser_(HttpMessageKind::kRequest, limits.max_head_bytes) {}

void ClientSession::Start(MonoTime now) {
  ArmTimer(now);
  stream_->Start(
      {.on_data = [self = shared_from_this()](
                      std::string_view data) { self->OnData(data); },
       .on_end = [self = shared_from_this()] { self->OnEnd(); },
       .on_error = [self = shared_from_this()](
                       const asio::error_code&) { self->OnError(); },
       .on_drained = [self = shared_from_this()] { self->OnDrained(); }});
}

void ClientSession::SetLimits(MonoTime now, const IngressLimits& limits) {
  if (limits == limits_)
    return;
  limits_ = limits;
  parser_.set_max_head_bytes(limits.max_head_bytes);
  if (!busy_ && !ending_)
    ArmTimer(now);
}

void ClientSession::ArmTimer(MonoTime now) {
  Duration wait = limits_.idle_timeout + kIdleSlack;
  if (ending_ && stream_->unsent() == 0)
    wait = kLingerTime;
  else if (parser_.started() && !parser_.head_complete())
    wait = limits_.head_timeout;
  StartTimer(now + wait);
}

void ClientSession::StartTimer(MonoTime due) {
  timers_.Cancel(timer_);
  timer_ = timers_.Add(due, [weak = weak_from_this()](MonoTime due) {
    if (const auto self = weak.lock())
      self->OnTimer(due);
  });
}

void ClientSession::OnTimer(MonoTime now) {
  timer_ = TimerQueue::kNoTicket;
  if (busy_) {
    if (!CloseIfCallerLeft() && ahead_.size() > kMaxAheadBytes)
      StartTimer(now + kLeaveCheckInterval);
    return;
  }
  // The answer is still leaving, or has just left.
  if (std::exchange(unsent_before_, stream_->unsent()) != stream_->unsent()) {
    ArmTimer(now);
    return;
  }
  // This host may have been late to read.
  if (!ending_ && !IsCallerBehind() && stream_->HasUnread()) {
    ArmTimer(now);
    return;
  }
  if (!ending_ && !IsCallerBehind() && parser_.started()) {
    Refuse(408, "the request did not arrive in time");
    return;
  }
  Shut();
}

void ClientSession::OnData(std::string_view data) {
  if (ending_) {
    Report("after_last_answer", data.size());
    return;
  }
  const auto self = shared_from_this();
  ahead_.append(data);
  if (!busy_) {
    Parse();
  } else if (ahead_.size() > kMaxAheadBytes) {
    stream_->SetReading(false);
    StartTimer(Now() + kLeaveCheckInterval);
  }
  StateUse();
  memory_.Enforce();
}

void ClientSession::StateUse() {
  const std::size_t unsent = stream_->unsent();
  const std::size_t bytes = body_.capacity() + ahead_.capacity() +
                            parser_.head_memory() + stream_->unsent_memory() +
                            request_memory_;
  const bool unfinished = !busy_ && (parser_.started() || unsent > 0);
  share_.Set(closed_ ? 0 : bytes,
             !closed_ && !ending_ && (unfinished || IsCallerBehind()));
  if (closed_ || !hooks_.on_use)
    return;
  ConnectionUse use = ConnectionUse::kIdle;
  if (busy_)
    use = ConnectionUse::kBusy;
  else if (unsent > 0)
    use = ConnectionUse::kDelivering;
  else if (parser_.started())
    use = ConnectionUse::kUnfinished;
  hooks_.on_use(this, use);
}

void ClientSession::GiveUp() {
  Report("connection_limit", body_.size());
  Shut();
}

void ClientSession::GiveUpForMemory() {
  const auto self = shared_from_this();
  if (busy_ || !parser_.started() || stream_->unsent() > 0) {
    Report("memory", stream_->unsent());
    Shut();
    return;
  }
  Refuse(503, "too much is held for callers");
  FreeRequest();
  StateUse();
}

void ClientSession::FreeRequest() {
  std::string().swap(body_);
  std::string().swap(ahead_);
}

void ClientSession::Parse() {
  // A request that is answered at once has its answer finished, and the next
  // one asked for, inside its own call.
  if (std::exchange(parsing_, true))
    return;
  const auto self = shared_from_this();
  do {
    answered_ = false;
    ParseNext();
  } while (answered_ && MayParse());
  parsing_ = false;
  StateUse();
}

bool ClientSession::MayParse() const {
  return !busy_ && !ending_ && !closed_ && !ahead_.empty() && !IsCallerBehind();
}

bool ClientSession::IsCallerBehind() const {
  return stream_->unsent() > kMaxUnsentBytes;
}

void ClientSession::OnDrained() {
  StateUse();
  if (on_drained_) {
    on_drained_();
    return;
  }
  if (busy_ || closed_)
    return;
  stream_->SetReading(true);
  if (MayParse())
    Parse();
}

void ClientSession::ParseNext() {
  const bool had_started = parser_.started();
  const std::size_t used = parser_.Feed(ahead_, body_);
  ahead_.erase(0, used);
  if (parser_.error() == HttpParseError::kHeadTooLarge) {
    Refuse(431, "the header fields are too large");
    return;
  }
  if (parser_.error() != HttpParseError::kNone) {
    Refuse(400, "the request is malformed");
    return;
  }
  const HttpHead& head = parser_.head();
  const bool too_large =
      body_.size() > limits_.max_body_bytes ||
      (parser_.head_complete() &&
       head.content_length.value_or(0) > limits_.max_body_bytes);
  if (too_large) {
    Refuse(413, "the body is too large");
    return;
  }
  if (!parser_.message_complete()) {
    const std::string* expect =
        parser_.head_complete() ? FindField(head.fields, "expect") : nullptr;
    if (expect && !continue_sent_ &&
        EqualsIgnoringCase(*expect, "100-continue")) {
      continue_sent_ = true;
      stream_->Send(kContinueAnswer);
    }
    // A head has one time for all of it, a body for each piece.
    if (parser_.started() != had_started || parser_.head_complete())
      ArmTimer(Now());
    return;
  }
  // The request may have waited in the socket until its caller gave up.
  if (stream_->PeerHasClosed()) {
    Report("caller_left_before_it_was_read", body_.size());
    parser_.Reset();
    Shut();
    return;
  }
  timers_.Cancel(timer_);
  busy_ = true;
  // The request, and its copy on the way to the server.
  request_memory_ = 2 * (body_.size() + parser_.head_memory());
  continue_sent_ = false;
  keep_alive_ = head.keep_alive;
  bodyless_ = head.method == "HEAD";
  hooks_.on_request(
      shared_from_this(),
      HttpRequest{.head = head, .body = std::move(body_), .arrived = Now()});
}

void ClientSession::Refuse(int status, std::string_view reason) {
  if (hooks_.on_refused)
    hooks_.on_refused(status, reason);
  keep_alive_ = false;
  busy_ = true;
  bodyless_ = parser_.head_complete() && parser_.head().method == "HEAD";
  Answer({.status = status,
          .body = "{\"error\":{\"message\":\"" + std::string(reason) +
                  "\",\"not_run\":true}}"});
}

bool ClientSession::ShouldClose() const {
  // A request that was sent ahead is answered first.
  return !keep_alive_ || (draining_ && ahead_.empty());
}

void ClientSession::AppendHead(std::string& out,
                               int status,
                               std::string_view reason,
                               const HttpFields& fields) {
  close_announced_ = ShouldClose();
  out.append("HTTP/1.1 ");
  out.append(std::to_string(status));
  out.push_back(' ');
  out.append(reason.empty() ? ReasonPhrase(status) : reason);
  out.append("\r\n");
  for (const HttpField& it : fields)
    AppendField(out, it.name, it.value);
  if (close_announced_)
    AppendField(out, "Connection", "close");
}

void ClientSession::Answer(const OwnAnswer& answer) {
  HttpFields fields = answer.fields;
  if (!answer.body.empty())
    fields.push_back({"Content-Type", answer.content_type});
  AnswerWhole(answer.status, {}, fields, answer.body);
}

void ClientSession::AnswerWhole(int status,
                                std::string_view reason,
                                const HttpFields& fields,
                                std::string_view body) {
  assert(busy_ && "an answer belongs to a request");
  if (closed_)
    return;
  std::string out;
  out.reserve(512 + body.size());
  AppendHead(out, status, reason, fields);
  bodyless_ |= HasNoBody(status);
  // The length of a body that isn't there is known only to its server.
  if (!bodyless_ || (!body.empty() && !HasNoBody(status)))
    AppendField(out, "Content-Length", std::to_string(body.size()));
  out.append("\r\n");
  if (!bodyless_)
    out.append(body);
  stream_->Send(out);
  FinishAnswer();
}

void ClientSession::BeginAnswer(int status,
                                std::string_view reason,
                                const HttpFields& fields,
                                std::string_view first_piece,
                                std::optional<std::uint64_t> length) {
  assert(busy_ && "an answer belongs to a request");
  if (closed_)
    return;
  std::string out;
  out.reserve(512 + first_piece.size());
  AppendHead(out, status, reason, fields);
  bodyless_ |= HasNoBody(status);
  chunked_ = !length;
  if (length)
    AppendField(out, "Content-Length", std::to_string(*length));
  else if (!HasNoBody(status))
    AppendField(out, "Transfer-Encoding", "chunked");
  out.append("\r\n");
  if (!bodyless_ && !first_piece.empty())
    AppendPiece(out, first_piece);
  stream_->Send(out);
}

void ClientSession::AppendPiece(std::string& out,
                                std::string_view piece) const {
  if (chunked_)
    AppendChunk(out, piece);
  else
    out.append(piece);
}

void ClientSession::SendPiece(std::string_view piece) {
  if (closed_ || bodyless_ || piece.empty())
    return;
  std::string out;
  out.reserve(piece.size() + 16);
  AppendPiece(out, piece);
  stream_->Send(out);
  if (stream_->unsent() > 0)
    StateUse();
}

void ClientSession::EndAnswer() {
  if (closed_)
    return;
  if (!bodyless_ && chunked_)
    stream_->Send(kLastChunk);
  FinishAnswer();
}

void ClientSession::FinishAnswer() {
  busy_ = false;
  request_memory_ = 0;
  on_gone_ = nullptr;
  on_drained_ = nullptr;
  if (closed_)
    return;
  parser_.Reset();
  // The next request may be small.
  std::string().swap(body_);
  if (ahead_.empty())
    std::string().swap(ahead_);
  StateUse();
  // Otherwise the caller may have sent its next request already.
  if (close_announced_) {
    EndConnection();
    return;
  }
  ArmTimer(Now());
  answered_ = true;
  // A caller that takes no answers gets no more until it does.
  stream_->SetReading(!IsCallerBehind());
  if (MayParse())
    Parse();
}

void ClientSession::Break() {
  busy_ = false;
  on_gone_ = nullptr;
  on_drained_ = nullptr;
  if (closed_)
    return;
  EndConnection();
}

void ClientSession::EndConnection() {
  ending_ = true;
  stream_->EndAfterWrites();
  stream_->SetReading(true);
  ArmTimer(Now());
}

bool ClientSession::CloseIfCallerLeft() {
  if (!closed_ && stream_->PeerHasClosed())
    Shut();
  return closed_;
}

bool ClientSession::CloseIfIdle() {
  // After its last answer a connection is closed by its timer.
  if (busy_ || ending_ || parser_.started() || !ahead_.empty() ||
      stream_->unsent() > 0 || stream_->HasUnread())
    return false;
  Shut();
  return true;
}

void ClientSession::OnEnd() {
  Shut();
}

void ClientSession::OnError() {
  Shut();
}

void ClientSession::Report(std::string_view reason, std::size_t bytes) const {
  if (hooks_.on_dropped)
    hooks_.on_dropped(
        reason, parser_.head_complete() ? parser_.head() : HttpHead(), bytes);
}

void ClientSession::ReportLosses() const {
  if (stream_->unsent() > 0)
    Report("answer_not_taken", stream_->unsent());
  if (!ahead_.empty())
    Report("request_sent_ahead", ahead_.size());
  if (!busy_ && parser_.started())
    Report("request_not_whole", body_.size());
}

void ClientSession::Shut() {
  if (closed_)
    return;
  closed_ = true;
  ReportLosses();
  const auto self = shared_from_this();
  timers_.Cancel(timer_);
  stream_->Close();
  FreeRequest();
  StateUse();
  if (busy_ && on_gone_)
    std::exchange(on_gone_, nullptr)();
  busy_ = false;
  on_gone_ = nullptr;
  on_drained_ = nullptr;
  if (hooks_.on_closed)
    hooks_.on_closed(this);
}

}  // namespace mangoport
