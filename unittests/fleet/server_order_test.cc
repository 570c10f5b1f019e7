// Every order in which a host may learn of the registrations of one server,
// with one restore of the store from an older copy and one write that the store
// carries out late, none left out.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <numeric>
#include <optional>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "mangoport/fleet/server_directory.h"

namespace mangoport {
namespace {

constexpr MonoTime kNow{std::chrono::seconds(500)};
constexpr std::size_t kEntries = 6;
const ServerId kServer("a");

/// The n-th registration: three of each of two starts. The server drains with
/// the last one of a start, and each names another adapter.
ServerEntry Entry(std::size_t n) {
  ServerEntry out;
  out.id = kServer;
  out.started_at_ms = 1 + n / 3;
  out.registrations.value = 1 + n % 3;
  out.draining = n % 3 == 2;
  out.models = {{.model = ModelId("m"),
                 .weights_version = 1,
                 .adapters = {AdapterId(std::to_string(n))}}};
  return out;
}

/// What a host learns: a registration, or that the store was restored from a
/// copy that holds one or none.
struct Step {
  std::optional<std::size_t> entry;
  bool restore = false;
};

/// The number of the registration that the host goes by.
std::optional<std::size_t> Known(const ServerDirectory& directory) {
  const auto it = directory.servers().find(kServer);
  if (it == directory.servers().end())
    return std::nullopt;
  for (std::size_t n = 0; n < kEntries; ++n) {
    if (it->second == Entry(n))
      return n;
  }
  return std::nullopt;
}

/// False if the host goes by another registration than the newest one that it
/// has seen, after any of the steps.
bool GoesByTheNewest(const std::vector<Step>& steps) {
  ServerDirectory directory;
  std::optional<std::size_t> newest;
  for (const Step& it : steps) {
    if (it.restore) {
      std::vector<ServerEntry> copy;
      if (it.entry)
        copy.push_back(Entry(*it.entry));
      directory.Replace(kNow, WholeListKind::kRestored, copy,
                        [](const ServerId&, ServerChangeEffect) {});
    } else {
      directory.Apply(kNow, {kServer, Entry(*it.entry)});
    }
    newest = std::max(newest, it.entry);
    if (Known(directory) != newest)
      return false;
  }
  return true;
}

std::string ToText(const std::vector<Step>& steps) {
  std::string out;
  for (const Step& it : steps)
    out += (it.restore ? " restored:" : " ") +
           (it.entry ? std::to_string(*it.entry) : "none");
  return out;
}

/// Adds to `order` a restore at `restored_at`, and `late` written once more at
/// `late_at`.
std::vector<Step> WithTrouble(const std::array<std::size_t, kEntries>& order,
                              std::size_t restored_at,
                              std::optional<std::size_t> copy,
                              std::size_t late_at,
                              std::size_t late) {
  std::vector<Step> out;
  for (std::size_t i = 0; i <= kEntries; ++i) {
    if (i == restored_at)
      out.push_back({.entry = copy, .restore = true});
    if (i == late_at)
      out.push_back({.entry = late});
    if (i < kEntries)
      out.push_back({.entry = order[i]});
  }
  return out;
}

/// Tries each copy with each late write at each place.
void ExpectNewest(const std::array<std::size_t, kEntries>& order,
                  std::size_t restored_at) {
  for (std::size_t copy = 0; copy <= kEntries; ++copy) {
    const auto held = copy < kEntries ? std::optional(copy) : std::nullopt;
    for (std::size_t late_at = 0; late_at <= kEntries; ++late_at) {
      for (std::size_t late = 0; late < kEntries; ++late) {
        const std::vector<Step> steps =
            WithTrouble(order, restored_at, held, late_at, late);
        cr_assert(GoesByTheNewest(steps), "%s", ToText(steps).c_str());
      }
    }
  }
}

// NOLINTBEGIN: Criterion's macros
// An older copy of an entry undid a drain, and had a full engine loaded.
Test(server_order, no_order_brings_an_older_registration_back, .timeout = 300) {
  std::array<std::size_t, kEntries> order{};
  std::iota(order.begin(), order.end(), 0);
  do {
    for (std::size_t at = 0; at <= kEntries; ++at)
      ExpectNewest(order, at);
  } while (std::next_permutation(order.begin(), order.end()));
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
