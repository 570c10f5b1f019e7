#include "mangoport/forward/backend_table.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <map>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::seconds;

constexpr MonoTime kStart{seconds(500)};
const ServiceId kService("drafts");
const ServerId kEngine("e1");
const ModelId kModel("m1");

std::map<ServerId, ServerEntry> List(std::uint64_t started,
                                     const std::vector<ModelId>& models) {
  ServerEntry entry;
  entry.id = kEngine;
  entry.service = kService;
  entry.address = "127.0.0.1:9000";
  entry.started_at_ms = started;
  for (const ModelId& it : models)
    entry.models.push_back({.model = it, .weights_version = 1, .adapters = {}});
  return {{kEngine, entry}};
}

ResidencyChange Loaded(std::uint64_t orders) {
  return {.server = kEngine,
          .item = kModel,
          .orders_accepted = orders,
          .gone = false};
}

// The holder's report of a copy counts until the engine's own entry must show
// it; a report that was wrong or has become outdated doesn't last.
Test(backend_table, a_reported_copy_counts_only_until_the_list_must_show_it) {
  BackendTable table(ZoneId("a"));
  table.SetServers(kStart, List(1, {}));
  table.NoteResidency(kStart, Loaded(3));
  cr_assert(table.HasModel(kStart + seconds(1), kService, kModel));
  cr_assert_not(table.HasModel(kStart + seconds(5), kService, kModel));
  table.SetServers(kStart + seconds(5), List(1, {kModel}));
  cr_assert(table.HasModel(kStart + seconds(60), kService, kModel));
}

// Datagrams overtake each other: an older report changes nothing.
Test(backend_table, an_older_report_of_a_copy_is_ignored) {
  BackendTable table(ZoneId("a"));
  table.SetServers(kStart, List(1, {}));
  table.NoteResidency(kStart, Loaded(3));
  ResidencyChange older = Loaded(2);
  older.gone = true;
  table.NoteResidency(kStart, older);
  cr_assert(table.HasModel(kStart, kService, kModel));
}

// An engine that starts again holds nothing of what was reported before.
Test(backend_table, reports_from_before_a_restart_are_dropped) {
  BackendTable table(ZoneId("a"));
  table.SetServers(kStart, List(1, {}));
  table.NoteResidency(kStart, Loaded(3));
  table.SetServers(kStart, List(2, {}));
  cr_assert_not(table.HasModel(kStart, kService, kModel));
}

// The entry goes and comes back with another start while the server has work of
// this host: what was reported of the earlier start hid the newer reports.
Test(backend_table, reports_of_an_earlier_start_do_not_outlive_its_entry) {
  BackendTable table(ZoneId("a"));
  table.SetServers(kStart, List(1, {}));
  table.NoteResidency(kStart, Loaded(7));
  table.OnDispatched(kStart, kService, kEngine, 0);
  table.SetServers(kStart, {});
  table.SetServers(kStart, List(2, {}));
  cr_assert_not(table.HasModel(kStart, kService, kModel), "of the old start");
  table.NoteResidency(kStart, Loaded(1));
  cr_assert(table.HasModel(kStart, kService, kModel), "of the new start");
}

// Requests that waited for an adapter slept until their time was up if the
// holder's report was lost.
Test(backend_table, an_entry_with_an_adapter_wakes_what_waits_for_it) {
  BackendTable table(ZoneId("a"));
  std::vector<ModelId> woken;
  table.set_on_resident([&woken](const ModelId& it) { woken.push_back(it); });
  std::map<ServerId, ServerEntry> list = List(1, {kModel});
  table.SetServers(kStart, list);
  list.begin()->second.models.front().adapters.emplace_back("a1");
  table.SetServers(kStart + seconds(1), list);
  cr_assert_eq(std::count(woken.begin(), woken.end(), ModelId("m1/a1")), 1);
}

// What the server works on ends in the books of the service that sent it, or
// the old service never sends it anything again.
Test(backend_table, work_ends_at_the_service_that_it_was_sent_for) {
  const ServiceId other("ledger");
  BackendTable table(ZoneId("a"));
  const std::map<ServerId, ServerEntry> here = List(1, {});
  std::map<ServerId, ServerEntry> moved = here;
  moved.begin()->second.service = other;
  table.SetServers(kStart, here);
  for (int i = 0; i < 100; ++i)
    table.OnDispatched(kStart, kService, kEngine, 0);
  table.SetServers(kStart, moved);
  for (int i = 0; i < 100; ++i)
    table.OnFinished(kStart, kService, kEngine, AttemptOutcome::kCompleted,
                     seconds(1));
  table.SetServers(kStart, here);
  RouteRequest request;
  request.deadline = kStart + seconds(1);
  cr_assert(table.Choose(kStart, kService, request).server,
            "still taken for full");
}

// An entry goes to another service under the same id, and then away: requests
// for the old service were sent to it, and later to no address at all.
Test(backend_table, a_server_that_changes_its_service_leaves_the_old_one) {
  const ServiceId other("ledger");
  BackendTable table(ZoneId("a"));
  std::map<ServerId, ServerEntry> list = List(1, {});
  table.SetServers(kStart, list);
  cr_assert(table.Choose(kStart, kService, {}).server);
  list.begin()->second.service = other;
  table.SetServers(kStart + seconds(1), list);
  cr_assert_not(table.Choose(kStart + seconds(1), kService, {}).server);
  cr_assert(table.Choose(kStart + seconds(1), other, {}).server);
  table.SetServers(kStart + seconds(2), {});
  cr_assert_not(table.Choose(kStart + seconds(2), kService, {}).server);
  cr_assert_not(table.Choose(kStart + seconds(2), other, {}).server);
}

/// Least processor time to process reported copies at one of `servers` servers.
std::clock_t NoteTime(int servers) {
  constexpr int kNotes = 20;
  constexpr int kModels = 10;
  std::map<ServerId, ServerEntry> list;
  for (int i = 0; i < servers; ++i) {
    ServerEntry entry = List(1, {}).at(kEngine);
    entry.id = ServerId("e" + std::to_string(i));
    for (int k = 0; k < kModels; ++k)
      entry.models.push_back({.model = ModelId("held" + std::to_string(k)),
                              .weights_version = 1,
                              .adapters = {}});
    list.emplace(entry.id, entry);
  }
  BackendTable table(ZoneId("a"));
  table.SetServers(kStart, list);
  std::clock_t least = CLOCKS_PER_SEC;
  for (std::uint64_t i = 1; i <= kNotes; ++i) {
    const std::clock_t begin = std::clock();
    table.NoteResidency(kStart, Loaded(i));
    least = std::min(least, std::clock() - begin);
    cr_assert(table.HasModel(kStart, kService, kModel));
  }
  return least;
}

// Each copy that was loaded or unloaded anywhere cost every host the rebuild of
// its whole table: at 204 engines a hundredth of a second on a small machine.
Test(backend_table, cost_of_a_reported_copy_does_not_grow_with_the_servers) {
  const std::clock_t few = std::max<std::clock_t>(NoteTime(4), 20);
  const std::clock_t many = NoteTime(400);
  cr_assert_lt(many, 10 * few, "%ld and %ld us", few, many);
}

// A copy at an engine that leaves is none: requests must not wait for it, and
// the plan of copies must see that it goes.
Test(backend_table, an_engine_that_says_it_leaves_counts_as_draining) {
  BackendTable table(ZoneId("a"));
  int told = 0;
  table.set_on_leaving([&told](const ServerId&) { ++told; });
  table.SetServers(kStart, List(1, {kModel}));
  table.NoteSignals(kStart, table.StartOf(kEngine), {.leaving = true});
  table.NoteSignals(kStart, table.StartOf(kEngine), {.leaving = true});
  cr_assert_eq(told, 1);
  for (const std::vector<ModelId>& models :
       {std::vector<ModelId>{kModel}, std::vector<ModelId>{}}) {
    cr_assert(table.AllLeaving(kService));
    cr_assert(table.servers().at(kEngine).draining);
    cr_assert_not(table.HasModel(kStart, kService, kModel));
    table.SetServers(kStart + seconds(1), List(1, models));
  }
  cr_assert_eq(table.SaidLeaving().size(), 1);
  table.SetServers(kStart + seconds(2), List(2, {kModel}));
  cr_assert_not(table.AllLeaving(kService));
  cr_assert(table.HasModel(kStart + seconds(2), kService, kModel));
  cr_assert(table.SaidLeaving().empty());
}

// A newer list and a lapsed entry leave a hold as it is; a new start ends it.
Test(backend_table, a_held_engine_is_chosen_again_at_the_end_of_the_hold) {
  BackendTable table(ZoneId("a"));
  RouteRequest request;
  request.model = kModel;
  const auto chosen = [&](Duration after) {
    return table.Choose(kStart + after, kService, request).server.has_value();
  };
  table.SetServers(kStart, List(1, {kModel}));
  cr_assert(
      table.NoteSignals(kStart, table.StartOf(kEngine), {.hold = seconds(5)}));
  table.SetServers(kStart + seconds(1), List(1, {kModel, ModelId("m2")}));
  cr_assert_not(chosen(seconds(1)));
  table.SetServers(kStart + seconds(2), {});
  table.SetServers(kStart + seconds(3), List(1, {kModel}));
  cr_assert_not(chosen(seconds(4)));
  cr_assert(chosen(seconds(5)));
  table.NoteSignals(kStart + seconds(5), table.StartOf(kEngine),
                    {.hold = seconds(9)});
  cr_assert_not(chosen(seconds(6)));
  table.SetServers(kStart + seconds(7), List(2, {kModel}));
  cr_assert(chosen(seconds(7)));
}

/// The engine in zone "a" and another with the same model in zone "b".
std::map<ServerId, ServerEntry> TwoZones() {
  std::map<ServerId, ServerEntry> out = List(1, {kModel});
  out.at(kEngine).zone = ZoneId("a");
  ServerEntry other = out.at(kEngine);
  other.id = ServerId("e2");
  other.zone = ZoneId("b");
  other.address = "127.0.0.1:9001";
  out.emplace(other.id, other);
  return out;
}

RouteRequest ForModel() {
  RouteRequest out;
  out.model = kModel;
  return out;
}

// Requests went on to the servers of a zone that operators had evacuated.
Test(backend_table, servers_of_an_evacuated_zone_are_chosen_no_more) {
  BackendTable table(ZoneId("a"));
  table.SetServers(kStart, TwoZones());
  table.SetEvacuatedZones(kStart, {ZoneId("a")}, {});
  for (int i = 0; i < 20; ++i) {
    const RouteChoice choice = table.Choose(kStart, kService, ForModel());
    cr_assert(choice.server == ServerId("e2"));
  }
  // A newer list does not end the evacuation.
  table.SetServers(kStart + seconds(1), TwoZones());
  cr_assert(table.servers().at(kEngine).draining);
  cr_assert_not(table.AllEvacuated(kService));
  table.SetEvacuatedZones(kStart + seconds(2), {ZoneId("a"), ZoneId("b")}, {});
  cr_assert(table.AllEvacuated(kService));
  cr_assert_not(table.Choose(kStart + seconds(2), kService, ForModel()).server);
  cr_assert_not(table.HasModel(kStart + seconds(2), kService, kModel));
  // An evacuation is not the server's own word that it leaves.
  cr_assert(table.SaidLeaving().empty());
  table.SetEvacuatedZones(kStart + seconds(3), {}, {ZoneId("a"), ZoneId("b")});
  cr_assert_not(table.servers().at(kEngine).draining);
  cr_assert(table.Choose(kStart + seconds(3), kService, ForModel()).server);
}

/// A service whose servers bear two requests per second in their first three
/// seconds.
ServiceSpec ColdService() {
  ServiceSpec out;
  out.id = kService;
  out.cold_start = {.duration = seconds(3), .requests_per_second = 2};
  return out;
}

// Hosts sent a server that had just started as much as any other, and more,
// since it was idle; it crashed again.
Test(backend_table, a_server_that_has_just_started_gets_its_rate_only) {
  BackendTable table(ZoneId("a"));
  table.SetColdStarts({ColdService()});
  table.SetZoneHosts(kStart, HostId("h1"), {HostId("h1")}, kStart);
  auto listed = List(1, {kModel});
  listed.at(kEngine).zone = ZoneId("a");
  listed.at(kEngine).cold_left = seconds(3);
  table.SetServers(kStart, listed);
  int sent = 0;
  for (MonoTime now = kStart; now < kStart + seconds(3);
       now += std::chrono::milliseconds(10)) {
    const RouteChoice choice = table.Choose(now, kService, ForModel());
    if (!choice.server) {
      cr_assert_leq(choice.retry_after.count(), Duration(seconds(1)).count());
      continue;
    }
    ++sent;
    table.OnDispatched(now, kService, kEngine, 0);
  }
  cr_assert_eq(sent, 6);
  cr_assert(table.Choose(kStart + seconds(3), kService, ForModel()).server);
}

// The servers of a zone may have been started again while it was evacuated,
// and their entries tell it late.
Test(backend_table, servers_are_taken_for_cold_at_the_end_of_an_evacuation) {
  BackendTable table(ZoneId("a"));
  table.SetColdStarts({ColdService()});
  table.SetZoneHosts(kStart, HostId("h1"), {HostId("h1")}, kStart);
  auto listed = List(1, {kModel});
  listed.at(kEngine).zone = ZoneId("a");
  table.SetServers(kStart, listed);
  table.SetEvacuatedZones(kStart, {ZoneId("a")}, {});
  table.SetEvacuatedZones(kStart + seconds(9), {}, {ZoneId("a")});
  cr_assert(table.Choose(kStart + seconds(9), kService, ForModel()).server);
  table.OnDispatched(kStart + seconds(9), kService, kEngine, 0);
  cr_assert_not(table.Choose(kStart + seconds(9), kService, ForModel()).server);
  cr_assert(table.Choose(kStart + seconds(12), kService, ForModel()).server);
}

}  // namespace
}  // namespace mangoport
