#ifndef MANGOPORT_ADAPTERS_HTTP_PLATFORM_H_
#define MANGOPORT_ADAPTERS_HTTP_PLATFORM_H_

#include <memory>

#include "mangoport/ports/host_list.h"
#include "mangoport/ports/log_service.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {

/// The platform's log over HTTP. Calls from several threads run side by side,
/// each on a connection of its own.
std::unique_ptr<LogService> MakeHttpLogService(const Endpoint& endpoint);

/// The platform's host list over HTTP.
std::unique_ptr<HostList> MakeHttpHostList(const Endpoint& endpoint);

}  // namespace mangoport

#endif  // MANGOPORT_ADAPTERS_HTTP_PLATFORM_H_
