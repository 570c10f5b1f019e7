#ifndef MANGOPORT_FORWARD_SEND_BUFFER_H_
#define MANGOPORT_FORWARD_SEND_BUFFER_H_

#include <cstddef>
#include <list>
#include <string>
#include <string_view>

namespace mangoport {

/// Bytes that wait to be written to a connection, in blocks of bounded size.
///
/// A block is freed as soon as its bytes have been written, so a connection
/// whose peer has caught up holds nothing, whatever it held before; an empty
/// buffer allocates nothing. No byte is moved once it is in a block.
class SendBuffer {
 public:
  void Append(std::string_view data);

  /// Returns the first bytes, empty only if there are none. Valid until the
  /// next change.
  std::string_view front() const;

  /// Removes `n` bytes, at most the size of `front()`.
  void Consume(std::size_t n);

  bool empty() const { return size_ == 0; }
  /// The number of bytes that wait.
  std::size_t size() const { return size_; }
  /// The number of bytes that are allocated for them.
  std::size_t memory() const { return memory_; }

 private:
  /// Adds a block that takes `bytes`, or the greatest block.
  void AddBlock(std::size_t bytes);

  std::list<std::string> blocks_;
  /// How much of the first block has been removed.
  std::size_t offset_ = 0;
  std::size_t size_ = 0;
  std::size_t memory_ = 0;
};

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_SEND_BUFFER_H_
