#include "mangoport/forward/answer_policy.h"

namespace mangoport {
namespace {

constexpr std::string_view kEventStream = "text/event-stream";

/// True if the answer is a stream of events, or does not say what it is.
bool MayBeEvents(const HttpHead& head) {
  if (head.status != 200)
    return false;
  const std::string* type = FindField(head.fields, "content-type");
  if (!type)
    return true;
  std::string_view name = *type;
  name = name.substr(0, name.find(';'));
  name = name.substr(0, name.find_last_not_of(" \t") + 1);
  return EqualsIgnoringCase(name, kEventStream);
}

}  // namespace

AnswerOwner OwnerOf(const HttpHead& head,
                    const ForwardDialect& dialect,
                    std::string_view request_id) {
  const std::string* owner = nullptr;
  for (const HttpField& it : head.fields) {
    if (!EqualsIgnoringCase(it.name, dialect.request_id))
      continue;
    if (owner && *owner != it.value)
      return AnswerOwner::kUnknown;
    owner = &it.value;
  }
  if (!owner)
    return request_id.empty() ? AnswerOwner::kThisRequest
                              : AnswerOwner::kUnknown;
  return *owner == request_id ? AnswerOwner::kThisRequest
                              : AnswerOwner::kOtherRequest;
}

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

AnswerForm FormOf(const HttpHead& head, RouteKind kind, bool stream_begun) {
  if (head.status / 100 != 2)
    return AnswerForm::kWhole;
  if (kind == RouteKind::kStream && MayBeEvents(head))
    return AnswerForm::kEvents;
  return stream_begun ? AnswerForm::kUnusable : AnswerForm::kWhole;
}

bool PassesOnInPieces(int status,
                      AttemptEnd end,
                      const RequestProgress& progress) {
  if (status / 100 == 2)
    return true;
  if (end != AttemptEnd::kServerError || progress.answer_begun)
    return false;
  return status < 500 || !WantsAnother(progress, end);
}

}  // namespace mangoport
