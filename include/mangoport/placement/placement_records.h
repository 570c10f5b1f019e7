#ifndef MANGOPORT_PLACEMENT_PLACEMENT_RECORDS_H_
#define MANGOPORT_PLACEMENT_PLACEMENT_RECORDS_H_

#include <optional>
#include <string>
#include <vector>

#include "mangoport/placement.pb.h"
#include "mangoport/placement/engine_ledger.h"

namespace mangoport {

/// Conversions between placement types and the bodies of their records.
LogPosition FromWire(const wire::LeasePosition& position);
PlacedItem FromWire(const wire::PlacementItem& item);

/// Returns the order in a record, or nullopt if its kind is unknown.
std::optional<RecordedOrder> FromWire(const wire::PlacementOrder& order);

std::string EncodeSpec(const LogPosition& epoch, const EngineSpec& spec);
std::string EncodeOrder(const RecordedOrder& order);
std::string EncodeOutcome(const LogPosition& epoch,
                          const LogPosition& order,
                          wire::PlacementOutcomeKind kind);

/// Contents of a checkpoint; see wire::PlacementCheckpoint.
struct CheckpointBody {
  LogPosition epoch;
  ServerId engine;
  LogPosition based_on;
  LogPosition settled;
  std::vector<PlacedItem> items;
};

std::string EncodeCheckpoint(const CheckpointBody& checkpoint);

}  // namespace mangoport

#endif  // MANGOPORT_PLACEMENT_PLACEMENT_RECORDS_H_
