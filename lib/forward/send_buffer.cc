#include "mangoport/forward/send_buffer.h"

#include <algorithm>

namespace mangoport {
namespace {

/// Below the size from which the allocator maps memory for each block by
/// itself, and enough for a write of the system.
constexpr std::size_t kMaxBlockBytes = std::size_t{16} * 1024;
/// Most streams wait with an event or two.
constexpr std::size_t kMinBlockBytes = 1024;

}  // namespace

void SendBuffer::Append(std::string_view data) {
  size_ += data.size();
  while (!data.empty()) {
    if (blocks_.empty() || blocks_.back().size() == blocks_.back().capacity())
      AddBlock(data.size());
    std::string& block = blocks_.back();
    const std::size_t n =
        std::min(data.size(), block.capacity() - block.size());
    block.append(data.substr(0, n));
    data.remove_prefix(n);
  }
}

void SendBuffer::AddBlock(std::size_t bytes) {
  // Blocks grow, so that many small pieces do not make many blocks.
  const std::size_t grown =
      blocks_.empty() ? kMinBlockBytes : 2 * blocks_.back().capacity();
  blocks_.emplace_back().reserve(
      std::min(std::max(bytes, grown), kMaxBlockBytes));
  memory_ += blocks_.back().capacity();
}

std::string_view SendBuffer::front() const {
  if (blocks_.empty())
    return {};
  const std::string_view block = blocks_.front();
  return block.substr(offset_);
}

void SendBuffer::Consume(std::size_t n) {
  size_ -= n;
  offset_ += n;
  if (blocks_.empty() || offset_ < blocks_.front().size())
    return;
  memory_ -= blocks_.front().capacity();
  blocks_.pop_front();
  offset_ = 0;
}

}  // namespace mangoport
