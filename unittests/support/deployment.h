#ifndef MANGOPORT_UNITTESTS_SUPPORT_DEPLOYMENT_H_
#define MANGOPORT_UNITTESTS_SUPPORT_DEPLOYMENT_H_

#include <string>
#include <vector>

#include "unittests/support/fleet.h"

namespace mangoport {

/// The names of the stand-ins that play a deployment's backend servers.
struct Deployment {
  std::vector<std::string> engines;
  std::vector<std::string> plain_servers;
  /// The fleet file with the addresses that the stand-ins really have.
  std::string fleet_file;
};

/// Starts log, store, host list and every backend server that the fleet file
/// of an example names. `engine_flags` go to every engine.
Deployment StartDeployment(Fleet& fleet,
                           const std::string& fleet_file,
                           const std::vector<std::string>& engine_flags = {});

/// A small deployment: two engines in each of three availability zones, each
/// with models "m1" and "m2", and one plain server a zone. Its accounts are
/// "small" and "large", its routes "/calls/pay" (not idempotent),
/// "/calls/read" (idempotent) and "/calls/open" (open to all, idempotent).
std::string SmallFleetFile();

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_SUPPORT_DEPLOYMENT_H_
