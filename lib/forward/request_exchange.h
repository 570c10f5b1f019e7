#ifndef MANGOPORT_LIB_FORWARD_REQUEST_EXCHANGE_H_
#define MANGOPORT_LIB_FORWARD_REQUEST_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mangoport/forward/attempt_policy.h"
#include "mangoport/forward/forwarder.h"
#include "mangoport/forward/handover_policy.h"
#include "mangoport/http/event_splitter.h"

namespace mangoport {

/// One request of a caller, from its arrival to the end of its answer.
class RequestExchange : public std::enable_shared_from_this<RequestExchange> {
 public:
  RequestExchange(Forwarder& host,
                  std::shared_ptr<ClientSession> session,
                  HttpRequest request);
  ~RequestExchange();

  RequestExchange(const RequestExchange&) = delete;
  RequestExchange& operator=(const RequestExchange&) = delete;

  void Start();

  /// A server may hold the model now, or none will.
  void OnModelAppeared();

  /// Requests with this part are kept from the servers from now on: one that a
  /// server has, and has not begun to answer, is taken back.
  void OnPartQuarantined(MonoTime now, PartHash part);

  /// The host stops: a request that waits for a copy is refused, since the copy
  /// may come too late.
  void OnHostStopping(MonoTime now);
  /// The process ends: the request is answered with what is true now.
  void OnHostEnding(MonoTime now);

 private:
  /// A refusal or failure of this host's own.
  struct Verdict {
    int status = 503;
    std::string_view reason;
    std::optional<Duration> retry_after = std::nullopt;
  };

  /// What has arrived of one attempt's answer.
  struct Answer {
    int status = 0;
    std::string reason;
    HttpFields fields;
    std::string body;
    bool streaming = false;
    /// The head says where the body ends; else it ends with the connection.
    bool framed = false;
    /// Length of the body, if the head states it.
    std::optional<std::uint64_t> length;
    /// The body is larger than is gathered, and the caller has its beginning.
    bool in_pieces = false;
    std::size_t events = 0;
    /// When the first event or, of a large answer, the first bytes came.
    std::optional<MonoTime> begun_at;
    /// How far the answer is known to have come.
    std::optional<AnswerGrade> grade;
  };

  /// An attempt that takes over from one whose server is silent, once it has
  /// gone on with the answer.
  struct Successor {
    HttpConnection::Ptr connection;
    ServerId server;
    ServerStart start;
    MonoTime sent_at;
    /// With a status once a success that fits has begun.
    Answer answer;
    /// The caller's stream as it would go on.
    EventSplitter events;
    /// What the caller gets of it at the takeover.
    std::string held;
  };

  // Admission.
  bool Admit(MonoTime now);
  bool AdmitKey(MonoTime now);
  /// The account of the caller's key by `config`, or null.
  const AccountSpec* AccountOfKey(const FleetConfigView& config) const;
  /// True if the newest configuration no longer has the caller's key. What is
  /// at work goes on, but nothing more is sent.
  bool KeyIsWithdrawn() const;
  bool AdmitQuota(MonoTime now);
  void ParseRouting();
  const ServiceId& PickTarget();

  // Attempts.
  void Dispatch(MonoTime now);
  /// The host stops before a server that gets the request now is expected to
  /// have answered it.
  bool EndsTooSoon(MonoTime now) const;
  void AwaitCopy(MonoTime now, const RouteChoice& choice);
  void Send(MonoTime now, const ServerId& server);
  /// Sends the request to `server` on a connection of the pool.
  HttpConnection::Ptr OpenAttempt(MonoTime now,
                                  const ServerId& server,
                                  const asio::ip::tcp::endpoint& address);
  HttpExchangeHooks HooksFor(const HttpConnection* connection);
  std::string BuildRequest(MonoTime now, const ServerId& server) const;
  bool OnHead(const HttpHead& head);
  Answer AnswerOf(const HttpHead& head) const;
  void OnBody(std::string_view piece);
  void OnComplete();
  /// True if a stream that has ended in order has all that its server sent.
  bool StreamIsWhole() const;
  /// A stream has ended without all that its server sent.
  void OnBrokenStream(MonoTime now);
  void OnFailed(const HttpFailure& failure);
  static AttemptEnd EndOf(const HttpFailure& failure);
  /// What a run of a stream that `events` has refused is taken for.
  static AttemptEnd EndOf(const EventSplitter& events);
  /// What an answer that is no success says of this request.
  AttemptEnd EndOf(int status, const HttpFields& fields) const;
  static AttemptOutcome OutcomeOf(AttemptEnd end);
  void EndAttempt(MonoTime now, AttemptEnd end);
  void FinishAttempt(MonoTime now, AttemptOutcome outcome);
  /// Tells the tables that an attempt at `server` has ended.
  void CountEnd(MonoTime now,
                const ServerId& server,
                MonoTime sent_at,
                AttemptOutcome outcome);

  // Silent servers.
  void ArmSilenceCheck(MonoTime now);
  void CheckSilence(MonoTime now);
  AttemptSilence SilenceOfAttempt(MonoTime now) const;
  /// Offers the request to another server, while the attempt under way goes on.
  void OfferToSuccessor(MonoTime now);
  /// A server other than `server_` that may take the request over, or that one
  /// on another connection if there is no other.
  std::optional<ServerId> ChooseSuccessor(MonoTime now);
  bool IsSuccessor(const HttpConnection* connection) const {
    return successor_.connection.get() == connection;
  }
  bool OnSuccessorHead(const HttpHead& head);
  void OnSuccessorBody(std::string_view piece);
  /// Reads no more of the successor until it is adopted or dropped, if so many
  /// bytes of its answer are held.
  void LimitSuccessor(std::size_t held);
  void OnSuccessorComplete();
  void OnSuccessorFailed(const HttpFailure& failure);
  /// Two servers have worked on the request for long enough.
  void OnHandoverTime(MonoTime now);
  /// The successor has failed; the attempt under way goes on.
  void RejectSuccessor(MonoTime now, AttemptEnd end);
  /// The next offer goes to another server than this successor's, later.
  void PostponeOffer(MonoTime now);
  void DropSuccessor(MonoTime now,
                     std::string_view end,
                     AttemptOutcome outcome);
  /// Adds which servers are concerned, and the ages that decide.
  void AddSuccessor(MonoTime now,
                    const Successor& successor,
                    LogLine& line) const;
  /// Gives the silent attempt up for the successor.
  void TakeOver(MonoTime now);
  /// The successor becomes the attempt under way.
  void AdoptSuccessor(MonoTime now);

  // What crashes servers: requests, and parts of prompts.
  /// False if the request is quarantined; it has been answered then.
  bool AdmitContent(MonoTime now);
  /// The server has answered the request as a whole.
  void NoteWholeAnswer(MonoTime now);
  /// None if the parts of the prompt let the request be sent, else the time
  /// after which they may.
  std::optional<Duration> PartRefusal(MonoTime now);
  /// False if a part of the prompt keeps the request from being sent; it has
  /// been answered then.
  bool AdmitParts(MonoTime now);
  /// The answer of the attempt under way has begun or goes on.
  void NoteAnswerGoesOn(MonoTime now);
  /// For how long `answer` has gone on; zero if it has not begun.
  static Duration AnsweredFor(MonoTime now, const Answer& answer);
  /// A connection was lost, perhaps because the server's process has ended.
  void NoteLoss(MonoTime now,
                const ServerStart& start,
                const Answer& answer,
                const HttpFailure& failure);
  /// A server was lost `answered_for` after this request's answer had begun.
  void NotePartLoss(MonoTime now,
                    const ServerStart& start,
                    Duration answered_for);

  // Answers.
  /// Passes on what `events_` has let through: `n` events and comments.
  void PassOnEvents(MonoTime now, std::size_t n, std::string_view whole);
  void OnEvents(MonoTime now);
  /// Passes on whole events and comments of a stream.
  void PassOnPiece(std::string_view whole);
  /// The answer has grown larger than is gathered.
  void OnLargeAnswer(MonoTime now);
  /// The answer was passed on in pieces and is complete.
  void EndLargeAnswer(MonoTime now);
  /// The caller has taken all that was passed on.
  void OnDrained();
  void PassOnWhole(MonoTime now);
  void Refuse(MonoTime now, const Verdict& verdict);
  void Break(MonoTime now, std::string_view reason);
  void Finish(MonoTime now, std::string_view outcome, int status);

  // Time and the caller.
  void ArmDeadline(MonoTime due);
  void OnDeadline(MonoTime now);
  /// True if the caller has taken some of a large answer since the last call,
  /// and has more of it to take.
  bool IsTakingAnswer();
  /// Ends the attempt under way, if any, and answers the caller.
  void GiveUp(MonoTime now, std::string_view reason);
  /// Ends the attempt under way, if any.
  void CancelAttempt(MonoTime now, std::string_view reason);
  void OnCallerDisconnected();

  RequestProgress Progress(MonoTime now) const;
  bool MayPassOn(const HttpHead& head) const;
  HttpFields EndToEndFields(const HttpHead& head) const;
  void LogAttempt(MonoTime now, std::string_view end) const;
  /// When the caller gives the request up if it gets no further event.
  MonoTime CallerLeaves() const;
  /// Sets until when the request can be served in time, for its routing.
  void SetDue();
  /// Keeps the request for a moment and dispatches it again.
  void HoldForRoom(MonoTime now, const RouteChoice& choice);
  void EndHold();
  /// Adds the age of the server's last byte and of the last event that was
  /// passed on, and what is left of the caller's patience.
  void AddAges(MonoTime now, LogLine& line) const;
  /// Adds what tells the causes of a lost request apart.
  void AddCircumstances(MonoTime now, LogLine& line) const;
  void LogStaleAnswer(const HttpHead& head, const ServerId& server) const;

  Forwarder& host_;
  std::shared_ptr<ClientSession> session_;
  HttpRequest request_;
  FleetConfigPtr config_;
  const RouteSpec* route_ = nullptr;
  const AccountSpec* account_ = nullptr;
  ServiceId service_;
  RouteRequest routing_;
  std::string request_id_;
  /// The same for each try of one request by its caller.
  std::uint64_t fingerprint_ = 0;
  /// Sent although it is quarantined, to see whether it still crashes servers.
  bool is_probe_ = false;
  /// The parts of the prompt that other requests may share.
  std::vector<PartHash> shared_parts_;
  /// Servers whose process may have ended that were lost with this request
  /// before or soon after they had begun to answer it.
  std::uint32_t blamed_losses_ = 0;
  /// Tokens of the prompt that no other request shares.
  std::int64_t prompt_tokens_ = 0;
  std::int64_t charge_ = 0;
  bool charged_ = false;
  MonoTime deadline_;
  ModelUse* use_ = nullptr;

  HttpConnection::Ptr connection_;
  ServerId server_;
  ServerStart server_start_;
  MonoTime sent_at_;
  MonoTime last_byte_at_;
  Successor successor_;
  /// The retry budget has been charged for a successor that reached no server.
  bool successor_paid_ = false;
  /// Offers to successors that took nothing over; at most the sends. The pause
  /// before the next offer doubles with each.
  std::uint32_t failed_offers_ = 0;
  MonoTime next_offer_at_;
  Answer answer_;
  EventSplitter events_;
  std::uint32_t sends_ = 0;
  std::uint32_t runs_ = 0;
  std::uint64_t events_passed_ = 0;
  bool answer_begun_ = false;
  /// Bytes of the answer's body that were passed on.
  std::uint64_t bytes_passed_ = 0;
  /// Of these, what had left for the caller at the last look.
  std::int64_t bytes_taken_ = 0;
  /// The server is not read, since the caller takes its answer slowly.
  bool reading_paused_ = false;
  bool waiting_ = false;
  /// Kept until there is room at a server.
  bool held_ = false;
  MonoTime waiting_since_;
  bool done_ = false;
  std::string_view last_end_;
  std::optional<MonoTime> first_event_at_;
  /// When the last event was passed on; the arrival before the first one.
  MonoTime last_event_at_;

  TimerQueue::Ticket deadline_timer_ = TimerQueue::kNoTicket;
  TimerQueue::Ticket silence_timer_ = TimerQueue::kNoTicket;
  TimerQueue::Ticket handover_timer_ = TimerQueue::kNoTicket;
  TimerQueue::Ticket wait_timer_ = TimerQueue::kNoTicket;
};

}  // namespace mangoport

#endif  // MANGOPORT_LIB_FORWARD_REQUEST_EXCHANGE_H_
