#ifndef MANGOPORT_ENTRYHOST_OPERATOR_API_H_
#define MANGOPORT_ENTRYHOST_OPERATOR_API_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {

class AuditTrail;
class BackendDirectory;
class ConfigService;
class HostMetrics;
class RequestTracker;

/// A part's share of the status page: a name and a JSON value as text.
struct StatusSection {
  std::string name;
  std::function<std::string()> json;
};

/// Everything that the operators' surface stands on; all of it outlives it.
struct OperatorServices {
  HostSettings settings;
  ConfigService* config = nullptr;
  BackendDirectory* backends = nullptr;
  AuditTrail* audit = nullptr;
  HostMetrics* metrics = nullptr;
  RequestTracker* tracker = nullptr;
  std::function<bool()> ready;
  /// Starts a graceful shutdown.
  std::function<void()> drain;
  /// Withdraws a key on this host and its peers while the log is out. Empty
  /// if peers are not reached.
  std::function<void(const KeyId& key, const std::string& reason)> withdraw;
  std::vector<StatusSection> sections;
};

/// The operators' surface, on an address and with a credential of its own.
class OperatorApi {
 public:
  explicit OperatorApi(OperatorServices services);
  ~OperatorApi();

  OperatorApi(const OperatorApi&) = delete;
  OperatorApi& operator=(const OperatorApi&) = delete;

  /// Binds and starts to answer. Returns the port, or 0 if that failed.
  std::uint16_t Start();
  void Stop();

 private:
  struct State;

  std::unique_ptr<State> state_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ENTRYHOST_OPERATOR_API_H_
