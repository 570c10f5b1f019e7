#include "lib/forward/request_exchange.h"

#include <algorithm>
#include <utility>

#include "mangoport/forward/answer_policy.h"
#include "mangoport/forward/wait_policy.h"

namespace mangoport {
namespace {

/// Most requests that a host keeps until there is room for them. Each may have
/// a body.
constexpr std::size_t kMostHeld = 64;

std::string_view ZoneUseName(ZoneUse use) {
  switch (use) {
    case ZoneUse::kHome:
      return "home";
    case ZoneUse::kNoneAtHome:
      return "away_none_at_home";
    case ZoneUse::kShorterWait:
      return "away_shorter_wait";
  }
  return "home";
}

MonoTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

RequestExchange::RequestExchange(Forwarder& host,
                                 std::shared_ptr<ClientSession> session,
                                 HttpRequest request)
    : host_(host),
      session_(std::move(session)),
      request_(std::move(request)),
      config_(host.config_),
      deadline_(MonoTime::max()) {
  ++host_.active_;
  host_.exchanges_.insert(this);
}

RequestExchange::~RequestExchange() {
  EndHold();
  --host_.active_;
  host_.exchanges_.erase(this);
}

void RequestExchange::Start() {
  const MonoTime now = request_.arrived;
  last_event_at_ = now;
  if (const std::string* id =
          FindField(request_.head.fields, host_.dialect_.request_id))
    request_id_ = *id;
  const std::weak_ptr<RequestExchange> weak = weak_from_this();
  session_->set_on_gone([weak] {
    if (const auto self = weak.lock())
      self->OnCallerDisconnected();
  });
  if (!Admit(now))
    return;
  ArmDeadline(deadline_);
  Dispatch(now);
}

void RequestExchange::Dispatch(MonoTime now) {
  EndHold();
  if (now >= deadline_) {
    OnDeadline(now);
    return;
  }
  if (KeyIsWithdrawn()) {
    Refuse(now, {.status = 401, .reason = "key_withdrawn"});
    return;
  }
  if (!AdmitContent(now))
    return;
  if (runs_ == 0 && EndsTooSoon(now)) {
    Refuse(now, {.status = 503, .reason = "stopping"});
    return;
  }
  if (!AdmitParts(now))
    return;
  SetDue();
  RouteChoice choice = host_.parts_.backends.Choose(now, service_, routing_);
  if (!choice.server && !routing_.excluded.empty() && runs_ > 0) {
    // Better the same server again than none.
    routing_.excluded.clear();
    choice = host_.parts_.backends.Choose(now, service_, routing_);
  }
  if (!choice.server) {
    if (choice.hold_for && host_.held_ < kMostHeld)
      HoldForRoom(now, choice);
    else
      AwaitCopy(now, choice);
    return;
  }
  // The wait may have been long, or the machine may have stood still.
  if ((sends_ > 0 || waiting_) && session_->CloseIfCallerLeft())
    return;
  if (account_ && !host_.parts_.key_evidence.MayAcceptKeys(BootClock::now())) {
    Refuse(now, {.status = 503, .reason = "key_evidence_old"});
    return;
  }
  if (!AdmitQuota(now))
    return;
  host_.parts_.metrics.OnDispatch(ZoneUseName(choice.zone_use));
  Send(now, *choice.server);
}

void RequestExchange::SetDue() {
  routing_.deadline = CallerLeaves();
  routing_.objective = Duration::max();
  routing_.due = MonoTime::max();
  // What has been sent once waits as long as its caller does, and so does a
  // stream that its caller resumes.
  if (sends_ > 0 || events_.last_id() ||
      route_->latency_objective <= Duration::zero())
    return;
  routing_.objective = route_->latency_objective;
  routing_.due = request_.arrived + route_->latency_objective;
  routing_.whole_answer = route_->kind != RouteKind::kStream;
}

void RequestExchange::HoldForRoom(MonoTime now, const RouteChoice& choice) {
  host_.parts_.log.Write(LogLine("held_for_room")
                             .Add("id", request_id_)
                             .Add("urgency", routing_.urgency)
                             .Add("expected_wait", choice.expected_wait)
                             .Add("due_in", routing_.due - now)
                             .Add("hold", *choice.hold_for));
  host_.parts_.metrics.OnHold();
  held_ = true;
  ++host_.held_;
  wait_timer_ = host_.parts_.timers.Add(
      now + *choice.hold_for, [weak = weak_from_this()](MonoTime due) {
        const auto self = weak.lock();
        if (!self || self->done_ || !self->held_)
          return;
        self->wait_timer_ = TimerQueue::kNoTicket;
        if (!self->session_->CloseIfCallerLeft())
          self->Dispatch(due);
      });
}

void RequestExchange::EndHold() {
  if (std::exchange(held_, false))
    --host_.held_;
}

bool RequestExchange::EndsTooSoon(MonoTime now) const {
  return host_.end_ - now < route_->latency_objective;
}

void RequestExchange::AwaitCopy(MonoTime now, const RouteChoice& choice) {
  const ServiceSpec* service = config_->FindService(service_);
  if (!service || !service->engine ||
      host_.parts_.backends.AllLeaving(service_) ||
      host_.parts_.backends.HasModel(now, service_, routing_.model)) {
    const bool full = choice.refusal.code == ErrorCode::kOverloaded;
    if (full)
      host_.parts_.log.Write(LogLine("queue_too_long")
                                 .Add("id", request_id_)
                                 .Add("urgency", routing_.urgency)
                                 .Add("expected_wait", choice.expected_wait)
                                 .Add("objective", route_->latency_objective));
    const bool evacuated = host_.parts_.backends.AllEvacuated(service_);
    Refuse(now, {.status = 503,
                 .reason = full        ? "no_time"
                           : evacuated ? "evacuated"
                                       : "no_server",
                 .retry_after = choice.retry_after});
    return;
  }
  const std::string_view name = routing_.model.value();
  const std::size_t slash = name.find('/');
  const std::string_view base = name.substr(0, slash);
  const auto spec = std::find_if(
      service->engine->models.begin(), service->engine->models.end(),
      [base](const ModelSpec& it) { return it.model.value() == base; });
  if (!use_ || spec == service->engine->models.end()) {
    Refuse(now, {.status = 503, .reason = "unknown_model"});
    return;
  }
  if (!waiting_)
    waiting_since_ = now;
  MissingCopy missing;
  missing.time_left = routing_.deadline - now;
  missing.waited = now - waiting_since_;
  missing.is_adapter =
      slash != std::string_view::npos &&
      host_.parts_.backends.HasModel(now, service_, spec->model);
  missing.load_time =
      missing.is_adapter ? Duration::zero() : spec->load_from_store;
  const WaitDecision decision = DecideWait(missing);
  if (!decision.wait) {
    // The caller comes back, and the copy should be there by then.
    if (host_.on_missing_)
      host_.on_missing_();
    Refuse(now, {.status = 503,
                 .reason = "model_not_loaded",
                 .retry_after = decision.retry_after});
    return;
  }
  if (!waiting_) {
    waiting_ = true;
    ++use_->waiting;
    if (host_.on_missing_)
      host_.on_missing_();
  }
  host_.waiting_[routing_.model].push_back(weak_from_this());
  host_.parts_.timers.Cancel(wait_timer_);
  wait_timer_ = host_.parts_.timers.Add(
      now + decision.limit, [weak = weak_from_this()](MonoTime due) {
        const auto self = weak.lock();
        if (!self || self->done_ || !self->waiting_)
          return;
        self->wait_timer_ = TimerQueue::kNoTicket;
        self->Refuse(due, {.status = 503, .reason = "model_not_loaded"});
      });
}

void RequestExchange::OnModelAppeared() {
  if (done_ || !waiting_)
    return;
  host_.parts_.timers.Cancel(wait_timer_);
  const MonoTime now = Now();
  Dispatch(now);
}

void RequestExchange::Send(MonoTime now, const ServerId& server) {
  const auto address = host_.parts_.backends.AddressOf(server);
  if (!address) {
    host_.parts_.log.Write(LogLine("server_without_address")
                               .Add("id", request_id_)
                               .Add("server", server.value())
                               .Add("service", service_.value()));
    Refuse(now, {.status = 503, .reason = "no_server"});
    return;
  }
  if (waiting_) {
    waiting_ = false;
    --use_->waiting;
  }
  server_ = server;
  server_start_ = host_.parts_.backends.StartOf(server);
  sent_at_ = now;
  last_byte_at_ = now;
  answer_ = Answer();
  reading_paused_ = false;
  events_.Restart(server_.value());
  connection_ = OpenAttempt(now, server, *address);
  if (route_->idempotent())
    ArmSilenceCheck(now);
}

HttpConnection::Ptr RequestExchange::OpenAttempt(
    MonoTime now,
    const ServerId& server,
    const asio::ip::tcp::endpoint& address) {
  if (sends_++ == 0)
    host_.StateOf(service_).budget.OnRequest(now, AccountId());
  if (use_)
    ++use_->running;
  if (host_.parts_.backends.IsCold(now, server))
    host_.parts_.metrics.OnColdDispatch();
  host_.parts_.backends.OnDispatched(now, service_, server, prompt_tokens_);
  HttpConnection::Ptr connection =
      host_.parts_.pool.Acquire(now, server.value(), address,
                                /*fresh=*/runs_ > 0 || connection_);
  connection->Exchange(BuildRequest(now, server),
                       request_.head.method == "HEAD",
                       HooksFor(connection.get()));
  return connection;
}

HttpExchangeHooks RequestExchange::HooksFor(const HttpConnection* connection) {
  const std::weak_ptr<RequestExchange> weak = weak_from_this();
  return {.on_head =
              [weak, connection](const HttpHead& head) {
                const auto self = weak.lock();
                if (!self)
                  return false;
                return self->IsSuccessor(connection)
                           ? self->OnSuccessorHead(head)
                           : self->OnHead(head);
              },
          .on_body =
              [weak, connection](std::string_view piece) {
                const auto self = weak.lock();
                if (!self)
                  return;
                if (self->IsSuccessor(connection))
                  self->OnSuccessorBody(piece);
                else
                  self->OnBody(piece);
              },
          .on_complete =
              [weak, connection] {
                const auto self = weak.lock();
                if (!self)
                  return;
                if (self->IsSuccessor(connection))
                  self->OnSuccessorComplete();
                else
                  self->OnComplete();
              },
          .on_failed =
              [weak, connection](const HttpFailure& failure) {
                const auto self = weak.lock();
                if (!self)
                  return;
                if (self->IsSuccessor(connection))
                  self->OnSuccessorFailed(failure);
                else
                  self->OnFailed(failure);
              },
          .may_send =
              [weak] {
                const auto self = weak.lock();
                return self && !self->session_->CloseIfCallerLeft();
              }};
}

void RequestExchange::OnBrokenStream(MonoTime now) {
  if (!answer_.framed) {
    // The server closed the connection, as its process does when it ends.
    OnFailed({.kind = HttpFailure::Kind::kBrokenAnswer,
              .request_sent = true,
              .by_peer = true});
    return;
  }
  connection_.reset();
  EndAttempt(now, AttemptEnd::kBroken);
}

void RequestExchange::OnFailed(const HttpFailure& failure) {
  const auto self = shared_from_this();
  connection_.reset();
  NoteLoss(Now(), server_start_, answer_, failure);
  EndAttempt(Now(), EndOf(failure));
}

AttemptEnd RequestExchange::EndOf(int status, const HttpFields& fields) const {
  if (status == 421)
    return AttemptEnd::kMisdirected;
  if (FindField(fields, host_.dialect_.not_run) && status != 400)
    return AttemptEnd::kRefusedFull;
  // Without the proof that it has not run, the request may have.
  return PromisesNotRun(status) ? AttemptEnd::kBroken
                                : AttemptEnd::kServerError;
}

AttemptEnd RequestExchange::EndOf(const HttpFailure& failure) {
  switch (failure.kind) {
    case HttpFailure::Kind::kConnect:
      return AttemptEnd::kNotConnected;
    case HttpFailure::Kind::kNoAnswer:
      return AttemptEnd::kNoAnswer;
    case HttpFailure::Kind::kBrokenAnswer:
      return AttemptEnd::kBroken;
  }
  return AttemptEnd::kBroken;
}

AttemptEnd RequestExchange::EndOf(const EventSplitter& events) {
  return events.overlong() ? AttemptEnd::kOverlong : AttemptEnd::kBroken;
}

RequestProgress RequestExchange::Progress(MonoTime now) const {
  // A second run would repeat events that have no ids, or bytes.
  const bool may_repeat =
      !answer_.in_pieces && (!answer_begun_ || events_.resumable());
  return {.idempotent = route_->idempotent() && may_repeat,
          .max_attempts = route_->max_attempts,
          .runs = runs_,
          .sends = sends_,
          .answer_begun = answer_begun_,
          .time_left = deadline_ - now};
}

AttemptOutcome RequestExchange::OutcomeOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kRefusedFull:
    case AttemptEnd::kMisdirected:
      return AttemptOutcome::kRefusedBusy;
    case AttemptEnd::kNotConnected:
      return AttemptOutcome::kConnectFailed;
    case AttemptEnd::kNoAnswer:
      return AttemptOutcome::kConnectionLost;
    case AttemptEnd::kBroken:
    case AttemptEnd::kOverlong:
    case AttemptEnd::kServerError:
      return AttemptOutcome::kInvalidAnswer;
    case AttemptEnd::kSilent:
      return AttemptOutcome::kTimedOut;
  }
  return AttemptOutcome::kInvalidAnswer;
}

void RequestExchange::EndAttempt(MonoTime now, AttemptEnd end) {
  const auto self = shared_from_this();
  if (connection_)
    std::exchange(connection_, nullptr)->Cancel();
  last_end_ = AttemptEndName(end);
  LogAttempt(now, last_end_);
  FinishAttempt(now, OutcomeOf(end));
  if (!ProvesNotRun(end))
    ++runs_;
  if (successor_.connection) {
    AdoptSuccessor(now);
    return;
  }
  const RequestProgress progress = Progress(now);
  const bool may_repeat =
      WantsAnother(progress, end) &&
      (!CountsAsRepeat(end) ||
       host_.StateOf(service_).budget.TryTake(now, AccountId()));
  switch (DecideNextStep(progress, end, may_repeat)) {
    case NextStep::kTryAnother:
      routing_.excluded.push_back(server_);
      Dispatch(now);
      return;
    case NextStep::kRefuse:
      Refuse(now, {.status = 503, .reason = last_end_});
      return;
    case NextStep::kFail:
      Refuse(now, {.status = 502, .reason = last_end_});
      return;
    case NextStep::kPassOn:
      PassOnWhole(now);
      return;
    case NextStep::kBreak:
      Break(now, last_end_);
      return;
  }
}

void RequestExchange::FinishAttempt(MonoTime now, AttemptOutcome outcome) {
  host_.parts_.timers.Cancel(silence_timer_);
  CountEnd(now, server_, sent_at_, outcome);
}

void RequestExchange::CountEnd(MonoTime now,
                               const ServerId& server,
                               MonoTime sent_at,
                               AttemptOutcome outcome) {
  if (use_)
    --use_->running;
  host_.parts_.backends.OnFinished(now, service_, server, outcome,
                                   now - sent_at);
  host_.parts_.metrics.OnAttempt(
      outcome == AttemptOutcome::kCompleted   ? "completed"
      : outcome == AttemptOutcome::kCancelled ? "cancelled"
                                              : "failed");
}

}  // namespace mangoport
