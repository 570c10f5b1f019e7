#include "mangoport/membership/feed_readers.h"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>

namespace mangoport {
namespace {

constexpr std::size_t kMinReaders = 3;

/// Hashes the id so that the choice of readers does not follow host names.
std::uint64_t RankOf(const HostId& host) {
  return XXH64(host.value().data(), host.value().size(), 0);
}

}  // namespace

std::set<HostId> ChooseFeedReaders(const std::vector<FleetHost>& hosts) {
  struct Ranked {
    std::uint64_t rank;
    const FleetHost* host;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(hosts.size());
  for (const FleetHost& it : hosts)
    ranked.push_back({.rank = RankOf(it.host), .host = &it});
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    return std::tie(a.rank, a.host->host) < std::tie(b.rank, b.host->host);
  });
  std::set<HostId> readers;
  std::set<ZoneId> zones;
  for (const Ranked& it : ranked) {
    if (zones.insert(it.host->zone).second)
      readers.insert(it.host->host);
  }
  for (const Ranked& it : ranked) {
    if (readers.size() >= kMinReaders)
      break;
    readers.insert(it.host->host);
  }
  return readers;
}

}  // namespace mangoport
