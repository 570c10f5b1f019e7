#ifndef MANGOPORT_ENTRYHOST_PLAIN_PROXY_H_
#define MANGOPORT_ENTRYHOST_PLAIN_PROXY_H_

#include <memory>

#include "mangoport/entryhost/backend_directory.h"
#include "mangoport/entryhost/caller_api.h"
#include "mangoport/ports/plain_service.h"

namespace mangoport {

/// Runs calls of plain services.
///
/// A call that may be repeated moves on to the next server when one gives no
/// answer. Any other call moves on only while it certainly reached nobody.
class PlainProxy {
 public:
  PlainProxy(std::shared_ptr<PlainServiceClient> client,
             BackendDirectory* backends,
             BackendTimeouts timeouts);

  PlainAnswer Run(const PlainRequest& request) const;

 private:
  std::shared_ptr<PlainServiceClient> client_;
  BackendDirectory* backends_;
  BackendTimeouts timeouts_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ENTRYHOST_PLAIN_PROXY_H_
