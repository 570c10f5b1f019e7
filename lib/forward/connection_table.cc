#include "mangoport/forward/connection_table.h"

#include <algorithm>

namespace mangoport {
namespace {

/// One in so many descriptors is kept from callers.
constexpr std::size_t kReserveParts = 4;
/// The least reserve: what a host needs beside its callers with a handful of
/// servers.
constexpr std::size_t kLeastReserve = 64;

}  // namespace

void ConnectionTable::Set(MonoTime now, Key key, ConnectionUse use) {
  const auto [it, added] = connections_.try_emplace(key);
  Connection& connection = it->second;
  if (!added && connection.use == use)
    return;
  if (!added)
    ranks_.erase({connection.use, connection.since, key});
  connection = {.use = use, .since = now};
  if (use != ConnectionUse::kBusy)
    ranks_.insert({use, now, key});
}

void ConnectionTable::Remove(Key key) {
  const auto it = connections_.find(key);
  if (it == connections_.end())
    return;
  ranks_.erase({it->second.use, it->second.since, key});
  connections_.erase(it);
}

std::optional<ConnectionTable::Key> ConnectionTable::Next() const {
  if (ranks_.empty())
    return std::nullopt;
  return std::get<Key>(*ranks_.begin());
}

std::size_t MaxCallerConnections(std::size_t descriptors) {
  const std::size_t reserve =
      std::max(descriptors / kReserveParts, kLeastReserve);
  return descriptors > 2 * reserve ? descriptors - reserve : descriptors / 2;
}

}  // namespace mangoport
