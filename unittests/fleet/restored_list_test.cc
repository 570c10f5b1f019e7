// The list of backend servers after the store was restored from an older copy.
#include <chrono>
#include <cstdint>
#include <vector>

#include <criterion/criterion.h>

#include "mangoport/fleet/server_directory.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonoTime kStart{seconds(500)};
constexpr ServerDirectorySettings kSettings;
/// After the longest grace period and doubt.
constexpr MonoTime kMuchLater = kStart + seconds(10);

ServerEntry Ready(const char* id, std::uint64_t started = 1) {
  ServerEntry out;
  out.id = ServerId(id);
  out.started_at_ms = started;
  return out;
}

ServerEntry Draining(const char* id, std::uint64_t started = 1) {
  ServerEntry out = Ready(id, started);
  out.draining = true;
  return out;
}

/// A host's list in use.
struct List {
  ServerDirectory directory{kSettings};

  ServerChangeEffect Write(MonoTime now, const ServerEntry& entry) {
    return directory.Apply(now, {entry.id, entry});
  }
  ServerChangeEffect Remove(MonoTime now, const char* id) {
    return directory.Apply(now, {ServerId(id), std::nullopt});
  }
  /// Reads the whole list; returns the effects in the order of the list.
  std::vector<ServerChangeEffect> Read(
      MonoTime now,
      const std::vector<ServerEntry>& entries,
      WholeListKind kind = WholeListKind::kRestored) {
    std::vector<ServerChangeEffect> out;
    directory.Replace(now, kind, entries,
                      [&out](const ServerId&, ServerChangeEffect effect) {
                        out.push_back(effect);
                      });
    return out;
  }
  void Expire(MonoTime now) {
    directory.Expire(now, [](const ServerId&, ServerChangeEffect) {});
  }
  bool Has(const char* id) const {
    return directory.servers().contains(ServerId(id));
  }
  /// It is listed and takes new requests.
  bool Uses(const char* id) const {
    const auto it = directory.servers().find(ServerId(id));
    return it != directory.servers().end() && !it->second.draining;
  }
};

using Effects = std::vector<ServerChangeEffect>;

// The copy is from before the servers registered, so their absence proves
// nothing.
Test(restored_list, a_missing_server_is_kept_until_it_registers_again) {
  List list;
  list.Write(kStart, Ready("a"));
  list.Write(kStart, Ready("b"));
  cr_assert(list.Read(kStart, {}) ==
            Effects({ServerChangeEffect::kHeld, ServerChangeEffect::kHeld}));
  cr_assert(list.Uses("a"));
  list.Write(kStart + seconds(1), Ready("a"));
  cr_assert(list.directory.NextExpiry() == kStart + kSettings.reregister_grace);
  list.Expire(kMuchLater);
  cr_assert(list.Uses("a"));
  cr_assert_not(list.Has("b"));
}

// A server got work two seconds after it had said that it leaves.
Test(restored_list, a_draining_server_gets_no_work_by_an_older_copy) {
  List list;
  list.Write(kStart, Ready("a"));
  list.Write(kStart, Draining("a"));
  cr_assert(list.Read(kStart, {Ready("a")}) ==
            Effects({ServerChangeEffect::kKeptDraining}));
  cr_assert(list.Has("a"));
  cr_assert_not(list.Uses("a"));
  list.Read(kStart, {Ready("a")}, WholeListKind::kPresent);
  list.Expire(kMuchLater);
  cr_assert_not(list.Uses("a"));
  list.Write(kMuchLater, Ready("a"));
  cr_assert(list.Uses("a"));
}

Test(restored_list, a_lost_drain_mark_stays_until_the_server_repeats_it) {
  List list;
  list.Write(kStart, Draining("a"));
  list.Read(kStart, {});
  cr_assert(list.Has("a"));
  cr_assert_not(list.Uses("a"));
  list.Write(kStart, Draining("a"));
  list.Expire(kMuchLater);
  cr_assert(list.Has("a"));
  cr_assert_not(list.Uses("a"));
}

Test(restored_list, a_removed_server_gets_no_work_by_an_older_copy) {
  List list;
  list.Write(kStart, Ready("a"));
  list.Remove(kStart, "a");
  cr_assert(list.Read(kStart, {Ready("a")}) ==
            Effects({ServerChangeEffect::kDoubted}));
  cr_assert_not(list.Has("a"));
  cr_assert(list.Read(kStart, {Ready("a")}, WholeListKind::kPresent).empty());
  cr_assert_not(list.Has("a"));
  // Its entry lapses.
  list.Remove(kStart + seconds(3), "a");
  list.Expire(kMuchLater);
  cr_assert_not(list.Has("a"));
}

Test(restored_list, a_removed_server_is_used_once_it_registers_again) {
  List list;
  list.Write(kStart, Ready("a"));
  list.Remove(kStart, "a");
  list.Read(kStart, {Ready("a")});
  list.Write(kStart + seconds(1), Ready("a"));
  cr_assert(list.Uses("a"));
}

// The host read the list only after the server had registered again.
Test(restored_list, a_restored_list_may_show_a_newer_registration) {
  List list;
  ServerEntry entry = Ready("a");
  entry.registrations.value = 20;
  list.Write(kStart, entry);
  list.Remove(kStart, "a");
  entry.registrations.value = 21;
  cr_assert(list.Read(kStart, {entry}) ==
            Effects({ServerChangeEffect::kAdded}));
  list.Remove(kStart, "a");
  entry.registrations.value = 20;
  cr_assert(list.Read(kStart, {entry}) ==
            Effects({ServerChangeEffect::kDoubted}));
}

// Its entry had lapsed although it ran, and it has no reason to write again.
Test(restored_list, a_restored_entry_that_does_not_lapse_is_used) {
  List list;
  list.Write(kStart, Ready("a"));
  list.Remove(kStart, "a");
  list.Read(kStart, {Ready("a")});
  cr_assert(list.directory.NextExpiry() == kStart + kSettings.lapse_time);
  list.Expire(kStart + kSettings.lapse_time - milliseconds(1));
  cr_assert_not(list.Has("a"));
  list.Expire(kStart + kSettings.lapse_time);
  cr_assert(list.Uses("a"));
}

Test(restored_list, the_entry_of_an_earlier_start_is_not_used) {
  List list;
  list.Write(kStart, Draining("a", 1));
  list.Write(kStart, Ready("a", 2));
  list.Write(kStart, Ready("b", 2));
  list.Remove(kStart, "b");
  list.Read(kStart, {Ready("a", 1), Ready("b", 1)});
  cr_assert_eq(list.directory.servers().at(ServerId("a")).started_at_ms, 2);
  cr_assert_not(list.Has("b"));
}

Test(restored_list, the_entry_of_a_later_start_is_used_at_once) {
  List list;
  list.Write(kStart, Draining("a", 1));
  list.Write(kStart, Ready("b", 1));
  list.Remove(kStart, "b");
  list.Read(kStart, {Ready("a", 2), Ready("b", 2)});
  cr_assert(list.Uses("a"));
  cr_assert(list.Uses("b"));
}

// Servers can't register while the store is away a second time.
Test(restored_list, a_second_restore_begins_the_grace_time_anew) {
  List list;
  list.Write(kStart, Ready("a"));
  list.Write(kStart, Ready("b"));
  list.Remove(kStart, "b");
  list.Read(kStart, {Ready("b")});
  const MonoTime again = kStart + seconds(2);
  list.Read(again, {Ready("b")});
  list.Expire(again + seconds(2));
  cr_assert(list.Uses("a"));
  cr_assert_not(list.Has("b"));
}

// A registration that the store carried out after its server was gone brought
// the server back, also from the doubts of a restore.
Test(restored_list, a_late_write_brings_no_removed_server_back) {
  const auto registered = [](std::uint64_t n) {
    ServerEntry out = Ready("a");
    out.registrations.value = n;
    return out;
  };
  List list;
  list.Write(kStart, registered(5));
  list.Remove(kStart, "a");
  list.Write(kStart + seconds(1), registered(4));
  cr_assert_not(list.Has("a"));
  list.Read(kStart + seconds(2), {registered(5)});
  list.Write(kStart + seconds(3), registered(3));
  cr_assert_not(list.Has("a"));
  list.Write(kStart + seconds(4), registered(6));
  cr_assert(list.Uses("a"));
}

}  // namespace
}  // namespace mangoport
