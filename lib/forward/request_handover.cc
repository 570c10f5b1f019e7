// What becomes of a request whose server is silent. It may still answer, so it
// is given up only for a server that has gone on with the answer.
#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "lib/forward/request_exchange.h"
#include "mangoport/forward/answer_policy.h"
#include "mangoport/forward/handover_policy.h"

namespace mangoport {
namespace {

/// Until a server is looked for again if none could take the request.
constexpr Duration kOfferInterval = std::chrono::milliseconds(300);

MonoTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

void RequestExchange::ArmSilenceCheck(MonoTime now) {
  host_.parts_.timers.Cancel(silence_timer_);
  const MonoTime due =
      std::max(OfferDueAt(now, SilenceOfAttempt(now)), next_offer_at_);
  silence_timer_ =
      host_.parts_.timers.Add(due, [weak = weak_from_this()](MonoTime at) {
        const auto self = weak.lock();
        if (!self || self->done_)
          return;
        self->silence_timer_ = TimerQueue::kNoTicket;
        self->CheckSilence(at);
      });
}

void RequestExchange::CheckSilence(MonoTime now) {
  if (!connection_ || successor_.connection)
    return;
  if (reading_paused_) {
    next_offer_at_ = now + kOfferInterval;
  } else if (OfferDueAt(now, SilenceOfAttempt(now)) <= now) {
    next_offer_at_ = now + kOfferInterval;
    OfferToSuccessor(now);
  }
  if (!successor_.connection)
    ArmSilenceCheck(now);
}

AttemptSilence RequestExchange::SilenceOfAttempt(MonoTime now) const {
  const BackendTable& backends = host_.parts_.backends;
  AttemptSilence out;
  out.last_byte_at = last_byte_at_;
  out.server_silence = backends.SilentFor(now, server_);
  out.server_silence_to_all = backends.SilentToAllFor(now, server_);
  out.answer_begun = answer_begun_;
  if (route_->stall_limit > Duration::zero())
    out.caller_leaves_at = last_event_at_ + route_->stall_limit;
  return out;
}

void RequestExchange::OfferToSuccessor(MonoTime now) {
  RequestProgress progress = Progress(now);
  ++progress.runs;
  // The last send is kept for when the live attempt ends.
  ++progress.sends;
  if (!WantsAnother(progress, AttemptEnd::kSilent))
    return;
  const std::optional<ServerId> server = ChooseSuccessor(now);
  if (!server)
    return;
  const auto address = host_.parts_.backends.AddressOf(*server);
  if (!address)
    return;
  if (!successor_paid_ &&
      !host_.StateOf(service_).budget.TryTake(now, AccountId()))
    return;
  successor_paid_ = false;
  successor_ = {.connection = OpenAttempt(now, *server, *address),
                .server = *server,
                .start = host_.parts_.backends.StartOf(*server),
                .sent_at = now,
                .answer = {},
                .events = events_,
                .held = {}};
  successor_.events.Restart(server->value());
  LogLine line("successor_offered");
  AddSuccessor(now, successor_, line);
  line.Add("server_silent_ms", host_.parts_.backends.SilentFor(now, server_));
  host_.parts_.log.Write(line);
  handover_timer_ = host_.parts_.timers.Add(
      now + kHandoverTime, [weak = weak_from_this()](MonoTime due) {
        const auto self = weak.lock();
        if (!self || !self->successor_.connection)
          return;
        self->handover_timer_ = TimerQueue::kNoTicket;
        self->OnHandoverTime(due);
      });
}

std::optional<ServerId> RequestExchange::ChooseSuccessor(MonoTime now) {
  if (host_.crash_suspects_.IsQuarantined(fingerprint_) || PartRefusal(now))
    return std::nullopt;
  if (account_ && !host_.parts_.key_evidence.MayAcceptKeys(BootClock::now()))
    return std::nullopt;
  RouteRequest routing = routing_;
  routing.excluded.push_back(server_);
  routing.deadline = CallerLeaves();
  BackendTable& backends = host_.parts_.backends;
  RouteChoice choice = backends.Choose(now, service_, routing);
  if (!choice.server) {
    // Better a server that has failed before than none, but never the silent
    // one: it would get the same work twice, and no other the request.
    routing.excluded = {server_};
    choice = backends.Choose(now, service_, routing);
  }
  return choice.server;
}

bool RequestExchange::OnSuccessorHead(const HttpHead& head) {
  const MonoTime now = Now();
  const auto self = shared_from_this();
  host_.parts_.backends.OnActivity(now, successor_.server);
  host_.NoteServerSignals(now, successor_.start, head);
  const AnswerOwner owner = OwnerOf(head, host_.dialect_, request_id_);
  if (owner == AnswerOwner::kOtherRequest) {
    LogStaleAnswer(head, successor_.server);
    return false;
  }
  const bool own = owner == AnswerOwner::kThisRequest;
  const bool success = head.status / 100 == 2;
  if (own && success && MayPassOn(head)) {
    successor_.answer = AnswerOf(head);
    return true;
  }
  const AttemptEnd end =
      own && !success ? EndOf(head.status, head.fields) : AttemptEnd::kBroken;
  if (end == AttemptEnd::kMisdirected)
    host_.parts_.backends.NoteMissing(now, successor_.server, routing_.model);
  RejectSuccessor(now, end);
  return true;
}

void RequestExchange::OnSuccessorBody(std::string_view piece) {
  const MonoTime now = Now();
  const auto self = shared_from_this();
  host_.parts_.backends.OnActivity(now, successor_.server);
  Answer& answer = successor_.answer;
  if (!answer.streaming) {
    answer.body.append(piece);
    LimitSuccessor(answer.body.size());
    return;
  }
  answer.events += successor_.events.Feed(piece, successor_.held);
  if (answer.events > 0)
    TakeOver(now);
  else if (successor_.events.refused())
    RejectSuccessor(now, EndOf(successor_.events));
  else
    LimitSuccessor(successor_.held.size());
}

void RequestExchange::LimitSuccessor(std::size_t held) {
  if (held > kMaxGatheredBytes)
    successor_.connection->SetReading(false);
}

void RequestExchange::OnSuccessorComplete() {
  const MonoTime now = Now();
  const auto self = shared_from_this();
  const bool whole =
      !successor_.answer.streaming ||
      (successor_.answer.framed && !successor_.events.inside_event());
  if (whole) {
    TakeOver(now);
    OnComplete();
    return;
  }
  if (successor_.answer.framed) {
    RejectSuccessor(now, AttemptEnd::kBroken);
    return;
  }
  // The server closed the connection, as its process does when it ends.
  OnSuccessorFailed({.kind = HttpFailure::Kind::kBrokenAnswer,
                     .request_sent = true,
                     .by_peer = true});
}

void RequestExchange::OnHandoverTime(MonoTime now) {
  const BackendTable& backends = host_.parts_.backends;
  const HandoverState state = {
      .accepted = successor_.answer.status != 0,
      .server_silence = backends.SilentFor(now, server_),
      .server_silence_to_all = backends.SilentToAllFor(now, server_),
      .answer_begun = answer_begun_};
  if (PrefersSuccessor(state)) {
    TakeOver(now);
    return;
  }
  // It may only be busy, which is no failure of its server.
  PostponeOffer(now);
  DropSuccessor(now, "not_begun", AttemptOutcome::kCancelled);
}

void RequestExchange::PostponeOffer(MonoTime now) {
  routing_.excluded.push_back(successor_.server);
  next_offer_at_ = now + kOfferInterval * (1U << failed_offers_++);
}

void RequestExchange::OnSuccessorFailed(const HttpFailure& failure) {
  const MonoTime now = Now();
  NoteLoss(now, successor_.start, successor_.answer, failure);
  RejectSuccessor(now, EndOf(failure));
}

void RequestExchange::RejectSuccessor(MonoTime now, AttemptEnd end) {
  PostponeOffer(now);
  if (successor_.events.out_of_order())
    events_.NoteRefusal(successor_.events);
  successor_paid_ = !CountsAsRepeat(end);
  if (!ProvesNotRun(end))
    ++runs_;
  DropSuccessor(now, AttemptEndName(end), OutcomeOf(end));
}

void RequestExchange::DropSuccessor(MonoTime now,
                                    std::string_view end,
                                    AttemptOutcome outcome) {
  if (!successor_.connection)
    return;
  host_.parts_.timers.Cancel(handover_timer_);
  const Successor dropped = std::exchange(successor_, {});
  if (outcome == AttemptOutcome::kCancelled &&
      dropped.connection->request_sent())
    ++runs_;
  dropped.connection->Cancel();
  CountEnd(now, dropped.server, dropped.sent_at, outcome);
  LogLine line("successor_dropped");
  line.Add("end", end);
  AddSuccessor(now, dropped, line);
  host_.parts_.log.Write(line);
  if (!done_)
    ArmSilenceCheck(now);
}

void RequestExchange::AddSuccessor(MonoTime now,
                                   const Successor& successor,
                                   LogLine& line) const {
  line.Add("id", request_id_)
      .Add("server", successor.server.value())
      .Add("silent_server", server_.value())
      .Add("events", events_passed_)
      .Add("after_ms", now - successor.sent_at)
      .Add("left_ms", deadline_ - now);
  AddAges(now, line);
}

void RequestExchange::TakeOver(MonoTime now) {
  EndAttempt(now, AttemptEnd::kSilent);
}

void RequestExchange::AdoptSuccessor(MonoTime now) {
  host_.parts_.timers.Cancel(handover_timer_);
  routing_.excluded.push_back(server_);
  Successor successor = std::exchange(successor_, {});
  LogLine line("successor_adopted");
  line.Add("end", last_end_);
  AddSuccessor(now, successor, line);
  host_.parts_.log.Write(line);
  connection_ = std::move(successor.connection);
  server_ = successor.server;
  server_start_ = successor.start;
  sent_at_ = successor.sent_at;
  last_byte_at_ = now;
  answer_ = std::move(successor.answer);
  events_ = std::move(successor.events);
  reading_paused_ = false;
  ArmSilenceCheck(now);
  connection_->SetReading(true);
  if (answer_.streaming)
    PassOnEvents(now, std::exchange(answer_.events, 0), successor.held);
  else if (answer_.body.size() > kMaxGatheredBytes)
    OnLargeAnswer(now);
}

}  // namespace mangoport
