#ifndef MANGOPORT_LIB_FORWARD_REQUEST_EXCHANGE_H_
#define MANGOPORT_LIB_FORWARD_REQUEST_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "mangoport/forward/attempt_policy.h"
#include "mangoport/forward/forwarder.h"
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

  /// A server may hold the model now.
  void OnModelAppeared();

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
    /// The end of the body is stated, by its length or by chunks.
    bool framed = false;
    /// Whole events so far.
    std::size_t events = 0;
  };

  // Admission.
  bool Admit(MonoTime now);
  bool AdmitKey(MonoTime now);
  bool AdmitQuota(MonoTime now);
  void ParseRouting();
  const ServiceId& PickTarget();

  // Attempts.
  void Dispatch(MonoTime now);
  void AwaitCopy(MonoTime now, const RouteChoice& choice);
  void Send(MonoTime now, const ServerId& server);
  std::string BuildRequest(MonoTime now) const;
  bool OnHead(const HttpHead& head);
  void OnBody(std::string_view piece);
  void OnComplete();
  /// True if a stream that has ended in order has all that its server sent.
  bool StreamIsWhole() const;
  void OnFailed(const HttpFailure& failure);
  /// `may_repeat` says that the retry budget has been charged already.
  void EndAttempt(MonoTime now, AttemptEnd end, bool may_repeat = false);
  void FinishAttempt(MonoTime now, AttemptOutcome outcome);

  // Answers.
  void OnEvents(MonoTime now, std::string_view whole);
  void PassOnWhole(MonoTime now);
  void Refuse(MonoTime now, const Verdict& verdict);
  void Break(MonoTime now, std::string_view reason);
  void Finish(MonoTime now, std::string_view outcome, int status);

  // Time and the caller.
  void OnDeadline(MonoTime now);
  /// Ends the attempt under way, if any, and answers the caller.
  void GiveUp(MonoTime now, std::string_view reason);
  void ArmSilenceCheck(MonoTime now);
  void CheckSilence(MonoTime now);
  void OnCallerDisconnected();

  RequestProgress Progress(MonoTime now) const;
  bool MayPassOn(const HttpHead& head) const;
  HttpFields EndToEndFields(const HttpHead& head) const;
  void LogAttempt(MonoTime now, std::string_view end) const;
  void LogStaleAnswer(const HttpHead& head) const;

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
  /// Tokens of the prompt that no other request shares.
  std::int64_t prompt_tokens_ = 0;
  std::int64_t charge_ = 0;
  bool charged_ = false;
  MonoTime deadline_;
  ModelUse* use_ = nullptr;

  HttpConnection::Ptr connection_;
  ServerId server_;
  MonoTime sent_at_;
  MonoTime last_byte_at_;
  Answer answer_;
  EventSplitter events_;
  std::uint32_t sends_ = 0;
  std::uint32_t runs_ = 0;
  std::uint64_t events_passed_ = 0;
  bool answer_begun_ = false;
  bool waiting_ = false;
  MonoTime waiting_since_;
  bool done_ = false;
  std::string_view last_end_;
  std::optional<MonoTime> first_event_at_;

  TimerQueue::Ticket deadline_timer_ = TimerQueue::kNoTicket;
  TimerQueue::Ticket silence_timer_ = TimerQueue::kNoTicket;
  TimerQueue::Ticket wait_timer_ = TimerQueue::kNoTicket;
};

}  // namespace mangoport

#endif  // MANGOPORT_LIB_FORWARD_REQUEST_EXCHANGE_H_
