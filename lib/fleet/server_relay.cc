#include "mangoport/fleet/server_relay.h"

#include <cassert>
#include <utility>

namespace mangoport {

void ServerRelay::Restart(std::uint64_t next) {
  kept_.clear();
  kept_changes_ = 0;
  position_ = next;
  complete_from_ = next;
  changed_at_ = next;
}

void ServerRelay::Add(MonoTime now, ServerBatch batch) {
  assert(batch.next >= position_ && "reads go on where the last one ended");
  position_ = batch.next;
  if (!batch.changes.empty()) {
    changed_at_ = batch.next;
    kept_changes_ += batch.changes.size();
    kept_.push_back({.read_at = now, .batch = std::move(batch)});
  }
  DropOld(now);
}

std::vector<ServerBatch> ServerRelay::Since(MonoTime now,
                                            std::uint64_t position) {
  DropOld(now);
  std::vector<ServerBatch> out;
  for (const Kept& it : kept_) {
    if (it.batch.next > position)
      out.push_back(it.batch);
  }
  return out;
}

void ServerRelay::DropOld(MonoTime now) {
  while (!kept_.empty() && (now - kept_.front().read_at > settings_.keep ||
                            kept_changes_ > settings_.most_changes)) {
    kept_changes_ -= kept_.front().batch.changes.size();
    complete_from_ = kept_.front().batch.next;
    kept_.pop_front();
  }
}

}  // namespace mangoport
