#include "mangoport/forward/answer_policy.h"

namespace mangoport {

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

}  // namespace mangoport
