#ifndef MANGOPORT_PORTS_HOST_LIST_H_
#define MANGOPORT_PORTS_HOST_LIST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/time.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {

/// A host as the platform's list shows it, some time late.
struct ListedHost {
  HostId id;
  ZoneId zone;
  Endpoint peer;
  bool leaving = false;
};

/// A backend server as the platform's list shows it.
struct ListedServer {
  ServerId id;
  ZoneId zone;
  bool leaving = false;
};

struct HostListPage {
  bool ok = false;
  Duration age{};
  std::vector<ListedHost> hosts;
  std::vector<ListedServer> servers;
};

/// The platform's lagging list of live and leaving hosts.
class HostList {
 public:
  virtual ~HostList() = default;
  virtual HostListPage Read(Duration timeout) = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_PORTS_HOST_LIST_H_
