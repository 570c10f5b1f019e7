#ifndef MANGOPORT_FORWARD_CLIENT_SESSION_H_
#define MANGOPORT_FORWARD_CLIENT_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mangoport/fleet/fleet_config.h"
#include "mangoport/forward/caller_memory.h"
#include "mangoport/forward/connection_table.h"
#include "mangoport/forward/tcp_stream.h"
#include "mangoport/forward/timer_queue.h"
#include "mangoport/http/message.h"
#include "mangoport/http/message_parser.h"

namespace mangoport {

/// Bytes that a caller has not taken, from which neither it nor its server is
/// read: as much as is gathered of one answer (`kMaxGatheredBytes`).
inline constexpr std::size_t kMaxUnsentBytes = std::size_t{256} * 1024;

/// A caller's request, read whole.
struct HttpRequest {
  HttpHead head;
  std::string body;
  MonoTime arrived;
};

/// An answer that this host makes itself.
struct OwnAnswer {
  int status = 503;
  HttpFields fields = {};
  std::string content_type = "application/json";
  std::string body = {};
};

class ClientSession;

/// What a session tells the host.
struct ClientSessionHooks {
  /// A request has arrived whole. The receiver answers it through the session,
  /// sooner or later, exactly once.
  std::function<void(std::shared_ptr<ClientSession>, HttpRequest)> on_request =
      {};
  /// The session refused a request that was malformed or too slow.
  std::function<void(int status, std::string_view reason)> on_refused = {};
  /// Something of a request or an answer is lost with the connection: `bytes`
  /// of it, with what is known of the request. Optional.
  std::function<
      void(std::string_view reason, const HttpHead& head, std::size_t bytes)>
      on_dropped = {};
  /// What the connection is used for. Called whenever that may have changed.
  /// Optional.
  std::function<void(const ClientSession*, ConnectionUse use)> on_use = {};
  /// The connection is gone, and the session with it.
  std::function<void(const ClientSession*)> on_closed = {};
};

/// The callers' side of one connection: reads requests, one at a time, and
/// writes their answers.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  ClientSession(TcpStream::Ptr stream,
                TimerQueue& timers,
                CallerMemory& memory,
                const IngressLimits& limits,
                ClientSessionHooks hooks);

  ClientSession(const ClientSession&) = delete;
  ClientSession& operator=(const ClientSession&) = delete;

  void Start(MonoTime now);

  /// Called once if the caller leaves before its answer has ended.
  void set_on_gone(std::function<void()> on_gone) {
    on_gone_ = std::move(on_gone);
  }

  /// Called whenever everything written so far has left. Optional.
  void set_on_drained(std::function<void()> on_drained) {
    on_drained_ = std::move(on_drained);
  }

  /// Writes a whole answer of this host's own.
  void Answer(const OwnAnswer& answer);

  /// Writes a whole answer from a backend server; `fields` are its end-to-end
  /// fields.
  void AnswerWhole(int status,
                   std::string_view reason,
                   const HttpFields& fields,
                   std::string_view body);

  /// Writes the head of an answer whose body comes in pieces, with the first
  /// piece, which may be empty. The body is chunked unless `length` states all
  /// of its bytes.
  void BeginAnswer(int status,
                   std::string_view reason,
                   const HttpFields& fields,
                   std::string_view first_piece,
                   std::optional<std::uint64_t> length = std::nullopt);
  void SendPiece(std::string_view piece);
  /// Ends a body that came in pieces.
  void EndAnswer();

  /// Ends the connection without an end of the answer. The body is chunked or
  /// shorter than stated, so that the caller can't take it for a complete one.
  void Break();

  /// The limits of a newer configuration hold from now on.
  void SetLimits(MonoTime now, const IngressLimits& limits);

  /// From now on each answer asks the caller to close the connection.
  void Drain() { draining_ = true; }

  /// Closes the connection since there are too many. What has arrived of a
  /// request has not run.
  void GiveUp();

  /// Closes the connection if no request is under way, partly read or still in
  /// the socket, and no answer is leaving.
  bool CloseIfIdle();

  /// Ends the session if the caller has left, as its close will when it is
  /// read. True if the session has ended. Asks the system.
  bool CloseIfCallerLeft();

  bool busy() const { return busy_; }
  std::size_t unsent() const { return stream_->unsent(); }

 private:
  void OnData(std::string_view data);
  void OnEnd();
  void OnError();
  /// Takes up what has arrived, until a request is under way. A call from
  /// within itself leaves the work to the outer one.
  void Parse();
  bool MayParse() const;
  /// True if much of earlier answers waits for the caller to read it.
  bool IsCallerBehind() const;
  void OnDrained();
  /// Takes up what has arrived of one request.
  void ParseNext();
  void Refuse(int status, std::string_view reason);
  void FinishAnswer();
  void ArmTimer(MonoTime now);
  void StartTimer(MonoTime due);
  void OnTimer(MonoTime now);
  void EndConnection();
  void Shut();
  void Report(std::string_view reason, std::size_t bytes) const;
  /// Reports what is lost if the connection is closed now.
  void ReportLosses() const;
  bool ShouldClose() const;
  /// States what the connection holds for its caller, and what it is used for.
  void StateUse();
  /// Refuses the request that has not arrived whole, or closes the connection
  /// of a caller that does not read.
  void GiveUpForMemory();
  /// Frees what has arrived of a request.
  void FreeRequest();
  void AppendPiece(std::string& out, std::string_view piece) const;
  void AppendHead(std::string& out,
                  int status,
                  std::string_view reason,
                  const HttpFields& fields);

  TcpStream::Ptr stream_;
  TimerQueue& timers_;
  CallerMemory& memory_;
  CallerMemory::Share share_;
  IngressLimits limits_;
  ClientSessionHooks hooks_;
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
  MessageParser parser_;
  std::string body_;
  /// Bytes behind the request that is being answered.
  std::string ahead_;
  /// The memory of the request that is being answered.
  std::size_t request_memory_ = 0;
  TimerQueue::Ticket timer_ = TimerQueue::kNoTicket;
  /// Bytes that had not left when the timer was looked at last.
  std::size_t unsent_before_ = 0;
  bool busy_ = false;
  bool parsing_ = false;
  /// An answer has been finished, and the connection stays.
  bool answered_ = false;
  bool keep_alive_ = true;
  /// The answer has no body, since a HEAD asked for it or by its status.
  bool bodyless_ = false;
  bool draining_ = false;
  /// The answer's body comes in chunks.
  bool chunked_ = false;
  /// The answer's head tells the caller that the connection ends with it.
  bool close_announced_ = false;
  bool ending_ = false;
  bool continue_sent_ = false;
  bool closed_ = false;
};

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_CLIENT_SESSION_H_
