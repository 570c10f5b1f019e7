#ifndef MANGOPORT_ADAPTERS_HTTP_OPERATOR_H_
#define MANGOPORT_ADAPTERS_HTTP_OPERATOR_H_

#include <optional>
#include <string>

#include "mangoport/core/time.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {

/// The operators' surface of one entry host, as the command line calls it.
class OperatorClient {
 public:
  OperatorClient(Endpoint endpoint, std::string token);

  /// The body of the answer, or nothing if there was none or it was an error.
  std::optional<std::string> Get(const std::string& path,
                                 Duration timeout) const;
  std::optional<std::string> Post(const std::string& path,
                                  const std::string& body,
                                  Duration timeout) const;

  const Endpoint& endpoint() const { return endpoint_; }

 private:
  Endpoint endpoint_;
  std::string token_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ADAPTERS_HTTP_OPERATOR_H_
