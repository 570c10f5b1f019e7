#include "mangoport/placement/placement_records.h"

namespace mangoport {
namespace {

void ToWire(const LogPosition& position, wire::LeasePosition* out) {
  out->set_offset(position.offset);
  out->set_index(position.index);
}

void ToWire(const PlacedItem& item, wire::PlacementItem* out) {
  out->set_model(item.model.value());
  out->set_version(item.version);
  out->set_adapter(item.adapter.value());
  out->set_size_mb(item.size_mb);
}

wire::PlacementOrderKind ToWire(PlacementOrderKind kind) {
  switch (kind) {
    case PlacementOrderKind::kLoadModel:
      return wire::PLACEMENT_ORDER_KIND_LOAD_MODEL;
    case PlacementOrderKind::kUnloadModel:
      return wire::PLACEMENT_ORDER_KIND_UNLOAD_MODEL;
    case PlacementOrderKind::kLoadAdapter:
      return wire::PLACEMENT_ORDER_KIND_LOAD_ADAPTER;
    case PlacementOrderKind::kUnloadAdapter:
      return wire::PLACEMENT_ORDER_KIND_UNLOAD_ADAPTER;
    case PlacementOrderKind::kImportKv:
      return wire::PLACEMENT_ORDER_KIND_IMPORT_KV;
  }
  return wire::PLACEMENT_ORDER_KIND_UNSPECIFIED;
}

std::optional<PlacementOrderKind> KindFromWire(wire::PlacementOrderKind kind) {
  switch (kind) {
    case wire::PLACEMENT_ORDER_KIND_LOAD_MODEL:
      return PlacementOrderKind::kLoadModel;
    case wire::PLACEMENT_ORDER_KIND_UNLOAD_MODEL:
      return PlacementOrderKind::kUnloadModel;
    case wire::PLACEMENT_ORDER_KIND_LOAD_ADAPTER:
      return PlacementOrderKind::kLoadAdapter;
    case wire::PLACEMENT_ORDER_KIND_UNLOAD_ADAPTER:
      return PlacementOrderKind::kUnloadAdapter;
    case wire::PLACEMENT_ORDER_KIND_IMPORT_KV:
      return PlacementOrderKind::kImportKv;
    default:
      return std::nullopt;
  }
}

}  // namespace

LogPosition FromWire(const wire::LeasePosition& position) {
  return {position.offset(), position.index()};
}

PlacedItem FromWire(const wire::PlacementItem& item) {
  return {ModelId(item.model()), item.version(), AdapterId(item.adapter()),
          item.size_mb()};
}

std::optional<RecordedOrder> FromWire(const wire::PlacementOrder& order) {
  const std::optional<PlacementOrderKind> kind = KindFromWire(order.kind());
  if (!kind)
    return std::nullopt;
  RecordedOrder recorded;
  recorded.epoch = FromWire(order.epoch());
  recorded.engine = ServerId(order.engine());
  recorded.kind = *kind;
  recorded.item = FromWire(order.item());
  recorded.nonce = order.nonce();
  recorded.covered_elsewhere = order.covered_elsewhere();
  return recorded;
}

std::string EncodeSpec(const LogPosition& epoch, const EngineSpec& spec) {
  wire::PlacementEngineSpec body;
  ToWire(epoch, body.mutable_epoch());
  body.set_engine(spec.engine.value());
  body.set_memory_mb(spec.memory_mb);
  body.set_reserve_mb(spec.reserve_mb);
  body.set_honours_fencing(spec.honours_fencing);
  for (const PlacedItem& it : spec.preloaded)
    ToWire(it, body.add_preloaded());
  return body.SerializeAsString();
}

std::string EncodeOrder(const RecordedOrder& order) {
  wire::PlacementOrder body;
  ToWire(order.epoch, body.mutable_epoch());
  body.set_engine(order.engine.value());
  body.set_kind(ToWire(order.kind));
  ToWire(order.item, body.mutable_item());
  body.set_nonce(order.nonce);
  body.set_covered_elsewhere(order.covered_elsewhere);
  return body.SerializeAsString();
}

std::string EncodeOutcome(const LogPosition& epoch,
                          const LogPosition& order,
                          wire::PlacementOutcomeKind kind) {
  wire::PlacementOutcome body;
  ToWire(epoch, body.mutable_epoch());
  ToWire(order, body.mutable_order());
  body.set_kind(kind);
  return body.SerializeAsString();
}

std::string EncodeCheckpoint(const CheckpointBody& checkpoint) {
  wire::PlacementCheckpoint body;
  ToWire(checkpoint.epoch, body.mutable_epoch());
  body.set_engine(checkpoint.engine.value());
  ToWire(checkpoint.based_on, body.mutable_based_on());
  ToWire(checkpoint.settled, body.mutable_settled());
  for (const PlacedItem& it : checkpoint.items)
    ToWire(it, body.add_items());
  return body.SerializeAsString();
}

}  // namespace mangoport
