// Withdrawn keys when the store is restored from a copy that has them.
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "unittests/support/edge_fixture.h"

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The bound for withdrawals in the fixture's settings.
constexpr Duration kWithdrawal = seconds(3);

void Publish(EdgeFixture& it, int version, const std::string& keys) {
  it.store_.Put("keyed.op", "config", Config(version, keys));
}

/// The status of a request with `key`; zero without an answer.
int StatusOf(const EdgeFixture& it, const std::string& key) {
  const auto reply = it.Ask("/read/x", {}, key);
  return reply ? reply->status : 0;
}

bool StatusBecomes(const EdgeFixture& it, const std::string& key, int status) {
  return EdgeFixture::Within(seconds(6),
                             [&] { return StatusOf(it, key) == status; });
}

/// Ends the host and starts it anew.
void Restart(EdgeFixture& it) {
  it.process_.reset();
  const std::vector<std::string> command{MANGOPORT_EDGE_BINARY, "--settings",
                                         it.settings_};
  it.process_ = std::make_unique<Process>(command, it.settings_ + ".log");
}

Test(restored_keys,
     host_that_starts_after_a_restore_does_not_take_a_withdrawn_key,
     .timeout = 60) {
  EdgeFixture it;
  Publish(it, 2, R"("k1","k2")");
  cr_assert(StatusBecomes(it, "k2", 200));
  it.store_.TakeBackup();
  Publish(it, 3, R"("k1")");
  cr_assert(StatusBecomes(it, "k2", 401));
  it.store_.Restore();
  Restart(it);
  // The operator writes the lost version again within two seconds.
  cr_assert_not(EdgeFixture::Within(milliseconds(1500),
                                    [&] { return StatusOf(it, "k2") == 200; }));
  Publish(it, 3, R"("k1")");
  cr_assert(StatusBecomes(it, "k1", 200));
  cr_assert_eq(StatusOf(it, "k2"), 401);
}

Test(restored_keys,
     host_that_starts_after_a_restore_does_not_deny_a_lost_route,
     .timeout = 60) {
  EdgeFixture it;
  it.store_.TakeBackup();
  it.store_.Restore();
  Restart(it);
  // Any route may be a lost one that the operator will write again.
  const auto denied = [&it] {
    const auto reply = it.Ask("/lost/x");
    return reply && reply->status == 404;
  };
  cr_assert_not(EdgeFixture::Within(milliseconds(1500), denied));
  cr_assert(EdgeFixture::Within(seconds(4), denied));
}

Test(restored_keys,
     read_just_after_a_restore_does_not_prove_a_key,
     .timeout = 60) {
  EdgeFixture it;
  it.store_.TakeBackup();
  it.store_.set_down(true);
  std::this_thread::sleep_for(milliseconds(300));
  // The withdrawal is acknowledged and lost before the host has read it.
  Publish(it, 2, R"("k2")");
  const auto withdrawn = std::chrono::steady_clock::now();
  it.store_.Restore();
  it.store_.set_down(false);
  // The host is cut off before the operator writes the version again.
  std::this_thread::sleep_until(withdrawn + milliseconds(1700));
  it.store_.set_down(true);
  std::this_thread::sleep_until(withdrawn + kWithdrawal + milliseconds(100));
  cr_assert_eq(StatusOf(it, "k1"), 503);
  Publish(it, 2, R"("k2")");
  it.store_.set_down(false);
  cr_assert(StatusBecomes(it, "k2", 200));
  cr_assert_eq(StatusOf(it, "k1"), 401);
}

// The keys were refused until a call that the store held had ended, and one
// more.
Test(restored_keys,
     host_that_starts_after_a_restore_takes_keys_without_delay,
     .timeout = 60) {
  constexpr Duration kRewriteTime = seconds(2);
  constexpr Duration kStartAndRead = milliseconds(500);
  EdgeFixture it;
  it.store_.TakeBackup();
  it.store_.Restore();
  Restart(it);
  cr_assert(EdgeFixture::Within(kRewriteTime + kStartAndRead,
                                [&] { return StatusOf(it, "k1") == 200; }));
}

// Each host would leave the readiness check at the same time.
Test(restored_keys, hosts_stay_ready_after_a_restore, .timeout = 60) {
  EdgeFixture it;
  it.store_.TakeBackup();
  it.store_.set_down(true);
  std::this_thread::sleep_for(milliseconds(1200));
  it.store_.Restore();
  it.store_.set_down(false);
  cr_assert_not(EdgeFixture::Within(seconds(4), [&] { return !it.Ready(); }));
}

}  // namespace
}  // namespace mangoport
