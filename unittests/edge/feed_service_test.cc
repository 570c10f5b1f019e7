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
  explicit Reader(Duration max_key_age = seconds(5))
      : timers_(io_),
        evidence_(max_key_age),
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

  /// The answer to a read ends at `offset`, before the log's end.
  void AnswerShort(std::size_t read,
                   std::uint64_t version,
                   std::uint64_t offset,
                   std::uint64_t log_end) {
    CallReply<ConfigNews> reply;
    reply.status = CallStatus::kOk;
    reply.value.newest = Version(version);
    reply.value.next = {.timeline = 0, .offset = offset};
    reply.value.log_end = log_end;
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

  /// When the read was sent that proves the keys, and the one that shows that
  /// the store is reached.
  BootTime KeysProvenAt() const {
    const BootTime now = BootClock::now();
    return now - *evidence_.Age(now);
  }
  BootTime InContactAt() const {
    const BootTime now = BootClock::now();
    return now - *evidence_.ContactAge(now);
  }
  /// What this host tells the others about the configuration.
  std::optional<FeedUpdate> Told() const {
    return feeds_.OwnUpdates(BootClock::now()).config;
  }

  const PendingRead& Read(std::size_t n) const { return platform_.reads[n]; }
  std::size_t reads() const { return platform_.reads.size(); }
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

// The store had turned a host away for nine seconds. Its first read ended
// before the record that withdrew a key, and the host took its keys for proven:
// it accepted the key up to 1.2 s after the bound.
Test(feed_service, a_read_that_stops_short_of_the_end_proves_no_keys) {
  Reader it;
  cr_assert(it.AwaitReads(2));
  it.Fail(1);
  const BootTime after_failure = BootClock::now();
  cr_assert(it.AwaitReads(3));
  it.AnswerShort(2, 2, /*offset=*/7, /*log_end=*/9);
  cr_assert_eq(it.applied(), 2);
  cr_assert(it.KeysProvenAt() < after_failure, "a short read proves the keys");
  cr_assert(it.InContactAt() < after_failure, "a short read makes it ready");
  cr_assert(it.Told()->proof->sent_at < after_failure,
            "other hosts are told of a proof");
}

// The rest of the log can be many records long. Until they were all read, the
// host would refuse callers whose keys are sound.
Test(feed_service, after_a_short_read_the_present_state_is_read_at_once) {
  Reader it;
  cr_assert(it.AwaitReads(2));
  const BootTime before = BootClock::now();
  it.AnswerShort(1, 2, /*offset=*/7, /*log_end=*/9);
  cr_assert(it.AwaitReads(3));
  cr_assert_not(it.Read(2).from.has_value());
  it.Answer(2, 3, /*offset=*/9);
  cr_assert_eq(it.applied(), 3);
  cr_assert(it.KeysProvenAt() >= before);
  cr_assert(it.AwaitReads(4));
  cr_assert(it.Read(3).from.has_value(), "the host has caught up");
}

// A host that had lost the store for long needed two answers to prove its keys
// if the first one stopped short, and refused callers meanwhile.
Test(feed_service, after_a_long_outage_the_present_state_is_read_first) {
  Reader it(/*max_key_age=*/milliseconds(400));
  cr_assert(it.AwaitReads(2));
  it.Fail(1);
  cr_assert(it.AwaitReads(3));
  cr_assert_not(it.Read(2).from.has_value());
}

// A store whose answers bring nothing, although its log goes on, would be asked
// without a pause.
Test(feed_service, a_short_read_without_a_record_is_not_repeated_at_once) {
  Reader it;
  cr_assert(it.AwaitReads(2));
  it.AnswerShort(1, 1, /*offset=*/5, /*log_end=*/9);
  cr_assert_eq(it.reads(), 2);
  cr_assert(it.AwaitReads(3), "the host stops reading");
}
// NOLINTEND

}  // namespace
}  // namespace mangoport
