#include "mangoport/entryhost/plain_proxy.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace mangoport {
namespace {

using std::chrono::steady_clock;

/// Timeout of one backend server's answer.
constexpr Duration kAnswerTimeout = std::chrono::seconds(10);

PlainAnswer Fail(ErrorCode code, const char* message, bool not_run) {
  PlainAnswer answer;
  answer.error = {code, message, not_run};
  return answer;
}

}  // namespace

PlainProxy::PlainProxy(std::shared_ptr<PlainServiceClient> client,
                       BackendDirectory* backends,
                       BackendTimeouts timeouts)
    : client_(std::move(client)), backends_(backends), timeouts_(timeouts) {}

PlainAnswer PlainProxy::Run(const PlainRequest& request) const {
  bool may_have_run = false;
  for (const ServerId& it : backends_->PlainServers(request.route.service())) {
    const std::optional<Endpoint> endpoint = backends_->EndpointOf(it);
    const MonoTime now = steady_clock::now();
    if (!endpoint)
      continue;
    if (now >= request.deadline)
      break;
    PlainCall call;
    call.request = request.request;
    call.method = request.method;
    call.path = request.path;
    call.content_type = request.content_type;
    call.body = request.body;
    call.connect_timeout = timeouts_.connect;
    call.timeout = std::min(kAnswerTimeout, request.deadline - now);
    const PlainResult result = client_->Call(*endpoint, call);
    if (result.status == PlainStatus::kAnswered)
      return {true, result.http_status, result.content_type, result.body, {}};
    if (result.status == PlainStatus::kNotSent)
      continue;
    may_have_run = true;
    if (!request.route.idempotent()) {
      return Fail(ErrorCode::kOutcomeUnknown,
                  "the service gave no whole answer; it may have run the call",
                  false);
    }
  }
  return Fail(ErrorCode::kUnavailable, "no server of the service answered",
              !may_have_run);
}

}  // namespace mangoport
