#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include <criterion/criterion.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "tools/standin/token_text.h"
#include "unittests/support/standin_process.h"

namespace mangoport {
namespace {

using Json = nlohmann::json;

httplib::Client ClientOf(const StandinProcess& process) {
  httplib::Client client("127.0.0.1", process.port());
  client.set_read_timeout(std::chrono::seconds(5));
  return client;
}

Json GetJson(const StandinProcess& process, const std::string& path) {
  const httplib::Result res = ClientOf(process).Get(path);
  cr_assert(res, "no answer from %s", path.c_str());
  return Json::parse(res->body);
}

httplib::Result PostJson(const StandinProcess& process,
                         const std::string& path,
                         const Json& body) {
  return ClientOf(process).Post(path, body.dump(), "application/json");
}

void PlantFault(const StandinProcess& process, const Json& fault) {
  const httplib::Result res = PostJson(process, "/standin/fault", fault);
  cr_assert(res && res->status == 200);
}

bool AwaitTrue(const std::function<bool()>& condition) {
  constexpr int kAttempts = 500;
  for (int i = 0; i < kAttempts; ++i) {
    if (condition())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

Json Completion(std::uint64_t resume_from) {
  return {{"request_id", "r1"},        {"model", "alpha"}, {"prompt", "hello"},
          {"max_tokens", 12},          {"stream", true},   {"priority", 1},
          {"resume_from", resume_from}};
}

std::string ExpectedStream(std::uint64_t from, std::uint64_t tokens) {
  std::string text;
  for (std::uint64_t i = from; i < tokens; ++i) {
    const Json event = {{"request_id", "r1"},
                        {"index", i},
                        {"text", standin::TokenText("alpha", "", "hello", i)}};
    text += "data: " + event.dump() + "\n\n";
  }
  const Json end = {
      {"request_id", "r1"}, {"finished", true}, {"tokens", tokens}};
  return text + "data: " + end.dump() + "\n\ndata: [DONE]\n\n";
}

// NOLINTNEXTLINE
Test(standin, log_appends_reads_and_loses_answers) {
  StandinProcess log(MANGOPORT_STANDIN, {"log", "--retain-entries", "2"});
  httplib::Client client = ClientOf(log);
  const std::string path = "/v1/streams/config.za-1/entries";
  for (int i = 0; i < 2; ++i) {
    const auto res = client.Post(path, std::string("a\0b", 3), "x/y");
    cr_assert(res && Json::parse(res->body)["offset"] == i);
  }
  std::atomic<bool> woken = false;
  std::thread reader([&] {
    const Json page = GetJson(log, path + "?from=2&wait_ms=4000");
    woken = page["entries"].size() == 1;
  });
  cr_assert(client.Post(path, "c", "x/y"));
  reader.join();
  cr_assert(woken);
  PlantFault(log, {{"kind", "lose_answer"}, {"path_contains", "config"}});
  cr_assert_not(client.Post(path, "a\nb", "x/y"));
  const Json page = GetJson(log, path + "?from=0");
  cr_assert_eq(page["first_retained"], 2);
  cr_assert_eq(page["entries"][1]["payload"], "YQpi");
  cr_assert_eq(page["entries"].size(), 2U);
}

// NOLINTNEXTLINE
Test(standin, log_refuses_over_its_rate_and_in_an_outage) {
  StandinProcess log(MANGOPORT_STANDIN,
                     {"log", "--appends-per-second", "0.001", "--burst", "1"});
  httplib::Client client = ClientOf(log);
  cr_assert_eq(client.Post("/v1/streams/s/entries", "a", "x/y")->status, 200);
  cr_assert_eq(client.Post("/v1/streams/s/entries", "b", "x/y")->status, 429);
  PlantFault(log, {{"kind", "outage"}, {"value", 60000}});
  cr_assert_eq(client.Get("/v1/streams/s/entries?from=0")->status, 503);
  PlantFault(log, {{"kind", "clear"}});
  cr_assert_eq(client.Get("/v1/streams/s/entries?from=0")->status, 200);
}

// NOLINTNEXTLINE
Test(standin, engine_streams_resumes_and_refuses) {
  StandinProcess engine(MANGOPORT_STANDIN,
                        {"engine", "--preload", "alpha", "--token-ms", "1"});
  const auto whole = PostJson(engine, "/v1/completions", Completion(0));
  cr_assert(whole && whole->body == ExpectedStream(0, 12));
  const auto rest = PostJson(engine, "/v1/completions", Completion(5));
  cr_assert(rest && rest->body == ExpectedStream(5, 12));
  Json other = Completion(0);
  other["model"] = "beta";
  const auto refused = PostJson(engine, "/v1/completions", other);
  cr_assert(refused && refused->status == 409);
  cr_assert_eq(Json::parse(refused->body)["error"], "model_not_loaded");
  const Json stats = GetJson(engine, "/standin/stats");
  cr_assert_eq(stats["tokens_produced"], 12 + 7);
  cr_assert_eq(stats["resumed_streams"], 1);
}

// NOLINTNEXTLINE
Test(standin, engine_stops_for_callers_who_leave_but_not_for_frozen_ones) {
  StandinProcess engine(MANGOPORT_STANDIN,
                        {"engine", "--preload", "alpha", "--token-ms", "1"});
  Json longest = Completion(0);
  longest["max_tokens"] = 1000000;
  httplib::Request req;
  req.method = "POST";
  req.path = "/v1/completions";
  req.body = longest.dump();
  int events = 0;
  req.content_receiver = [&events](const char*, std::size_t, std::uint64_t,
                                   std::uint64_t) { return ++events < 3; };
  httplib::Client leaving = ClientOf(engine);
  cr_assert_not(leaving.send(req));
  cr_assert(AwaitTrue(
      [&] { return GetJson(engine, "/control/report")["running"] == 0; }));
  PlantFault(engine, {{"kind", "freeze_after"}, {"value", 2}});
  httplib::Client frozen = ClientOf(engine);
  frozen.set_read_timeout(std::chrono::milliseconds(200));
  cr_assert_not(
      frozen.Post("/v1/completions", longest.dump(), "application/json"));
  const auto fresh = PostJson(engine, "/v1/completions", Completion(0));
  cr_assert(fresh && fresh->body == ExpectedStream(0, 12));
  cr_assert_eq(GetJson(engine, "/control/report")["running"], 1);
  cr_assert(ClientOf(engine).Delete("/v1/requests/r1"));
  cr_assert(AwaitTrue(
      [&] { return GetJson(engine, "/control/report")["running"] == 0; }));
}

// NOLINTNEXTLINE
Test(standin, engine_orders_fence_and_never_overcommit) {
  StandinProcess engine(MANGOPORT_STANDIN,
                        {"engine", "--preload", "alpha:60", "--memory-mb",
                         "100", "--load-ms", "1"});
  const auto order = [&engine](const std::string& id, int epoch,
                               const std::string& kind,
                               const std::string& name) {
    const auto res = PostJson(engine, "/control/orders",
                              {{"order_id", id},
                               {"epoch", epoch},
                               {"kind", kind},
                               {"name", name},
                               {"version", ""},
                               {"size_mb", 60}});
    return res ? res->status : -1;
  };
  cr_assert_eq(order("o1", 5, "load_model", "beta"), 507);
  cr_assert_eq(order("o2", 4, "unload_model", "alpha"), 409);
  cr_assert_eq(order("o3", 5, "unload_model", "alpha"), 202);
  cr_assert(AwaitTrue([&] {
    return GetJson(engine, "/control/report")["memory_used_mb"] == 0;
  }));
  cr_assert_eq(order("o4", 5, "load_model", "beta"), 202);
  cr_assert(AwaitTrue(
      [&] { return !GetJson(engine, "/control/report")["models"].empty(); }));
  const Json stats = GetJson(engine, "/standin/stats");
  cr_assert_eq(stats["overcommit_attempts"], 1);
  cr_assert_eq(stats["most_memory_used_mb"], 60);
}

// NOLINTNEXTLINE
Test(standin, plain_counts_runs_and_crashes_on_a_marker) {
  StandinProcess plain(MANGOPORT_STANDIN, {"plain", "--crash-on", "poison-7"});
  const Json payout = {{"reference", "p-1"}};
  cr_assert_eq(
      Json::parse(PostJson(plain, "/calls/payout", payout)->body)["run"], 1);
  PlantFault(plain, {{"kind", "drop"}});
  cr_assert_not(PostJson(plain, "/calls/payout", payout));
  PlantFault(plain, {{"kind", "lose_answer"}});
  cr_assert_not(PostJson(plain, "/calls/payout", payout));
  cr_assert_eq(GetJson(plain, "/standin/stats")["double_runs"], 1);
  cr_assert_not(PostJson(plain, "/calls/payout", {{"note", "poison-7"}}));
  cr_assert_eq(plain.AwaitExit(), 9);
}

// NOLINTNEXTLINE
Test(standin, hosts_and_servers_lag) {
  StandinProcess hosts(MANGOPORT_STANDIN, {"hosts", "--lag-ms", "300"});
  httplib::Client client = ClientOf(hosts);
  const Json host = {{"zone", "z1"}, {"state", "live"}};
  cr_assert_eq(client.Put("/v1/hosts/a", host.dump(), "x/y")->status, 200);
  cr_assert(GetJson(hosts, "/v1/hosts")["hosts"].empty());
  cr_assert(AwaitTrue(
      [&] { return GetJson(hosts, "/v1/hosts")["hosts"].size() == 1; }));
  cr_assert(GetJson(hosts, "/v1/servers")["servers"].empty());
}

}  // namespace
}  // namespace mangoport
