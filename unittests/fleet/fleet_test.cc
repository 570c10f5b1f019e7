#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "mangoport/fleet/fleet_config.h"
#include "mangoport/fleet/key_evidence.h"
#include "mangoport/fleet/server_directory.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonoTime kStart{seconds(500)};

ServerEntry Entry(const char* id, std::uint64_t started = 1) {
  ServerEntry out;
  out.id = ServerId(id);
  out.started_at_ms = started;
  return out;
}

ServerChange Removal(const char* id) {
  return {ServerId(id), std::nullopt};
}

FleetConfig TwoRoutes() {
  FleetConfig out;
  RouteSpec wide;
  wide.name = "wide";
  wide.host = "a.example";
  wide.path_prefix = "/x/";
  RouteSpec narrow = wide;
  narrow.name = "narrow";
  narrow.path_prefix = "/x/y/";
  out.routes = {wide, narrow};
  AccountSpec account;
  account.id = AccountId("gallery");
  account.keys = {"key1"};
  out.accounts = {account};
  return out;
}

Test(fleet_config, the_longest_prefix_wins) {
  const FleetConfigView view(TwoRoutes());
  cr_assert_eq(view.FindRoute("a.example", "/x/y/z")->name, "narrow");
  cr_assert_eq(view.FindRoute("A.Example:80", "/x/yz")->name, "wide");
  cr_assert_null(view.FindRoute("a.example", "/y/"));
  cr_assert_null(view.FindRoute("b.example", "/x/"));
  cr_assert_eq(view.FindAccountByKey("key1")->id.value(), "gallery");
  cr_assert_null(view.FindAccountByKey("key2"));
}

// Callers name adapters as they like; only those that the configuration has may
// be kept by name.
Test(fleet_config, a_model_has_the_adapters_that_are_configured) {
  const ModelSpec model{.model = ModelId("m1"), .adapter_count = 24};
  for (const char* it : {"a1", "a9", "a24"})
    cr_assert(model.HasAdapter(it), "%s", it);
  for (const char* it : {"", "a", "a0", "a25", "a01", "a1x", "a-1", "a 1", "b1",
                         "a99999999999999999999"})
    cr_assert_not(model.HasAdapter(it), "%s", it);
}

Test(server_directory, without_an_outage_a_removal_takes_effect_at_once) {
  ServerDirectory list;
  list.Apply(kStart, {ServerId("a"), Entry("a")});
  cr_assert_eq(list.Apply(kStart, Removal("a")), ServerChangeEffect::kRemoved);
  cr_assert(list.servers().empty());
}

// Entries expire while the store is unavailable. Running servers register again
// within about two seconds after it recovers.
Test(server_directory, running_servers_are_kept_through_an_outage) {
  ServerDirectory list;
  list.Apply(kStart, {ServerId("a"), Entry("a")});
  list.Apply(kStart, {ServerId("b"), Entry("b")});
  list.OnReadFailed(kStart + seconds(5));
  const MonoTime back = kStart + seconds(6);
  cr_assert_eq(list.Apply(back, Removal("a")), ServerChangeEffect::kHeld);
  cr_assert_eq(list.Apply(back, Removal("b")), ServerChangeEffect::kHeld);
  list.Apply(back + seconds(1), {ServerId("a"), Entry("a")});
  int expired = 0;
  list.Expire(back + milliseconds(2600),
              [&expired](const ServerId&, ServerChangeEffect effect) {
                cr_assert_eq(effect, ServerChangeEffect::kRemovedAfterGrace);
                ++expired;
              });
  cr_assert_eq(expired, 1);
  cr_assert(list.servers().contains(ServerId("a")));
  cr_assert_not(list.servers().contains(ServerId("b")));
}

Test(server_directory, a_draining_server_is_not_kept_after_an_outage) {
  ServerDirectory list;
  ServerEntry entry = Entry("a");
  entry.draining = true;
  list.Apply(kStart, {ServerId("a"), entry});
  list.OnReadFailed(kStart + seconds(1));
  cr_assert_eq(list.Apply(kStart + seconds(2), Removal("a")),
               ServerChangeEffect::kRemoved);
}

Test(server_directory, an_entry_from_an_earlier_start_is_ignored) {
  ServerDirectory list;
  list.Apply(kStart, {ServerId("a"), Entry("a", 200)});
  cr_assert_eq(list.Apply(kStart, {ServerId("a"), Entry("a", 100)}),
               ServerChangeEffect::kNone);
}

ServerEntry EntryOf(std::uint64_t registrations, bool draining) {
  ServerEntry out = Entry("a");
  out.registrations.value = registrations;
  out.draining = draining;
  return out;
}

// The store carried a heartbeat out seconds after the server had said that it
// drains, and hosts sent it requests again.
Test(server_directory, a_registration_written_late_undoes_no_drain) {
  ServerDirectory list;
  list.Apply(kStart, {ServerId("a"), EntryOf(4, false)});
  list.Apply(kStart, {ServerId("a"), EntryOf(6, true)});
  cr_expect_eq(list.Apply(kStart, {ServerId("a"), EntryOf(5, false)}),
               ServerChangeEffect::kNone);
  cr_expect(list.servers().at(ServerId("a")).draining);
  cr_expect_eq(list.Apply(kStart, {ServerId("a"), EntryOf(7, false)}),
               ServerChangeEffect::kUpdated);
  cr_expect_not(list.servers().at(ServerId("a")).draining);
}

// The store came back from a copy that was seconds old, and an engine was
// ordered to load one adapter more than it had places for.
Test(server_directory, an_older_copy_replaces_no_newer_models) {
  ServerDirectory list;
  ServerEntry older = EntryOf(5, false);
  older.models = {{.model = ModelId("m"), .adapters = {AdapterId("x")}}};
  ServerEntry newer = EntryOf(6, false);
  newer.models = {
      {.model = ModelId("m"), .adapters = {AdapterId("x"), AdapterId("y")}}};
  list.Apply(kStart, {ServerId("a"), newer});
  list.Replace(kStart + seconds(1), WholeListKind::kRestored, {older},
               [](const ServerId&, ServerChangeEffect) {});
  cr_expect(list.servers().at(ServerId("a")).models == newer.models);
  // Its next registration is newer than both.
  older.registrations.value = 7;
  list.Apply(kStart + seconds(2), {ServerId("a"), older});
  cr_expect(list.servers().at(ServerId("a")).models == older.models);
}

// An older copy of its entry shows that a server is listed, which ends the wait
// for it.
Test(server_directory, an_older_copy_of_a_held_entry_keeps_its_server) {
  ServerDirectory list;
  list.Apply(kStart, {ServerId("a"), EntryOf(6, false)});
  const auto ignored = [](const ServerId&, ServerChangeEffect) {};
  list.Replace(kStart + seconds(1), WholeListKind::kRestored, {}, ignored);
  list.Replace(kStart + seconds(2), WholeListKind::kPresent,
               {EntryOf(5, false)}, ignored);
  list.Expire(kStart + seconds(10), ignored);
  cr_expect(list.servers().contains(ServerId("a")));
}

Test(server_directory, replace_removes_servers_missing_from_the_list) {
  ServerDirectory list;
  list.Apply(kStart, {ServerId("a"), Entry("a")});
  int removed = 0;
  list.Replace(kStart, WholeListKind::kPresent, {Entry("b")},
               [&removed](const ServerId&, ServerChangeEffect effect) {
                 removed += effect == ServerChangeEffect::kRemoved ? 1 : 0;
               });
  cr_assert_eq(removed, 1);
  cr_assert_eq(list.servers().size(), 1);
}

Test(key_evidence, keys_are_accepted_only_while_the_evidence_is_recent) {
  KeyEvidence evidence(seconds(5));
  const BootTime sent(seconds(100));
  cr_assert_not(evidence.MayAcceptKeys(sent));
  evidence.OnCurrentRead(sent);
  evidence.OnCurrentRead(sent - seconds(3));
  cr_assert(evidence.MayAcceptKeys(sent + milliseconds(4600)));
  cr_assert_not(evidence.MayAcceptKeys(sent + milliseconds(4800)));
}

}  // namespace
}  // namespace mangoport
