#include "caller_response.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace mangoport {
namespace {

using nlohmann::json;

constexpr const char* kJson = "application/json";

json ErrorJson(const RequestId& request, const Error& error) {
  return {{"error",
           {{"code", ErrorCodeName(error.code)},
            {"message", error.message},
            {"request_id", request.value()},
            {"not_run", error.not_run}}}};
}

json Frame(CompletionShape shape,
           const char* kind,
           const RequestId& request,
           const ModelId& model) {
  const bool chat = shape == CompletionShape::kChat;
  std::string object = chat ? "chat.completion" : "text_completion";
  if (chat)
    object += kind;
  return {
      {"id", request.value()}, {"object", object}, {"model", model.value()}};
}

std::string Event(const json& value) {
  return "data: " + value.dump() + "\n\n";
}

}  // namespace

int HttpStatusFor(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidRequest:
      return 400;
    case ErrorCode::kUnauthorized:
      return 401;
    case ErrorCode::kForbidden:
      return 403;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
      return 409;
    case ErrorCode::kPayloadTooLarge:
      return 413;
    case ErrorCode::kRateLimited:
      return 429;
    case ErrorCode::kOverloaded:
    case ErrorCode::kUnavailable:
      return 503;
    case ErrorCode::kQuarantined:
      return 422;
    case ErrorCode::kDeadlineExceeded:
    case ErrorCode::kOutcomeUnknown:
      return 504;
    case ErrorCode::kInternal:
      return 500;
  }
  return 500;
}

std::string ErrorBody(const RequestId& request, const Error& error) {
  return ErrorJson(request, error)
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

void SetError(httplib::Response& response,
              const RequestId& request,
              const Error& error,
              Duration retry_after) {
  response.status = HttpStatusFor(error.code);
  response.set_content(ErrorBody(request, error), kJson);
  if (retry_after <= Duration::zero())
    return;
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
  response.set_header("Retry-After", std::to_string(seconds.count()));
}

std::string StreamChunk(CompletionShape shape,
                        const RequestId& request,
                        const ModelId& model,
                        const std::string& text) {
  json chunk = Frame(shape, ".chunk", request, model);
  if (shape == CompletionShape::kChat) {
    chunk["choices"] = {{{"index", 0}, {"delta", {{"content", text}}}}};
  } else {
    chunk["choices"] = {{{"index", 0}, {"text", text}}};
  }
  return Event(chunk);
}

std::string StreamEnd(CompletionShape shape,
                      const RequestId& request,
                      const ModelId& model,
                      std::uint64_t completion_tokens) {
  json chunk = Frame(shape, ".chunk", request, model);
  json choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (shape == CompletionShape::kChat) {
    choice["delta"] = json::object();
  } else {
    choice["text"] = "";
  }
  chunk["choices"] = json::array({choice});
  chunk["usage"] = {{"completion_tokens", completion_tokens}};
  return Event(chunk) + "data: [DONE]\n\n";
}

std::string StreamError(const RequestId& request, const Error& error) {
  return Event(ErrorJson(request, error));
}

std::string AnswerBody(CompletionShape shape,
                       const RequestId& request,
                       const ModelId& model,
                       const std::string& text,
                       std::uint64_t completion_tokens) {
  json answer = Frame(shape, "", request, model);
  json choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (shape == CompletionShape::kChat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  answer["choices"] = json::array({choice});
  answer["usage"] = {{"completion_tokens", completion_tokens}};
  return answer.dump();
}

}  // namespace mangoport
