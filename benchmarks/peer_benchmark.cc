// DEPENDS: peer
// Cost of a call between entry hosts on loopback.
#include <chrono>
#include <cstddef>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <benchmark/benchmark.h>

#include "mangoport/adapters/nghttp2_peer_client.h"
#include "mangoport/adapters/nghttp2_peer_server.h"
#include "unittests/support/tcp_relay.h"

namespace mangoport {
namespace {

std::unique_ptr<Nghttp2PeerServer> StartEcho() {
  auto server = Nghttp2PeerServer::Start(
      {}, [](std::string_view, std::string body,
             const std::function<void(std::string)>& respond) {
        respond(std::move(body));
      });
  return std::move(server.value());
}

/// Makes `n` calls at once and waits for them all; the number that failed.
int CallAtOnce(PeerClient& client, const PeerAddress& peer, int n) {
  std::vector<std::future<PeerReply>> replies;
  for (int i = 0; i < n; ++i) {
    auto reply = std::make_shared<std::promise<PeerReply>>();
    replies.push_back(reply->get_future());
    client.Call(peer, "sync", std::string(100, 'x'), std::chrono::seconds(30),
                [reply](PeerReply it) { reply->set_value(std::move(it)); });
  }
  int failed = 0;
  for (auto& it : replies)
    failed += it.get().status == PeerStatus::kOk ? 0 : 1;
  return failed;
}

/// Calls of 100 bytes each way, by the number open at once.
void BmCalls(benchmark::State& state) {
  const auto server = StartEcho();
  Nghttp2PeerClient client({});
  const PeerAddress peer{"127.0.0.1", server->port()};
  int failed = 0;
  for (auto it : state)
    failed += CallAtOnce(client, peer, static_cast<int>(state.range(0)));
  state.counters["failed"] = failed;
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(BmCalls)->Arg(1)->Arg(16)->Arg(256)->UseRealTime();

/// Bytes on the connection beside the 200 of body, without TCP and IP.
void BmOverheadPerCall(benchmark::State& state) {
  const auto server = StartEcho();
  TcpRelay relay(server->port());
  Nghttp2PeerClient client({});
  const PeerAddress peer{"127.0.0.1", relay.port()};
  CallAtOnce(client, peer, 1);
  const std::uint64_t before = relay.forwarded_bytes();
  for (auto it : state)
    CallAtOnce(client, peer, 1);
  const double per_call =
      static_cast<double>(relay.forwarded_bytes() - before) /
      static_cast<double>(state.iterations());
  state.counters["overhead_bytes"] = per_call - 200;
}
BENCHMARK(BmOverheadPerCall)->UseRealTime();

}  // namespace
}  // namespace mangoport

BENCHMARK_MAIN();
