#include "mangoport/fleet/server_relay.h"

#include <cassert>
#include <utility>

namespace mangoport {

void ServerRelay::Restart(const StorePosition& next) {
  buffered_.clear();
  buffered_changes_ = 0;
  position_ = next;
  complete_from_ = next;
  changed_at_ = next;
}

void ServerRelay::Add(MonoTime now, ServerBatch batch) {
  assert(batch.next.timeline == position_.timeline && batch.next >= position_ &&
         "a read must continue where the previous one ended");
  position_ = batch.next;
  if (!batch.changes.empty()) {
    changed_at_ = batch.next;
    buffered_changes_ += batch.changes.size();
    buffered_.push_back({.read_at = now, .batch = std::move(batch)});
  }
  DropOld(now);
}

std::vector<ServerBatch> ServerRelay::Since(MonoTime now,
                                            const StorePosition& position) {
  DropOld(now);
  std::vector<ServerBatch> out;
  if (position.timeline != position_.timeline)
    return out;
  for (const BufferedBatch& it : buffered_) {
    if (it.batch.next > position)
      out.push_back(it.batch);
  }
  return out;
}

void ServerRelay::DropOld(MonoTime now) {
  while (!buffered_.empty() &&
         (now - buffered_.front().read_at > settings_.keep ||
          buffered_changes_ > settings_.max_changes)) {
    buffered_changes_ -= buffered_.front().batch.changes.size();
    complete_from_ = buffered_.front().batch.next;
    buffered_.pop_front();
  }
}

}  // namespace mangoport
