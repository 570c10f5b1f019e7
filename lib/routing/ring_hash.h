#ifndef MANGOPORT_LIB_ROUTING_RING_HASH_H_
#define MANGOPORT_LIB_ROUTING_RING_HASH_H_

#include <cstdint>

namespace mangoport {

/// Spreads `x` over the hash ring: the 64-bit finaliser of MurmurHash3.
constexpr std::uint64_t RingHash(std::uint64_t x) {
  x ^= x >> 33;
  x *= 0xff51afd7ed558ccdULL;
  x ^= x >> 33;
  x *= 0xc4ceb9fe1a85ec53ULL;
  return x ^ (x >> 33);
}

}  // namespace mangoport

#endif  // MANGOPORT_LIB_ROUTING_RING_HASH_H_
