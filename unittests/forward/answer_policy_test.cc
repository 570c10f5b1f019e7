#include "mangoport/forward/answer_policy.h"

#include <string>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

HttpHead Head(int status, HttpFields fields) {
  HttpHead out;
  out.status = status;
  out.fields = std::move(fields);
  return out;
}

ForwardDialect Dialect() {
  ForwardDialect out;
  out.request_id = "Request";
  return out;
}

// Proof of "not run" was taken from answers that name no request.
Test(answer_policy, only_the_own_id_makes_an_answer_the_requests_own) {
  const ForwardDialect dialect = Dialect();
  const auto owner = [&dialect](HttpFields fields, const char* id) {
    return OwnerOf(Head(503, std::move(fields)), dialect, id);
  };
  cr_expect_eq(owner({{"request", "a"}}, "a"), AnswerOwner::kThisRequest);
  cr_expect_eq(owner({{"Request", "b"}}, "a"), AnswerOwner::kOtherRequest);
  cr_expect_eq(owner({}, "a"), AnswerOwner::kUnknown);
  cr_expect_eq(owner({{"Request", "a"}, {"Request", "b"}}, "a"),
               AnswerOwner::kUnknown);
  cr_expect_eq(owner({{"Request", "b"}, {"Request", "a"}}, "a"),
               AnswerOwner::kUnknown);
  cr_expect_eq(owner({{"Request", "a"}, {"Request", "a"}}, "a"),
               AnswerOwner::kThisRequest);
  cr_expect_eq(owner({}, ""), AnswerOwner::kThisRequest);
  cr_expect_eq(owner({{"Request", "a"}}, ""), AnswerOwner::kOtherRequest);
}

Test(answer_policy, events_come_with_200_and_their_type_or_none) {
  const auto form = [](int status, const char* type) {
    return FormOf(Head(status, {{"Content-Type", type}}), RouteKind::kStream,
                  /*stream_begun=*/false);
  };
  cr_expect_eq(form(200, "text/event-stream"), AnswerForm::kEvents);
  cr_expect_eq(form(200, "Text/Event-Stream ; charset=utf-8"),
               AnswerForm::kEvents);
  cr_expect_eq(FormOf(Head(200, {}), RouteKind::kStream, false),
               AnswerForm::kEvents);
  cr_expect_eq(form(200, "text/event-streams"), AnswerForm::kWhole);
  cr_expect_eq(form(206, "text/event-stream"), AnswerForm::kWhole);
  cr_expect_eq(form(500, "text/event-stream"), AnswerForm::kWhole);
  cr_expect_eq(FormOf(Head(200, {{"Content-Type", "text/event-stream"}}),
                      RouteKind::kRunOnce, false),
               AnswerForm::kWhole);
}

// Any success was joined to a stream that had broken off.
Test(answer_policy, no_other_success_goes_on_with_a_stream) {
  const auto form = [](int status, const char* type) {
    return FormOf(Head(status, {{"Content-Type", type}}), RouteKind::kStream,
                  /*stream_begun=*/true);
  };
  cr_expect_eq(form(200, "text/event-stream"), AnswerForm::kEvents);
  cr_expect_eq(form(200, "text/plain"), AnswerForm::kUnusable);
  cr_expect_eq(form(204, "text/event-stream"), AnswerForm::kUnusable);
  cr_expect_eq(form(206, "text/event-stream"), AnswerForm::kUnusable);
  cr_expect_eq(form(503, "text/plain"), AnswerForm::kWhole);
}

}  // namespace
}  // namespace mangoport
