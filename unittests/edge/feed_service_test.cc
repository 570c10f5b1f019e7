#include "mangoport/edge/feed_service.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>
#include <asio/io_context.hpp>

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A read of the configuration that the store has not answered.
struct PendingRead {
  FeedPosition from;
  Duration wait;
  CallDone<ConfigNews> done;
};

/// A store that answers reads of the configuration when told, and no other
/// call.
class FakePlatform final : public FleetPlatform {
 public:
  void set_on_answer(std::function<void(const StoreAnswer&)>) override {}
  void ReadConfig(FeedPosition from,
                  Duration wait,
                  CallDone<ConfigNews> done) override {
    reads.push_back({.from = from, .wait = wait, .done = std::move(done)});
  }
  void ReadServers(FeedPosition, CallDone<ServerNews>) override {}
  void AnnounceHost(const HostAddress&, CallDone<bool>) override {}
  void ReadHosts(CallDone<HostNews>) override {}
  void ReadOrderLease(CallDone<OrderLeaseState>) override {}
  void WriteOrderLease(const OrderLeaseRecord&,
                       std::uint64_t,
                       CallDone<std::uint64_t>) override {}
  void SendOrder(const std::string&,
                 const EngineOrder&,
                 CallDone<EngineOrderAnswer>) override {}
  void ReadReport(const std::string&,
                  const ServerId&,
                  CallDone<EngineReport>) override {}

  std::vector<PendingRead> reads;
};

FleetConfig Version(std::uint64_t version) {
  FleetConfig out;
  out.version = version;
  return out;
}

/// A host that reads the configuration from a fake store.
class Reader {
 public:
  Reader()
      : timers_(io_),
        evidence_(seconds(5)),
        feeds_(platform_,
               timers_,
               evidence_,
               log_,
               {.host = HostId("h1"), .address = "127.0.0.1:1"},
               FeedSettings(),
               {.on_config =
                    [this](const FleetConfigPtr& config) {
                      applied_ = config->version();
                    },
                .on_evacuations = [](const auto&, const auto&) {},
                .on_servers = [](const auto&, const auto&) {},
                .on_hosts = [](const auto&) {},
                .on_news = [] {},
                .on_short_read = [] {},
                .on_difference = [] {}}) {
    feeds_.Start();
    Answer(0, 1, /*offset=*/5);
  }

  /// The store answers a read, the first one with its whole state.
  void Answer(std::size_t read, std::uint64_t version, std::uint64_t offset) {
    CallReply<ConfigNews> reply;
    reply.status = CallStatus::kOk;
    reply.value.newest = Version(version);
    reply.value.next = {.timeline = 0, .offset = offset};
    reply.value.whole = !platform_.reads[read].from;
    Take(read)(std::move(reply));
  }

  /// No connection to the store could be made for a read.
  void Fail(std::size_t read) {
    CallReply<ConfigNews> reply;
    reply.status = CallStatus::kRefused;
    reply.error = "not connected";
    Take(read)(std::move(reply));
  }

  /// Another host tells that it has read up to `offset`, where it found news.
  void HearOfNews(std::uint64_t offset) {
    FeedUpdates updates;
    updates.config = FeedUpdate{.position = {.timeline = 0, .offset = offset},
                                .complete_from = offset};
    feeds_.OnPeerUpdates(std::chrono::steady_clock::now(), HostId("h2"),
                         updates);
  }

  /// Runs until there have been `n` reads; false if that takes over a second.
  bool AwaitReads(std::size_t n) {
    const auto end = std::chrono::steady_clock::now() + seconds(1);
    while (platform_.reads.size() < n &&
           std::chrono::steady_clock::now() < end) {
      io_.restart();
      io_.run_for(milliseconds(10));
    }
    return platform_.reads.size() >= n;
  }

  const PendingRead& Read(std::size_t n) const { return platform_.reads[n]; }
  std::uint64_t applied() const { return applied_; }

 private:
  CallDone<ConfigNews> Take(std::size_t read) {
    return std::exchange(platform_.reads[read].done, {});
  }

  asio::io_context io_;
  TimerQueue timers_;
  FakePlatform platform_;
  KeyEvidence evidence_;
  DecisionLog log_;
  std::uint64_t applied_ = 0;
  FeedService feeds_;
};

// NOLINTBEGIN: Criterion's macros
// A host whose read was lost with its connection waited for the end of the
// read, although another host had told it of news: it applied a configuration
// four seconds late.
Test(feed_service, news_of_another_host_replaces_a_read_that_is_held) {
  Reader it;
  cr_assert(it.AwaitReads(2));
  cr_assert_gt(it.Read(1).wait.count(), 0);
  it.HearOfNews(6);
  cr_assert(it.AwaitReads(3), "the host waits for the lost read");
  cr_assert_eq(it.Read(2).wait.count(), 0);
  it.Answer(2, 2, /*offset=*/6);
  cr_assert_eq(it.applied(), 2);
}

// The answer to the read that was given up must not end the one that counts.
Test(feed_service, the_answer_to_a_replaced_read_is_ignored) {
  Reader it;
  cr_assert(it.AwaitReads(2));
  it.HearOfNews(6);
  cr_assert(it.AwaitReads(3));
  it.Fail(1);
  it.Answer(2, 2, /*offset=*/6);
  cr_assert_eq(it.applied(), 2);
}

// Each new connection for a read that is held could fail, while the connection
// for other calls worked.
Test(feed_service, after_a_failure_a_read_uses_the_connection_of_other_calls) {
  Reader it;
  cr_assert(it.AwaitReads(2));
  it.Fail(1);
  cr_assert(it.AwaitReads(3));
  cr_assert_eq(it.Read(2).wait.count(), 0);
  it.Answer(2, 2, /*offset=*/6);
  cr_assert(it.AwaitReads(4));
  cr_assert_gt(it.Read(3).wait.count(), 0);
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
