#ifndef MANGOPORT_PORTS_PLAIN_SERVICE_H_
#define MANGOPORT_PORTS_PLAIN_SERVICE_H_

#include <string>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {

/// One call of a plain service. The caller's key is no part of it.
struct PlainCall {
  RequestId request;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  Duration connect_timeout{};
  Duration timeout{};
};

enum class PlainStatus {
  kAnswered,
  /// Nothing was sent: no connection came about.
  kNotSent,
  /// No whole answer came; the call may have run.
  kUnknown,
};

struct PlainResult {
  PlainStatus status = PlainStatus::kUnknown;
  int http_status = 0;
  std::string content_type;
  std::string body;
};

/// The plain services beside the model engines.
class PlainServiceClient {
 public:
  virtual ~PlainServiceClient() = default;

  /// Makes one call on a connection of its own, without repeating it.
  virtual PlainResult Call(const Endpoint& server, const PlainCall& call) = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_PORTS_PLAIN_SERVICE_H_
