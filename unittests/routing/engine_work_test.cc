#include "mangoport/routing/engine_work.h"

#include <chrono>
#include <random>
#include <string>

#include <criterion/criterion.h>

#include "mangoport/routing/router.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonoTime kStart{seconds(500)};
constexpr double kTokensPerSecond = 20000;
constexpr std::int64_t kPrompt = 2000;
constexpr Duration kPromptTime = milliseconds(100);

ServerId Engine(int i) {
  return ServerId("e" + std::to_string(i));
}

/// Samples of engines that are busy for `use` of their time; a request that
/// finds its engine busy waits for up to a prompt's time.
void Learn(PromptRateEstimate& estimate, int engines, double use) {
  std::mt19937_64 random(7);
  std::uniform_real_distribution<> draw(0, 1);
  for (int i = 0; i < 60 * engines; ++i) {
    const double wait = draw(random) < use ? draw(random) : 0;
    estimate.OnFirstEvent(
        Engine(i % engines), kPrompt,
        kPromptTime + std::chrono::duration_cast<Duration>(kPromptTime * wait));
  }
}

double ErrorOf(const PromptRateEstimate& estimate) {
  return *estimate.tokens_per_second() / kTokensPerSecond - 1;
}

Test(prompt_rate, nothing_is_predicted_before_the_first_sample) {
  const PromptRateEstimate estimate;
  cr_assert_eq(estimate.TimeFor(kPrompt), Duration::zero());
}

Test(prompt_rate, waiting_for_busy_engines_does_not_count_as_reading) {
  PromptRateEstimate estimate;
  Learn(estimate, 10, /*use=*/0.6);
  cr_assert_lt(std::abs(ErrorOf(estimate)), 0.15);
}

// Engines that answer without reading, and engines that are slow, must not
// change what is expected of the others.
Test(prompt_rate, failing_engines_do_not_change_the_estimate) {
  PromptRateEstimate estimate;
  Learn(estimate, 10, /*use=*/0.3);
  for (int i = 0; i < 200; ++i) {
    estimate.OnFirstEvent(Engine(i % 3), kPrompt, milliseconds(1));
    estimate.OnFirstEvent(Engine(3), kPrompt, seconds(3));
  }
  cr_assert_lt(std::abs(ErrorOf(estimate)), 0.15);
}

Test(engine_work, use_of_time_counts_all_hosts_and_fades) {
  EngineWorkLoad load;
  for (int i = 0; i < 50; ++i)
    load.OnDispatched(kStart + i * milliseconds(100), milliseconds(30));
  const MonoTime now = kStart + seconds(5);
  cr_assert_float_eq(load.Own(now), 0.3, 0.05);
  load.OnPeers(now, 0.4);
  cr_assert_float_eq(load.At(now), 0.7, 0.05);
  cr_assert_lt(load.At(now + seconds(5)), 0.01);
}

// Engines with many slots that few long prompts keep busy: by slots both look
// idle, by time one has no room left.
Test(router, an_engine_whose_time_is_used_up_gets_no_further_prompt) {
  const ModelId model("m");
  Router router;
  ServerList list{.as_of = kStart, .servers = {}};
  for (int i = 0; i < 2; ++i)
    list.servers.push_back({.id = Engine(i),
                            .zone = ZoneId("z"),
                            .models = {model},
                            .adapters = {},
                            .batch_size = 64});
  router.SetServers(kStart, list);
  for (int i = 0; i < 2; ++i)
    router.OnFirstToken(kStart, Engine(i), kPrompt, kPromptTime);
  int to_busy = 0;
  for (int i = 0; i < 40; ++i) {
    const MonoTime now = kStart + i * milliseconds(100);
    router.OnPeerWork(now, Engine(0), 0.9);
    RouteRequest request;
    request.model = model;
    request.own_zone = ZoneId("z");
    const RouteChoice choice = router.Choose(now, request);
    cr_assert(choice.server.has_value());
    to_busy += *choice.server == Engine(0) ? 1 : 0;
    router.OnDispatched(now, *choice.server, kPrompt / 4);
    router.OnFinished(now, *choice.server, AttemptOutcome::kCompleted,
                      milliseconds(25));
  }
  // Two choices of two engines take the same one half of the time.
  cr_assert_leq(to_busy, 16);
}

// What waits at an engine is refused only if it would outlast its caller, and
// not for the waits of less urgent requests, which are admitted later.
Test(router, a_wait_that_outlasts_the_caller_is_refused) {
  const ModelId model("m");
  Router router;
  ServerList list{.as_of = kStart, .servers = {}};
  list.servers.push_back({.id = Engine(0),
                          .zone = ZoneId("z"),
                          .models = {model},
                          .adapters = {},
                          .batch_size = 64});
  router.SetServers(kStart, list);
  router.OnFirstToken(kStart, Engine(0), kPrompt, kPromptTime, /*urgency=*/2);
  for (int i = 0; i < 10; ++i)
    router.OnFirstToken(kStart, Engine(0), kPrompt, seconds(3), /*urgency=*/2);
  RouteRequest request;
  request.model = model;
  request.urgency = 2;
  request.deadline = kStart + seconds(1);
  const RouteChoice refused = router.Choose(kStart, request);
  cr_assert_not(refused.server.has_value());
  cr_assert_eq(refused.refusal.code, ErrorCode::kOverloaded);
  cr_assert_gt(refused.retry_after, seconds(1));
  request.urgency = 0;
  cr_assert(router.Choose(kStart, request).server.has_value());
  request.urgency = 2;
  request.deadline = kStart + seconds(8);
  cr_assert(router.Choose(kStart, request).server.has_value());
}

}  // namespace
}  // namespace mangoport
