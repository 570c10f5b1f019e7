#ifndef MANGOPORT_LIB_EDGE_CRASH_WIRE_H_
#define MANGOPORT_LIB_EDGE_CRASH_WIRE_H_

#include "mangoport/core/time.h"
#include "mangoport/routing/crash_suspects.h"
#include "mangoport/routing/part_suspects.h"
#include "mangoport/soft_state.pb.h"

namespace mangoport {

/// Adds what this host knows of requests that crash servers.
void WriteRequests(MonoTime now,
                   CrashSuspects& suspects,
                   wire::HostState& message);

/// Takes in one note about a request from another host.
void ReadRequest(MonoTime now,
                 const wire::CrashSuspicionNote& note,
                 CrashSuspects& suspects);

/// Adds what this host knows of parts of prompts that crash servers.
void WriteParts(MonoTime now, PartSuspects& suspects, wire::HostState& message);

/// Takes in one note about a part from another host.
void ReadPart(MonoTime now,
              const wire::CrashSuspicionNote& note,
              PartSuspects& suspects);

}  // namespace mangoport

#endif  // MANGOPORT_LIB_EDGE_CRASH_WIRE_H_
