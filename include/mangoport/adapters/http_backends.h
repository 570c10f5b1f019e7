#ifndef MANGOPORT_ADAPTERS_HTTP_BACKENDS_H_
#define MANGOPORT_ADAPTERS_HTTP_BACKENDS_H_

#include <memory>

#include "mangoport/ports/engine.h"
#include "mangoport/ports/plain_service.h"

namespace mangoport {

/// Model engines over HTTP with server-sent events.
std::unique_ptr<EngineClient> MakeHttpEngineClient();

/// Plain services over HTTP.
std::unique_ptr<PlainServiceClient> MakeHttpPlainServiceClient();

}  // namespace mangoport

#endif  // MANGOPORT_ADAPTERS_HTTP_BACKENDS_H_
