#ifndef MANGOPORT_FLEET_ENGINE_CALLS_H_
#define MANGOPORT_FLEET_ENGINE_CALLS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/fleet/server_directory.h"

namespace mangoport {

enum class PlacementOrderKind {
  kLoadModel,
  kUnloadModel,
  kLoadAdapter,
  kUnloadAdapter,
  kImportKv,
};

constexpr bool IsUnload(PlacementOrderKind kind) {
  return kind == PlacementOrderKind::kUnloadModel ||
         kind == PlacementOrderKind::kUnloadAdapter;
}

/// How a call to the platform or to an engine ended.
enum class CallStatus {
  kOk,
  /// The condition of a conditional write did not hold: nothing was done.
  kConflict,
  /// Refused, and certainly not done.
  kRefused,
  /// No answer: it may have been done, or may be done later.
  kUnknown,
};

constexpr std::string_view CallStatusName(CallStatus status) {
  switch (status) {
    case CallStatus::kOk:
      return "ok";
    case CallStatus::kConflict:
      return "conflict";
    case CallStatus::kRefused:
      return "refused";
    case CallStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

/// The result of a call.
template <typename T>
struct CallReply {
  CallStatus status = CallStatus::kUnknown;
  /// What went wrong, for the log.
  std::string error = {};
  T value = {};
};

template <typename T>
using CallDone = std::function<void(CallReply<T> reply)>;

/// An order to one engine.
struct EngineOrder {
  ServerId engine;
  PlacementOrderKind kind = PlacementOrderKind::kLoadModel;
  ModelId model;
  /// Empty for the model itself.
  AdapterId adapter = {};
  /// The engine carries it out only if it has accepted so many orders.
  std::uint64_t expected_orders = 0;
  HostId holder;
  std::uint64_t fence = 0;
};

enum class EngineOrderAnswer {
  /// It is being carried out.
  kAccepted,
  /// What it asks for is so already.
  kAlreadyDone,
  /// Another order is under way, or the count of orders differs.
  kBusyOrOutdated,
  /// A higher fence was seen, or the order makes no sense to the engine.
  kRejected,
};

/// What an engine says of itself when it is asked.
struct EngineReport {
  bool busy = false;
  std::uint64_t orders_accepted = 0;
  std::vector<ResidentModel> models;
  std::uint32_t queued = 0;
  std::uint32_t active = 0;
  /// As in `ServerEntry`.
  std::uint64_t started_at_ms = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_ENGINE_CALLS_H_
