#include "mangoport/adapters/http_operator.h"

#include <utility>

#include "http_client.h"

namespace mangoport {
namespace {

std::optional<std::string> BodyOf(const httplib::Result& result) {
  if (!result || result->status != 200)
    return std::nullopt;
  return result->body;
}

}  // namespace

OperatorClient::OperatorClient(Endpoint endpoint, std::string token)
    : endpoint_(std::move(endpoint)), token_(std::move(token)) {}

std::optional<std::string> OperatorClient::Get(const std::string& path,
                                               Duration timeout) const {
  httplib::Client client = MakeHttpClient(endpoint_, timeout, timeout);
  client.set_bearer_token_auth(token_);
  return BodyOf(mangoport::Get(client, path));
}

std::optional<std::string> OperatorClient::Post(const std::string& path,
                                                const std::string& body,
                                                Duration timeout) const {
  httplib::Client client = MakeHttpClient(endpoint_, timeout, timeout);
  client.set_bearer_token_auth(token_);
  return BodyOf(mangoport::Post(client, path, body, "application/json"));
}

}  // namespace mangoport
