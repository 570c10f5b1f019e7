#include "mangoport/forward/http_caller.h"

#include <memory>
#include <utility>

namespace mangoport {
namespace {

/// A call that has not ended yet.
struct PendingCall {
  HttpCallDone done;
  HttpCallResult result;
  HttpConnection::Ptr connection;
  TimerQueue::Ticket timer = TimerQueue::kNoTicket;
  bool over = false;

  void End(TimerQueue& timers) {
    if (std::exchange(over, true))
      return;
    timers.Cancel(timer);
    connection.reset();
    const HttpCallDone hook = std::move(done);
    hook(std::move(result));
  }

  /// Ends the call without an answer; a part of one does not count.
  void Fail(TimerQueue& timers, bool sent, bool overlong = false) {
    result = HttpCallResult();
    result.sent = sent;
    result.overlong = overlong;
    End(timers);
  }

  /// Gives the call up, which its peer may have carried out.
  void GiveUp(TimerQueue& timers, bool overlong) {
    connection->Cancel();
    Fail(timers, /*sent=*/true, overlong);
  }
};

std::string Serialize(const HttpCall& call) {
  std::string out;
  out.reserve(256 + call.body.size());
  out.append(call.method).append(" ").append(call.target);
  out.append(" HTTP/1.1\r\n");
  AppendField(out, "Host",
              call.endpoint.address().to_string() + ":" +
                  std::to_string(call.endpoint.port()));
  for (const HttpField& it : call.fields)
    AppendField(out, it.name, it.value);
  if (!call.content_type.empty())
    AppendField(out, "Content-Type", call.content_type);
  if (call.method != "GET")
    AppendField(out, "Content-Length", std::to_string(call.body.size()));
  out.append("\r\n");
  out.append(call.body);
  return out;
}

/// True if the answer is to another request, not to this call.
bool IsForeign(const HttpHead& head, const std::string& foreign_field) {
  return !foreign_field.empty() &&
         !FieldText(head.fields, foreign_field).empty();
}

}  // namespace

void HttpCaller::Call(MonoTime now, const HttpCall& call, HttpCallDone done) {
  const auto pending = std::make_shared<PendingCall>();
  pending->done = std::move(done);
  pending->connection =
      pool_.Acquire(now, call.peer, call.endpoint, /*fresh=*/false);
  pending->connection->set_connect_timeout(call.connect_timeout);
  pending->timer = timers_.Add(now + call.timeout, [this, pending](MonoTime) {
    pending->timer = TimerQueue::kNoTicket;
    if (pending->over)
      return;
    pending->GiveUp(timers_, /*overlong=*/false);
  });
  // The call may end, and let go of the connection, before `Exchange` returns.
  const HttpConnection::Ptr connection = pending->connection;
  connection->Exchange(
      Serialize(call), /*bodyless=*/false,
      {.on_head =
           [this, pending, peer = call.peer,
            foreign_field = call.foreign_field](const HttpHead& head) {
             if (on_head_)
               on_head_(peer, head);
             if (IsForeign(head, foreign_field))
               return false;
             pending->result.status = head.status;
             pending->result.fields = head.fields;
             return true;
           },
       .on_body =
           [this, pending,
            limit = call.max_answer_bytes](std::string_view piece) {
             std::string& body = pending->result.body;
             if (piece.size() > limit - body.size())
               pending->GiveUp(timers_, /*overlong=*/true);
             else
               body.append(piece);
           },
       .on_complete = [this, pending] { pending->End(timers_); },
       .on_failed =
           [this, pending](const HttpFailure& failure) {
             pending->Fail(timers_, failure.request_sent);
           }});
}

}  // namespace mangoport
