#include "mangoport/entryhost/caller_request.h"

#include <nlohmann/json.hpp>

#include "mangoport/adapters/json.h"

namespace mangoport {
namespace {

using nlohmann::json;

constexpr std::uint32_t kDefaultMaxTokens = 256;
constexpr std::uint32_t kMaxMaxTokens = 32768;
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::uint64_t kBytesPerToken = 4;

Error Invalid(std::string message) {
  return {ErrorCode::kInvalidRequest, std::move(message), /*not_run=*/true};
}

/// Concatenates chat messages into one prompt. Returns false if a message is
/// malformed.
bool JoinMessages(const json& messages, std::string& prompt) {
  if (!messages.is_array() || messages.empty())
    return false;
  for (const json& it : messages) {
    if (!it.is_object() || !it.contains("role") || !it["role"].is_string() ||
        !it.contains("content") || !it["content"].is_string())
      return false;
    prompt += it["role"].get_ref<const std::string&>() + ": " +
              it["content"].get_ref<const std::string&>() + "\n";
  }
  return true;
}

/// Splits a name of the form "model:adapter".
void SplitModel(const std::string& text, CallerCompletion& request) {
  const std::size_t colon = text.find(':');
  request.model = ModelId(text.substr(0, colon));
  if (colon != std::string::npos)
    request.adapter = AdapterId(text.substr(colon + 1));
}

}  // namespace

std::variant<CallerCompletion, Error> ParseCompletion(CompletionShape shape,
                                                      std::string_view body) {
  const json it = ParseJson(body);
  if (it.is_discarded())
    return Invalid("the body is not valid JSON");
  if (!it.is_object())
    return Invalid("the body must be an object");
  CallerCompletion request;
  if (!it.contains("model") || !it["model"].is_string())
    return Invalid("'model' must be a string");
  const auto& model = it["model"].get_ref<const std::string&>();
  if (model.empty() || model.size() > kMaxNameBytes)
    return Invalid("'model' must have 1 to 256 bytes");
  SplitModel(model, request);
  if (shape == CompletionShape::kChat) {
    if (!it.contains("messages") ||
        !JoinMessages(it["messages"], request.prompt))
      return Invalid("'messages' must be objects with 'role' and 'content'");
  } else {
    if (!it.contains("prompt") || !it["prompt"].is_string())
      return Invalid("'prompt' must be a string");
    request.prompt = it["prompt"].get<std::string>();
  }
  request.max_tokens = kDefaultMaxTokens;
  if (it.contains("max_tokens")) {
    const json& n = it["max_tokens"];
    if (!n.is_number_unsigned() || n.get<std::uint64_t>() < 1 ||
        n.get<std::uint64_t>() > kMaxMaxTokens)
      return Invalid("'max_tokens' must be a whole number from 1 to 32768");
    request.max_tokens = n.get<std::uint32_t>();
  }
  if (it.contains("stream")) {
    if (!it["stream"].is_boolean())
      return Invalid("'stream' must be true or false");
    request.stream = it["stream"].get<bool>();
  }
  return request;
}

std::uint64_t WorstCaseTokens(const CallerCompletion& request) {
  return request.prompt.size() / kBytesPerToken + 1 + request.max_tokens;
}

}  // namespace mangoport
