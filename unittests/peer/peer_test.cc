#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "mangoport/adapters/nghttp2_peer_client.h"
#include "mangoport/adapters/nghttp2_peer_server.h"
#include "unittests/support/tcp_relay.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Respond = std::function<void(std::string)>;

/// Bound of a wait that ends early when all is well.
constexpr seconds kPatience{30};

std::unique_ptr<Nghttp2PeerServer> StartServer(PeerHandler handler,
                                               PeerServerOptions options = {}) {
  auto server =
      Nghttp2PeerServer::Start(std::move(options), std::move(handler));
  cr_assert(static_cast<bool>(server));
  return std::move(server.value());
}

PeerAddress Loopback(std::uint16_t port) {
  return {"127.0.0.1", port};
}

std::future<PeerReply> Send(PeerClient& client,
                            const PeerAddress& peer,
                            std::string_view method,
                            std::string body,
                            Duration timeout = kPatience) {
  auto reply = std::make_shared<std::promise<PeerReply>>();
  client.Call(peer, method, std::move(body), timeout,
              [reply](PeerReply it) { reply->set_value(std::move(it)); });
  return reply->get_future();
}

void Echo(std::string_view method,
          const std::string& body,
          const Respond& respond) {
  respond(std::string(method) + ":" + body);
}

std::size_t Length(int i) {
  return static_cast<std::size_t>(i) * 7;
}

/// Keeps requests until the test answers them.
class HeldRequests {
 public:
  PeerHandler handler() {
    return [this](std::string_view, std::string body, Respond respond) {
      const std::lock_guard hold(lock_);
      held_.emplace_back(std::move(body), std::move(respond));
    };
  }

  std::vector<std::pair<std::string, Respond>> WaitFor(std::size_t n) {
    while (true) {
      {
        const std::lock_guard hold(lock_);
        if (held_.size() >= n)
          return held_;
      }
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

 private:
  std::mutex lock_;
  std::vector<std::pair<std::string, Respond>> held_;
};

// NOLINTNEXTLINE
Test(peer, concurrent_calls_get_their_own_replies) {
  const auto server = StartServer(Echo);
  Nghttp2PeerClient client({});
  std::vector<std::future<PeerReply>> replies;
  for (int i = 0; i < 1000; ++i)
    replies.push_back(Send(client, Loopback(server->port()), "echo",
                           std::to_string(i) + std::string(Length(i), 'x')));
  for (int i = 0; i < 1000; ++i) {
    const PeerReply reply = replies[i].get();
    cr_assert_eq(reply.status, PeerStatus::kOk);
    cr_assert_eq(reply.body,
                 "echo:" + std::to_string(i) + std::string(Length(i), 'x'));
  }
  cr_assert_eq(client.counters().connections_opened, 1U);
}

// NOLINTNEXTLINE
Test(peer, replies_in_another_order_reach_their_callers) {
  HeldRequests held;
  const auto server = StartServer(held.handler());
  Nghttp2PeerClient client({});
  std::vector<std::future<PeerReply>> replies;
  for (int i = 0; i < 50; ++i)
    replies.push_back(
        Send(client, Loopback(server->port()), "hold", std::to_string(i)));
  auto requests = held.WaitFor(50);
  std::reverse(requests.begin(), requests.end());
  for (auto& [body, respond] : requests)
    respond("to " + body);
  for (int i = 0; i < 50; ++i)
    cr_assert_eq(replies[i].get().body, "to " + std::to_string(i));
}

// NOLINTNEXTLINE
Test(peer, late_reply_is_dropped_and_its_successor_is_not_mistaken) {
  HeldRequests held;
  const auto server = StartServer(held.handler());
  Nghttp2PeerClient client({});
  const PeerAddress peer = Loopback(server->port());
  auto late = Send(client, peer, "hold", "first", milliseconds(100));
  held.WaitFor(1);
  cr_assert_eq(late.get().status, PeerStatus::kUnknown);
  auto next = Send(client, peer, "hold", "second");
  auto requests = held.WaitFor(2);
  requests[0].second("answer to first");
  requests[1].second("answer to second");
  const PeerReply reply = next.get();
  cr_assert_eq(reply.status, PeerStatus::kOk);
  cr_assert_eq(reply.body, "answer to second");
}

// NOLINTNEXTLINE
Test(peer, call_that_ran_out_of_time_frees_its_place_at_the_server) {
  HeldRequests held;
  PeerServerOptions options;
  options.max_open_requests = 1;
  const auto server = StartServer(held.handler(), options);
  Nghttp2PeerClient client({});
  const PeerAddress peer = Loopback(server->port());
  Send(client, peer, "hold", "first", milliseconds(50)).get();
  while (Send(client, peer, "hold", "next", milliseconds(50)).get().status ==
         PeerStatus::kRefused) {
  }
  held.WaitFor(2);
}

// NOLINTNEXTLINE
Test(peer, requests_over_the_limit_are_refused_as_not_run) {
  HeldRequests held;
  PeerServerOptions options;
  options.max_open_requests = 1;
  const auto server = StartServer(held.handler(), options);
  Nghttp2PeerClient client({});
  const PeerAddress peer = Loopback(server->port());
  auto first = Send(client, peer, "hold", "first");
  auto requests = held.WaitFor(1);
  const PeerReply second = Send(client, peer, "hold", "second").get();
  cr_assert_eq(second.status, PeerStatus::kRefused);
  cr_assert_eq(second.body, "too many open requests");
  requests[0].second("done");
  cr_assert_eq(first.get().status, PeerStatus::kOk);
}

// NOLINTNEXTLINE
Test(peer, peer_that_stops_mid_call_leaves_the_outcome_unknown) {
  HeldRequests held;
  auto server = StartServer(held.handler());
  Nghttp2PeerClient client({});
  const PeerAddress peer = Loopback(server->port());
  auto open = Send(client, peer, "hold", "body");
  auto requests = held.WaitFor(1);
  server.reset();
  cr_assert_eq(open.get().status, PeerStatus::kUnknown);
  requests[0].second("too late, and the server is gone");
  cr_assert_eq(Send(client, peer, "hold", "body").get().status,
               PeerStatus::kRefused);
}

// NOLINTNEXTLINE
Test(peer, peer_that_comes_back_is_called_again) {
  auto server = StartServer(Echo);
  const PeerAddress peer = Loopback(server->port());
  Nghttp2PeerClient client({});
  cr_assert_eq(Send(client, peer, "a", "").get().status, PeerStatus::kOk);
  server.reset();
  // A call that crosses the close has been written whole, and nothing tells the
  // client whether it ran. Once the loss is known, calls are refused.
  const PeerStatus crossing = Send(client, peer, "a", "").get().status;
  cr_assert(crossing == PeerStatus::kRefused ||
            crossing == PeerStatus::kUnknown);
  cr_assert_eq(Send(client, peer, "a", "").get().status, PeerStatus::kRefused);
  PeerServerOptions options;
  options.listen = peer;
  server = StartServer(Echo, options);
  while (Send(client, peer, "a", "").get().status != PeerStatus::kOk)
    std::this_thread::sleep_for(milliseconds(5));
}

// NOLINTNEXTLINE
Test(peer, silent_connection_is_replaced_while_new_ones_work) {
  const auto server = StartServer(Echo);
  TcpRelay relay(server->port());
  PeerClientOptions options;
  options.ping_interval = milliseconds(50);
  options.progress_deadline = milliseconds(200);
  Nghttp2PeerClient client(options);
  const PeerAddress peer = Loopback(relay.port());
  cr_assert_eq(Send(client, peer, "a", "1").get().status, PeerStatus::kOk);
  relay.FreezeOpenConnections();
  const PeerReply lost = Send(client, peer, "a", "2").get();
  cr_assert_eq(lost.status, PeerStatus::kUnknown);
  cr_assert_eq(lost.body, "connection silent");
  cr_assert_eq(Send(client, peer, "a", "3").get().body, "a:3");
  cr_assert_eq(client.counters().connections_silent, 1U);
  cr_assert_eq(client.counters().connections_opened, 2U);
}

// NOLINTNEXTLINE
Test(peer, long_call_on_a_working_connection_is_not_taken_as_silent) {
  HeldRequests held;
  const auto server = StartServer(held.handler());
  PeerClientOptions options;
  options.ping_interval = milliseconds(20);
  options.progress_deadline = milliseconds(500);
  Nghttp2PeerClient client(options);
  auto open = Send(client, Loopback(server->port()), "hold", "");
  auto requests = held.WaitFor(1);
  std::this_thread::sleep_for(milliseconds(1200));
  requests[0].second("done");
  cr_assert_eq(open.get().body, "done");
  cr_assert_eq(client.counters().connections_silent, 0U);
}

// NOLINTNEXTLINE
Test(peer, oversized_request_is_refused_at_both_ends) {
  std::atomic<int> seen{0};
  PeerServerOptions server_options;
  server_options.max_body_bytes = 1000;
  const auto server = StartServer(
      [&seen](std::string_view, const std::string&, const Respond& respond) {
        ++seen;
        respond("");
      },
      server_options);
  const PeerAddress peer = Loopback(server->port());
  PeerClientOptions client_options;
  client_options.max_body_bytes = 3000000;
  Nghttp2PeerClient client(client_options);
  const PeerReply far =
      Send(client, peer, "a", std::string(2000000, 'x')).get();
  cr_assert_eq(far.status, PeerStatus::kRefused);
  cr_assert_eq(far.body, "request body is over the limit of 1000 bytes");
  const PeerReply near =
      Send(client, peer, "a", std::string(3000001, 'x')).get();
  cr_assert_eq(near.status, PeerStatus::kRefused);
  cr_assert_eq(near.body,
               "request body of 3000001 bytes is over the limit of 3000000");
  cr_assert_eq(seen, 0);
  cr_assert_eq(Send(client, peer, "a", std::string(1000, 'x')).get().status,
               PeerStatus::kOk);
}

// NOLINTNEXTLINE
Test(peer, oversized_reply_is_an_unknown_outcome_with_its_reason) {
  const auto server = StartServer(
      [](std::string_view, const std::string&, const Respond& respond) {
        respond(std::string(5000, 'x'));
      });
  PeerClientOptions options;
  options.max_body_bytes = 1000;
  Nghttp2PeerClient client(options);
  const PeerReply reply = Send(client, Loopback(server->port()), "a", "").get();
  cr_assert_eq(reply.status, PeerStatus::kUnknown);
  cr_assert_eq(reply.body, "reply is over the limit");
}

// NOLINTNEXTLINE
Test(peer, large_header_is_refused) {
  const auto server = StartServer(Echo);
  Nghttp2PeerClient client({});
  const PeerReply reply =
      Send(client, Loopback(server->port()), std::string(20000, 'm'), "").get();
  cr_assert_eq(reply.status, PeerStatus::kRefused);
  cr_assert_eq(reply.body, "request header is over the limit");
}

// NOLINTNEXTLINE
Test(peer, shutdown_answers_open_requests_and_refuses_new_ones) {
  HeldRequests held;
  const auto server = StartServer(held.handler());
  Nghttp2PeerClient client({});
  const PeerAddress peer = Loopback(server->port());
  auto open = Send(client, peer, "hold", "");
  auto requests = held.WaitFor(1);
  auto stopped = std::async(std::launch::async,
                            [&server] { return server->Shutdown(kPatience); });
  while (Send(client, peer, "hold", "", milliseconds(50)).get().status !=
         PeerStatus::kRefused) {
  }
  requests[0].second("whole answer");
  cr_assert_eq(open.get().body, "whole answer");
  cr_assert(stopped.get());
}

// NOLINTNEXTLINE
Test(peer, client_that_stops_ends_its_open_calls) {
  HeldRequests held;
  const auto server = StartServer(held.handler());
  auto client = std::make_unique<Nghttp2PeerClient>(PeerClientOptions{});
  auto open = Send(*client, Loopback(server->port()), "hold", "");
  held.WaitFor(1);
  client.reset();
  cr_assert_eq(open.get().status, PeerStatus::kUnknown);
}

}  // namespace
}  // namespace mangoport
