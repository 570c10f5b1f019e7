// The entry host of the users' platform as a process, between callers of this
// test and stand-ins of the store and of backend servers.
#include <atomic>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "unittests/support/edge_fixture.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The callers' requests among what `server` was sent: a host also asks for
/// reports, which name no request.
std::size_t CallersRequests(const BackendStandin& server) {
  std::size_t n = 0;
  for (const SeenRequest& it : server.seen())
    n += it.Field("X-Attempt-Id").empty() ? 0 : 1;
  return n;
}

// NOLINTBEGIN: Criterion's macros
Test(edge, passes_a_stream_on_and_no_key, .timeout = 60) {
  EdgeFixture it;
  const auto reply = it.Ask("/stream/x?q=1", {{"X-Tenant", "other"},
                                              {"X-Hold", "h"},
                                              {"X-Own", "kept"},
                                              {"Connection", "close, x-hop"},
                                              {"x-hop", "dropped"}});
  cr_assert(reply && reply->status == 200);
  cr_assert_eq(reply->body, Events(1, 6));
  cr_assert_eq(it.SeenInAll(), 1);
  const SeenRequest seen =
      it.a_.seen().empty() ? it.b_.seen()[0] : it.a_.seen()[0];
  cr_assert_eq(seen.target, "/stream/x?q=1");
  cr_assert_eq(seen.body, "body");
  cr_assert_eq(seen.Field("X-Tenant"), "t1");
  cr_assert_eq(seen.Field("X-Own"), "kept");
  cr_assert_eq(seen.Field("Authorization"), "");
  cr_assert_eq(seen.Field("X-Hold"), "");
  cr_assert_eq(seen.Field("x-hop"), "");
  cr_assert_eq(seen.Field("X-Attempt-Id"), "id1");
}

Test(edge, a_stream_that_breaks_goes_on_elsewhere, .timeout = 60) {
  EdgeFixture it;
  it.a_.set_plan({.break_after = 3, .event_interval_ms = 80});
  it.b_.set_plan({.break_after = 3, .event_interval_ms = 80});
  // Whichever is asked first breaks; both go on from where it broke.
  std::thread mend([&it] {
    EdgeFixture::Within(seconds(5), [&it] { return it.SeenInAll() >= 1; });
    BackendStandin& other = it.a_.seen().empty() ? it.a_ : it.b_;
    other.set_plan({});
  });
  const auto reply = it.Ask("/stream/x");
  mend.join();
  cr_assert(reply && reply->status == 200);
  cr_assert_eq(reply->body, Events(1, 6));
  cr_assert_eq(it.SeenInAll(), 2);
}

// Streams whose server was slow were broken off although the retry budget was
// spent, so that nothing took their place.
Test(edge, without_budget_a_silent_server_is_waited_for, .timeout = 60) {
  EdgeFixture it("repeat_ratio = 0\nrepeat_extra = 0\n");
  it.a_.set_plan({.events = 2, .event_interval_ms = 1900});
  it.b_.set_plan({.events = 2, .event_interval_ms = 1900});
  std::atomic<int> whole{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < 4; ++i) {
    callers.emplace_back([&it, &whole] {
      const auto reply = it.Ask("/stream/x");
      whole += reply && reply->body == Events(1, 2) ? 1 : 0;
    });
  }
  for (std::thread& caller : callers)
    caller.join();
  // One repeat is always saved up; it may take its request past its deadline.
  cr_assert_geq(whole.load(), 3, "%d of 4", whole.load());
}

Test(edge, what_runs_once_is_not_sent_again, .timeout = 60) {
  EdgeFixture it;
  it.a_.set_plan({.status = 500});
  it.b_.set_plan({.status = 500});
  const auto once = it.Ask("/once/x");
  cr_assert(once && once->status == 500);
  cr_assert_eq(it.SeenInAll(), 1);
  const auto read = it.Ask("/read/x");
  cr_assert(read && read->status == 500);
  cr_assert_eq(it.SeenInAll(), 3);
}

Test(edge, a_server_that_did_not_run_it_leaves_it_to_another, .timeout = 60) {
  EdgeFixture it;
  it.a_.set_plan({.not_run = true});
  for (int i = 0; i < 6; ++i) {
    const auto reply = it.Ask("/once/x");
    cr_assert(reply && reply->status == 200);
    cr_assert_eq(reply->body, "from i-b");
  }
  it.b_.set_plan({.not_run = true});
  const auto refused = it.Ask("/once/x");
  cr_assert(refused && refused->status == 503);
  cr_assert(refused->has_header("Retry-After"));
}

Test(edge, keys_and_routes_follow_the_configuration, .timeout = 60) {
  EdgeFixture it;
  cr_assert_eq(it.Ask("/read/x", {}, "k2")->status, 401);
  cr_assert_eq(it.Ask("/none/x")->status, 404);
  it.store_.Put("keyed.op", "config", Config(5, R"("k2")"));
  cr_assert(EdgeFixture::Within(seconds(2), [&it] {
    return it.Ask("/read/x", {}, "k1")->status == 401;
  }));
  cr_assert_eq(it.Ask("/read/x", {}, "k2")->status, 200);
  // An older version never comes back.
  it.store_.Put("keyed.op", "config", Config(4, R"("k1")"));
  std::this_thread::sleep_for(milliseconds(300));
  cr_assert_eq(it.Ask("/read/x", {}, "k1")->status, 401);
  // Nor does a history that the store has forgotten stop the news.
  it.store_.Compact();
  it.store_.Put("keyed.op", "config", Config(6, R"("k1")"));
  cr_assert(EdgeFixture::Within(seconds(4), [&it] {
    return it.Ask("/read/x", {}, "k1")->status == 200;
  }));
}

Test(edge, without_the_store_keys_are_refused_in_time, .timeout = 60) {
  EdgeFixture it;
  it.store_.set_down(true);
  cr_assert(EdgeFixture::Within(
      seconds(5), [&it] { return it.Ask("/read/x")->status == 503; }));
  const std::size_t seen = it.SeenInAll();
  cr_assert_eq(it.Ask("/read/x")->status, 503);
  cr_assert_eq(it.SeenInAll(), seen);
  it.store_.set_down(false);
  cr_assert(EdgeFixture::Within(
      seconds(5), [&it] { return it.Ask("/read/x")->status == 200; }));
}

Test(edge, smuggled_requests_reach_no_server, .timeout = 60) {
  EdgeFixture it;
  const std::string inner = "GET /read/y HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const std::string& framing :
       {std::string("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
        std::string("Content-Length: 0\r\nContent-Length: 40\r\n"),
        std::string("Transfer-Encoding : chunked\r\n"),
        std::string("Transfer-Encoding: chunked\r\n"
                    "Transfer-Encoding: identity\r\n")}) {
    const std::string answer = it.Raw(
        "POST /read/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
        "k1\r\n" +
        framing + "\r\n" + inner);
    cr_assert(answer.starts_with("HTTP/1.1 400"), "%s", answer.c_str());
  }
  cr_assert_eq(it.SeenInAll(), 0);
}

Test(edge, a_stop_cuts_no_stream, .timeout = 60) {
  EdgeFixture it;
  it.a_.set_plan({.events = 20, .event_interval_ms = 60});
  it.b_.set_plan({.events = 20, .event_interval_ms = 60});
  std::thread stop([&it] {
    EdgeFixture::Within(seconds(5), [&it] { return it.SeenInAll() >= 1; });
    it.process_->Signal(SIGTERM);
    EdgeFixture::Within(seconds(1), [&it] { return !it.Ready(); });
    cr_assert_not(it.Ready());
  });
  const auto reply = it.Ask("/stream/x");
  stop.join();
  cr_assert(reply && reply->status == 200);
  cr_assert_eq(reply->body, Events(1, 20));
  cr_assert_eq(it.process_->Wait(seconds(6)), 0);
}

// Callers state how long their prompts are. A host that takes any number for
// work would count without end.
Test(edge, absurd_prompt_sizes_are_served_like_others, .timeout = 60) {
  EdgeFixture it;
  it.a_.set_plan({.events = 2});
  it.b_.set_plan({.events = 2});
  for (const char* usage :
       {"9223372036854775807,1", "-9223372036854775807,1", "1,2", "x,y"}) {
    const auto reply = it.Ask("/stream/x", {{"X-Token-Usage", usage}});
    cr_assert(reply && reply->status == 200, "%s", usage);
  }
}

// A copy that loads longer than the host may still run: the request is refused
// as not run before the host ends, and not dropped.
Test(edge, a_stop_answers_what_waits_for_a_copy, .timeout = 60) {
  EdgeFixture it;
  it.store_.Put("keyed.op", "config", ConfigWithModel(2, /*load_s=*/4));
  cr_assert(EdgeFixture::Within(seconds(5), [&it] {
    const auto reply = it.Ask("/stream/x", {{"X-Model", "unknown"}});
    return reply && reply->body.find("unknown_model") != std::string::npos;
  }));
  std::thread stop([&it] {
    std::this_thread::sleep_for(milliseconds(500));
    it.process_->Signal(SIGTERM);
  });
  const auto reply = it.Ask("/stream/x", {{"X-Model", "m1"}});
  stop.join();
  cr_assert(reply, "the request was dropped");
  cr_assert_eq(reply->status, 503);
  cr_assert_neq(reply->body.find("\"stopping\""), std::string::npos, "%s",
                reply->body.c_str());
  cr_assert(reply->has_header("Retry-After"));
  cr_assert_eq(it.process_->Wait(seconds(6)), 0);
}

Test(edge, a_server_that_leaves_gets_no_more, .timeout = 60) {
  EdgeFixture it;
  it.List(it.a_, "draining");
  std::this_thread::sleep_for(milliseconds(1500));
  const std::size_t before = CallersRequests(it.a_);
  for (int i = 0; i < 8; ++i)
    cr_assert_eq(it.Ask("/read/x")->status, 200);
  cr_assert_eq(CallersRequests(it.a_), before);
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
