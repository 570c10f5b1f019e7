// How the answer of a backend server reaches the caller.
#include <string>
#include <string_view>
#include <utility>

#include "lib/forward/request_exchange.h"
#include "mangoport/forward/answer_policy.h"

namespace mangoport {
namespace {

MonoTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

bool RequestExchange::OnHead(const HttpHead& head) {
  const MonoTime now = Now();
  last_byte_at_ = now;
  host_.parts_.backends.OnActivity(now, server_);
  host_.NoteServerSignals(now, server_start_, head);
  const AnswerOwner owner = OwnerOf(head, host_.dialect_, request_id_);
  if (owner == AnswerOwner::kOtherRequest) {
    LogStaleAnswer(head, server_);
    return false;
  }
  answer_ = AnswerOf(head);
  if (owner == AnswerOwner::kUnknown || !MayPassOn(head)) {
    EndAttempt(now, AttemptEnd::kBroken);
    return true;
  }
  if (head.status / 100 == 2)
    DropSuccessor(now, "overtaken", AttemptOutcome::kCancelled);
  return true;
}

RequestExchange::Answer RequestExchange::AnswerOf(const HttpHead& head) const {
  Answer out;
  out.status = head.status;
  out.reason = head.reason;
  out.fields = EndToEndFields(head);
  out.streaming =
      FormOf(head, route_->kind, answer_begun_) == AnswerForm::kEvents;
  out.length = head.content_length;
  out.framed = head.chunked || head.content_length || head.status == 204 ||
               request_.head.method == "HEAD";
  return out;
}

bool RequestExchange::MayPassOn(const HttpHead& head) const {
  if (head.status / 100 != 2)
    return true;
  return FormOf(head, route_->kind, answer_begun_) != AnswerForm::kUnusable &&
         FindField(head.fields, host_.dialect_.request_id) &&
         FindField(head.fields, host_.dialect_.answer_seal) &&
         !FindField(head.fields, "content-encoding");
}

HttpFields RequestExchange::EndToEndFields(const HttpHead& head) const {
  const std::string_view hops = FieldText(head.fields, "connection");
  HttpFields out;
  for (const HttpField& it : head.fields) {
    if (!IsHopByHop(it.name, hops) &&
        !EqualsIgnoringCase(it.name, "content-length"))
      out.push_back(it);
  }
  return out;
}

void RequestExchange::OnBody(std::string_view piece) {
  const MonoTime now = Now();
  last_byte_at_ = now;
  host_.parts_.backends.OnActivity(now, server_);
  if (answer_.status / 100 == 2)
    DropSuccessor(now, "overtaken", AttemptOutcome::kCancelled);
  if (answer_.in_pieces) {
    if (answer_.begun_at)
      NoteAnswerGoesOn(now);
    PassOnPiece(piece);
    return;
  }
  if (!answer_.streaming) {
    answer_.body.append(piece);
    if (answer_.body.size() > kMaxGatheredBytes)
      OnLargeAnswer(now);
    return;
  }
  std::string whole;
  const std::size_t n = events_.Feed(piece, whole);
  PassOnEvents(now, n, whole);
}

void RequestExchange::PassOnEvents(MonoTime now,
                                   std::size_t n,
                                   std::string_view whole) {
  if (n > 0) {
    answer_.events += n;
    events_passed_ += n;
    host_.parts_.metrics.OnEvents(n);
    OnEvents(now);
  }
  if (!whole.empty())
    PassOnPiece(whole);
  if (events_.refused() && !done_)
    EndAttempt(now, EndOf(events_));
}

void RequestExchange::OnEvents(MonoTime now) {
  NoteAnswerGoesOn(now);
  last_event_at_ = now;
  if (first_event_at_)
    return;
  first_event_at_ = now;
  host_.parts_.backends.OnFirstToken(now, service_, server_, prompt_tokens_,
                                     now - sent_at_, routing_.urgency);
  host_.parts_.metrics.OnFirstEvent(now - request_.arrived);
}

void RequestExchange::PassOnPiece(std::string_view whole) {
  if (!answer_begun_) {
    answer_begun_ = true;
    // The length of one run says nothing of a stream, which may have several.
    session_->BeginAnswer(answer_.status, answer_.reason, answer_.fields, whole,
                          answer_.in_pieces ? answer_.length : std::nullopt);
  } else {
    session_->SendPiece(whole);
  }
  bytes_passed_ += whole.size();
  if (session_->unsent() <= kMaxUnsentBytes || !connection_)
    return;
  connection_->SetReading(false);
  reading_paused_ = true;
  session_->set_on_drained([weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->OnDrained();
  });
}

void RequestExchange::OnLargeAnswer(MonoTime now) {
  const bool success = answer_.status / 100 == 2;
  RequestProgress progress = Progress(now);
  ++progress.runs;
  if (!PassesOnInPieces(answer_.status, EndOf(answer_.status, answer_.fields),
                        progress)) {
    EndAttempt(now, AttemptEnd::kOverlong);
    return;
  }
  DropSuccessor(now, "overtaken", AttemptOutcome::kCancelled);
  if (success)
    NoteAnswerGoesOn(now);
  answer_.in_pieces = true;
  PassOnPiece(std::exchange(answer_.body, {}));
}

void RequestExchange::EndLargeAnswer(MonoTime now) {
  NoteWholeAnswer(now);
  FinishAttempt(now, AttemptOutcome::kCompleted);
  session_->EndAnswer();
  Finish(now, answer_.status / 100 == 2 ? "served" : "server_failure",
         answer_.status);
}

void RequestExchange::OnDrained() {
  if (!std::exchange(reading_paused_, false) || !connection_)
    return;
  // Silence counts from when the server can be heard again.
  last_byte_at_ = Now();
  connection_->SetReading(true);
}

bool RequestExchange::StreamIsWhole() const {
  if (events_.inside_event())
    return false;
  // With no events, the end of the connection is the only sign of an end, and a
  // server that is lost behind its head gives it as well.
  return answer_.framed || answer_.events > 0;
}

void RequestExchange::OnComplete() {
  const auto self = shared_from_this();
  const MonoTime now = Now();
  if (answer_.streaming && !StreamIsWhole()) {
    OnBrokenStream(now);
    return;
  }
  connection_.reset();
  if (answer_.in_pieces) {
    EndLargeAnswer(now);
    return;
  }
  const int status = answer_.status;
  if (status / 100 == 2) {
    NoteWholeAnswer(now);
    FinishAttempt(now, AttemptOutcome::kCompleted);
    if (!answer_.streaming) {
      PassOnWhole(now);
      return;
    }
    if (!answer_begun_)
      session_->BeginAnswer(status, answer_.reason, answer_.fields, {});
    answer_begun_ = true;
    session_->SendPiece(events_.partial());
    session_->EndAnswer();
    Finish(now, "served", status);
    return;
  }
  const AttemptEnd end = EndOf(status, answer_.fields);
  if (end == AttemptEnd::kMisdirected)
    host_.parts_.backends.NoteMissing(now, server_, routing_.model);
  if (end != AttemptEnd::kServerError || status >= 500 || answer_begun_) {
    EndAttempt(now, end);
    return;
  }
  FinishAttempt(now, AttemptOutcome::kCompleted);
  PassOnWhole(now);
}

void RequestExchange::PassOnWhole(MonoTime now) {
  session_->AnswerWhole(answer_.status, answer_.reason, answer_.fields,
                        answer_.body);
  Finish(now, answer_.status / 100 == 2 ? "served" : "server_failure",
         answer_.status);
}

}  // namespace mangoport
