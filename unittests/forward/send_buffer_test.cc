#include "mangoport/forward/send_buffer.h"

#include <cstddef>
#include <random>
#include <string>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

constexpr std::size_t kMiB = std::size_t{1024} * 1024;

/// Removes `n` bytes in pieces and returns them.
std::string Take(SendBuffer& buf, std::size_t n) {
  std::string out;
  while (out.size() < n && !buf.empty()) {
    const std::string_view piece = buf.front().substr(0, n - out.size());
    out.append(piece);
    buf.Consume(piece.size());
  }
  return out;
}

// NOLINTBEGIN: Criterion's macros
// A connection whose peer had read slowly kept the memory of what had waited
// for it, some 300 KB, until it was closed.
Test(send_buffer, what_was_written_is_freed) {
  SendBuffer buf;
  buf.Append(std::string(kMiB, 'x'));
  cr_assert_geq(buf.memory(), kMiB);
  Take(buf, kMiB - 100);
  cr_assert_leq(buf.memory(), std::size_t{16} * 1024 + 64);
  Take(buf, 100);
  cr_assert_eq(buf.memory(), 0);
}

// What a connection holds is bounded by what is allocated, so small pieces must
// not take many times their size.
Test(send_buffer, small_pieces_share_blocks) {
  SendBuffer buf;
  for (std::size_t i = 0; i < kMiB / 64; ++i)
    buf.Append(std::string(64, 'x'));
  cr_assert_eq(buf.size(), kMiB);
  cr_assert_leq(buf.memory(), kMiB + kMiB / 8);
}

// The peer must get the bytes in order, however they come and go.
Test(send_buffer, bytes_leave_in_the_order_in_which_they_came) {
  std::mt19937 random(7);
  SendBuffer buf;
  std::string in;
  std::string out;
  for (int i = 0; i < 5000; ++i) {
    std::string piece(random() % 40000 % (1 + random() % 40000), '\0');
    for (char& c : piece)
      c = static_cast<char>(random());
    in += piece;
    buf.Append(piece);
    cr_assert_eq(buf.size(), in.size() - out.size());
    out += Take(buf, random() % 45000);
  }
  out += Take(buf, buf.size());
  cr_assert(in == out);
  cr_assert_eq(buf.memory(), 0);
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
