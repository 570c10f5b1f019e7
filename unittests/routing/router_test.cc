#include "mangoport/routing/router.h"

#include <map>
#include <string>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonoTime kStart = MonoTime() + std::chrono::hours(1);
const ModelId kModel("drafts");

ServerSpec Spec(const std::string& id, const std::string& zone) {
  return ServerSpec{.id = ServerId(id),
                    .zone = ZoneId(zone),
                    .models = {kModel},
                    .adapters = {},
                    .batch_size = 4};
}

RouteRequest Request() {
  RouteRequest request;
  request.model = kModel;
  request.own_zone = ZoneId("a");
  return request;
}

Router WithServers(MonoTime now) {
  Router router;
  router.SetServers(now,
                    {now, {Spec("a1", "a"), Spec("a2", "a"), Spec("b1", "b")}});
  return router;
}

// NOLINTNEXTLINE
Test(router, prefers_own_zone_and_spills_over_when_full) {
  Router router = WithServers(kStart);
  std::map<std::string, int> chosen;
  // Waiting for a place at home would take longer than the objective.
  RouteRequest request = Request();
  request.objective = milliseconds(500);
  request.due = kStart + request.objective;
  for (int i = 0; i < 12; ++i) {
    const RouteChoice choice = router.Choose(kStart, request);
    cr_assert(choice.server.has_value());
    ++chosen[choice.server->value()];
    router.OnDispatched(kStart, *choice.server);
    if (i < 6)
      cr_assert_eq(chosen["b1"], 0);
  }
  cr_assert_gt(chosen["b1"], 0);
}

// A server whose models change alone is found like one in a new list.
// NOLINTNEXTLINE
Test(router, models_of_one_server_change_without_a_new_list) {
  Router router = WithServers(kStart);
  RouteRequest other = Request();
  other.model = ModelId("others");
  cr_assert_not(router.Choose(kStart, other).server.has_value());
  router.SetModels(ServerId("a2"), {ModelId("others")});
  for (int i = 0; i < 50; ++i) {
    cr_assert_eq(router.Choose(kStart, other).server->value(), "a2");
    cr_assert_neq(router.Choose(kStart, Request()).server->value(), "a2");
  }
  router.SetModels(ServerId("a2"), {});
  cr_assert_not(router.Choose(kStart, other).server.has_value());
}

// NOLINTNEXTLINE
Test(router, leaving_evidence_is_kept_until_list_is_newer) {
  Router router = WithServers(kStart);
  router.OnFinished(kStart + seconds(1), ServerId("a1"),
                    AttemptOutcome::kRefusedLeaving);
  router.SetServers(kStart + seconds(5),
                    {kStart, {Spec("a1", "a"), Spec("a2", "a")}});
  for (int i = 0; i < 50; ++i)
    cr_assert_eq(router.Choose(kStart + seconds(5), Request()).server->value(),
                 "a2");
  router.SetServers(kStart + seconds(9),
                    {kStart + seconds(8), {Spec("a1", "a")}});
  cr_assert_eq(router.Choose(kStart + seconds(9), Request()).server->value(),
               "a1");
}

// NOLINTNEXTLINE
Test(router, all_servers_ejected_still_chooses_one) {
  Router router = WithServers(kStart);
  for (const char* it : {"a1", "a2", "b1"})
    router.OnFinished(kStart, ServerId(it), AttemptOutcome::kServerDied);
  cr_assert(router.Choose(kStart, Request()).server.has_value());
}

// A server at rest is no last resort, not even if all others are ejected.
// NOLINTNEXTLINE
Test(router, held_servers_get_nothing_until_the_soonest_is_back) {
  Router router = WithServers(kStart);
  router.Hold(ServerId("a1"), kStart + seconds(3));
  router.OnFinished(kStart, ServerId("a2"), AttemptOutcome::kServerDied);
  router.OnFinished(kStart, ServerId("b1"), AttemptOutcome::kServerDied);
  for (int i = 0; i < 50; ++i)
    cr_assert_neq(router.Choose(kStart, Request()).server->value(), "a1");
  router.Hold(ServerId("a2"), kStart + seconds(2));
  router.Hold(ServerId("b1"), kStart + seconds(9));
  const RouteChoice none = router.Choose(kStart + seconds(1), Request());
  cr_assert_not(none.server.has_value());
  cr_assert(none.retry_after == seconds(1));
  cr_assert_eq(router.Choose(kStart + seconds(2), Request()).server->value(),
               "a2");
}

// NOLINTNEXTLINE
Test(router, ejected_server_gets_a_single_probe) {
  Router router;
  router.SetServers(kStart, {kStart, {Spec("a1", "a"), Spec("a2", "a")}});
  router.OnFinished(kStart, ServerId("a1"), AttemptOutcome::kConnectFailed);
  for (int i = 0; i < 50; ++i)
    cr_assert_eq(router.Choose(kStart, Request()).server->value(), "a2");
  const MonoTime later = kStart + seconds(2);
  int probes = 0;
  for (int i = 0; i < 50; ++i) {
    const ServerId server = *router.Choose(later, Request()).server;
    if (server.value() != "a1")
      continue;
    ++probes;
    router.OnDispatched(later, server);
  }
  cr_assert_eq(probes, 1);
  router.OnFirstToken(later + milliseconds(1), ServerId("a1"));
  cr_assert_eq(router.Find(ServerId("a1"))->health.StateAt(later),
               ServerHealth::State::kHealthy);
}

// NOLINTNEXTLINE
Test(router, wait_beyond_deadline_is_refused_as_not_run) {
  Router router;
  router.SetServers(kStart, {kStart, {Spec("a1", "a")}});
  for (int i = 0; i < 8; ++i)
    router.OnDispatched(kStart, ServerId("a1"));
  RouteRequest request = Request();
  request.deadline = kStart + milliseconds(1700);
  const RouteChoice choice = router.Choose(kStart, request);
  cr_assert_not(choice.server.has_value());
  cr_assert_eq(choice.refusal.code, ErrorCode::kOverloaded);
  cr_assert(choice.refusal.not_run);
}

// NOLINTNEXTLINE
Test(router, same_prefix_uses_same_server_up_to_load_limit) {
  Router router = WithServers(kStart);
  RouteRequest request = Request();
  request.prefix_hash = 42;
  const ServerId preferred = *router.Choose(kStart, request).server;
  cr_assert_eq(*router.Choose(kStart, request).server, preferred);
  for (int i = 0; i < 4; ++i)
    router.OnDispatched(kStart, preferred);
  cr_assert_neq(*router.Choose(kStart, request).server, preferred);
}

// NOLINTNEXTLINE
Test(router, adapter_request_uses_server_that_holds_it) {
  Router router;
  ServerSpec holder = Spec("a2", "a");
  holder.adapters = {AdapterId("gallery")};
  router.SetServers(kStart, {kStart, {Spec("a1", "a"), holder}});
  RouteRequest request = Request();
  request.adapter = AdapterId("gallery");
  for (int i = 0; i < 20; ++i)
    cr_assert_eq(router.Choose(kStart, request).server->value(), "a2");
}

// NOLINTNEXTLINE
Test(load_estimate, own_dispatches_after_measurement_are_added) {
  LoadEstimate load;
  load.OnDispatched(kStart);
  load.OnDispatched(kStart + seconds(2));
  // Measured before the second dispatch: one of the five requests is from this
  // host, four are from others.
  load.OnReport(kStart + seconds(1), 5);
  cr_assert_float_eq(load.At(kStart + seconds(1)), 6.0, 0.01);
  cr_assert_float_eq(load.At(kStart + seconds(6)), 2.0, 0.01);
}

}  // namespace
}  // namespace mangoport
