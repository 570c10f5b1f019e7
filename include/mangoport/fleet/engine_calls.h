#ifndef MANGOPORT_FLEET_ENGINE_CALLS_H_
#define MANGOPORT_FLEET_ENGINE_CALLS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/core/store_position.h"
#include "mangoport/fleet/server_directory.h"

namespace mangoport {

/// The operation that an engine order requests.
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
  /// The condition of a conditional write did not hold; the call had no effect.
  kConflict,
  /// The callee refused the call; it had no effect.
  kRefused,
  /// No reply arrived. The call may have taken effect or may do so later.
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

/// The result of a call to the platform or to an engine.
template <typename T>
struct CallReply {
  CallStatus status = CallStatus::kUnknown;
  /// Describes the error for the log.
  std::string error = {};
  T value = {};
  /// The timeline that the store named in its answer. None if there was no
  /// answer, or if it is not from the store.
  std::optional<StoreTimeline> timeline = std::nullopt;
};

/// Called with the result of an asynchronous call.
template <typename T>
using CallDone = std::function<void(CallReply<T> reply)>;

/// A command to one model engine.
struct EngineOrder {
  ServerId engine;
  PlacementOrderKind kind = PlacementOrderKind::kLoadModel;
  ModelId model;
  /// Empty if the order concerns the model itself.
  AdapterId adapter = {};
  /// The engine executes the order only if the number of orders that it has
  /// accepted so far equals this value.
  std::uint64_t expected_orders = 0;
  HostId holder;
  std::uint64_t fence = 0;
};

/// An engine's reply to an order.
enum class EngineOrderAnswer {
  /// The engine is executing the order.
  kAccepted,
  /// The engine is already in the requested state.
  kAlreadyDone,
  /// Another order is in progress, or `expected_orders` does not match.
  kBusyOrOutdated,
  /// The engine has seen a higher fence, or the order is invalid for it.
  kRejected,
};

/// The state that an engine reports in reply to a query.
struct EngineReport {
  bool busy = false;
  std::uint64_t orders_accepted = 0;
  std::vector<ResidentModel> models;
  std::uint32_t queued = 0;
  std::uint32_t active = 0;
  /// Start time in milliseconds since 1970, as in `ServerEntry`.
  std::uint64_t started_at_ms = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_FLEET_ENGINE_CALLS_H_
