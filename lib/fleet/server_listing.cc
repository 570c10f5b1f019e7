#include "mangoport/fleet/server_listing.h"

#include <xxhash.h>

#include <chrono>
#include <string>

namespace mangoport {
namespace {

/// Builds the bytes of which a digest is made. Texts carry their length, so
/// that neighbouring fields cannot be confused.
class DigestInput {
 public:
  void Add(std::uint64_t number) {
    bytes_.append(reinterpret_cast<const char*>(&number), sizeof(number));
  }
  void Add(const std::string& text) {
    Add(text.size());
    bytes_.append(text);
  }
  template <typename Id>
  void AddIds(const std::vector<Id>& ids) {
    Add(ids.size());
    for (const Id& it : ids)
      Add(it.value());
  }
  std::uint64_t Digest() const {
    return XXH64(bytes_.data(), bytes_.size(), /*seed=*/0);
  }

 private:
  std::string bytes_;
};

std::uint64_t DigestOf(const ServerEntry& entry) {
  DigestInput input;
  input.Add(entry.id.value());
  input.Add(entry.service.value());
  input.Add(entry.address);
  input.Add(entry.zone.value());
  input.Add(entry.batch_size);
  input.Add(entry.draining ? 1 : 0);
  // Datagrams carry whole milliseconds.
  input.Add(entry.remaining
                ? static_cast<std::uint64_t>(
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          *entry.remaining)
                          .count()) +
                      1
                : 0);
  input.Add(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(entry.cold_left)
          .count()));
  input.Add(entry.models.size());
  for (const ResidentModel& it : entry.models) {
    input.Add(it.model.value());
    input.Add(it.weights_version);
    input.AddIds(it.adapters);
  }
  input.AddIds(entry.models_in_memory);
  input.AddIds(entry.models_on_disk);
  input.Add(entry.started_at_ms);
  // A host that misses a registration takes an older one for the newest.
  input.Add(entry.registrations.value);
  return input.Digest();
}

}  // namespace

bool ServerListing::Apply(const ServerChange& change) {
  const auto known = entries_.find(change.id);
  const std::uint64_t before = known == entries_.end() ? 0 : known->second;
  if (!change.entry) {
    if (known == entries_.end())
      return false;
    entries_.erase(known);
    digest_ -= before;
    return true;
  }
  const std::uint64_t after = DigestOf(*change.entry);
  if (known != entries_.end() && before == after)
    return false;
  entries_[change.id] = after;
  digest_ += after - before;
  return true;
}

void ServerListing::Replace(const std::vector<ServerEntry>& entries) {
  entries_.clear();
  digest_ = 0;
  for (const ServerEntry& it : entries)
    Apply({it.id, it});
}

}  // namespace mangoport
