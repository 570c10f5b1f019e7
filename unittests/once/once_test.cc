#include <chrono>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <criterion/criterion.h>

#include "mangoport/once/once_executor.h"

namespace mangoport {
namespace {

constexpr MonoTime kStart{std::chrono::hours(1)};
constexpr WallTime kWall{std::chrono::seconds(1'700'000'000)};
constexpr Duration kRequestTimeout = std::chrono::seconds(2);

/// Hosts that share a log without faults.
class TestCluster {
 public:
  explicit TestCluster(int hosts, const OnceSettings& settings = {}) {
    for (int i = 0; i < hosts; ++i) {
      hosts_.emplace_back(WriterId("host-" + std::to_string(i)), settings);
      hosts_.back().OnPage(kStart, {true, 0, {}});
    }
  }

  OnceExecutor& host(std::size_t i) { return hosts_[i]; }
  std::size_t entries() const { return log_.size(); }

  void Request(std::size_t host,
               const std::string& id,
               const std::string& key,
               const std::string& body) {
    hosts_[host].OnRequest(
        now_, kWall,
        {RequestId(id), MakeClaimKey(AccountId("gallery"), key),
         MakeRequestFingerprint("POST", "/payouts", body), KeyCreatedAt(key),
         now_ + kRequestTimeout});
  }

  /// Advances the time, lets every host append and then read the log, and
  /// returns the actions of all hosts. Appends always succeed; `append_status`
  /// is the result that is reported to the hosts.
  std::vector<OnceAction> RunRound(
      AppendStatus append_status = AppendStatus::kAppended) {
    now_ += std::chrono::milliseconds(300);
    for (OnceExecutor& it : hosts_) {
      const auto batch = it.TakeBatch(now_, kWall);
      if (!batch)
        continue;
      log_.push_back({log_.size(), *batch});
      it.OnAppendResult(now_, append_status);
    }
    std::vector<OnceAction> actions;
    for (OnceExecutor& it : hosts_) {
      LogPage page{true, 0, {}};
      page.entries.assign(
          log_.begin() + static_cast<std::ptrdiff_t>(it.next_offset()),
          log_.end());
      it.OnPage(now_, page);
      it.OnTick(now_, kWall);
      for (OnceAction& action : it.TakeActions())
        actions.push_back(std::move(action));
    }
    return actions;
  }

  /// Reports the result of the dispatch of `key` to a host.
  void FinishDispatch(std::size_t host,
                      const std::string& key,
                      DispatchResult::Kind kind,
                      const std::string& body = "") {
    hosts_[host].OnDispatchResult(now_, MakeClaimKey(AccountId("gallery"), key),
                                  {kind, {200, "text/plain", body, true}});
  }

 private:
  MonoTime now_ = kStart;
  std::vector<OnceExecutor> hosts_;
  std::vector<LogEntry> log_;
};

/// Formats each action as "dispatch:a" or "done:a:paid", separated by spaces.
std::string Describe(const std::vector<OnceAction>& actions) {
  std::string text;
  for (const OnceAction& it : actions) {
    if (!text.empty())
      text += " ";
    if (const auto* dispatch = std::get_if<DispatchAction>(&it)) {
      text += "dispatch:" + dispatch->request.value();
      continue;
    }
    const auto& answer = std::get<OnceAnswer>(it);
    text +=
        std::string(OnceAnswerName(answer.kind)) + ":" + answer.request.value();
    if (answer.response)
      text += ":" + answer.response->body;
  }
  return text;
}

void ExpectEqual(const std::string& actual, const std::string& expected) {
  cr_assert_eq(actual, expected, "got \"%s\", expected \"%s\"", actual.c_str(),
               expected.c_str());
}

// NOLINTNEXTLINE
Test(once, concurrent_and_later_repeats_get_the_response_of_one_run) {
  TestCluster cluster(2);
  cluster.Request(0, "a", "k", "100");
  cluster.Request(1, "b", "k", "100");
  ExpectEqual(Describe(cluster.RunRound()), "dispatch:a");
  cluster.FinishDispatch(0, "k", DispatchResult::Kind::kDone, "paid");
  ExpectEqual(Describe(cluster.RunRound()), "done:a:paid done:b:paid");
  cluster.Request(1, "c", "k", "100");
  ExpectEqual(Describe(cluster.RunRound()), "done:c:paid");
}

// NOLINTNEXTLINE
Test(once, claim_with_unknown_append_result_is_read_back_from_log) {
  TestCluster cluster(1);
  cluster.Request(0, "a", "k", "100");
  ExpectEqual(Describe(cluster.RunRound(AppendStatus::kUnknown)), "dispatch:a");
  ExpectEqual(Describe(cluster.RunRound()), "");
  cr_assert_eq(cluster.entries(), 1U);
}

// NOLINTNEXTLINE
Test(once, unsent_request_is_not_run_and_releases_the_key) {
  TestCluster cluster(2);
  cluster.Request(0, "a", "k", "100");
  cluster.Request(1, "b", "k", "100");
  ExpectEqual(Describe(cluster.RunRound()), "dispatch:a");
  cluster.FinishDispatch(0, "k", DispatchResult::Kind::kNotSent);
  ExpectEqual(Describe(cluster.RunRound()), "not_run:a not_dispatched:b");
  cluster.Request(1, "c", "k", "250");
  ExpectEqual(Describe(cluster.RunRound()), "dispatch:c");
}

// NOLINTNEXTLINE
Test(once, lost_response_stays_unknown) {
  TestCluster cluster(2);
  cluster.Request(0, "a", "k", "100");
  cluster.RunRound();
  cluster.FinishDispatch(0, "k", DispatchResult::Kind::kUnknown);
  ExpectEqual(Describe(cluster.RunRound()), "unknown:a");
  cluster.Request(1, "b", "k", "100");
  ExpectEqual(Describe(cluster.RunRound()), "unknown:b");
}

// NOLINTNEXTLINE
Test(once, reused_key_with_another_body_is_a_conflict) {
  TestCluster cluster(2);
  cluster.Request(0, "a", "k", "100");
  cluster.RunRound();
  cluster.Request(1, "b", "k", "999");
  ExpectEqual(Describe(cluster.RunRound()), "conflict:b");
}

// NOLINTNEXTLINE
Test(once, claim_without_outcome_stays_in_progress) {
  TestCluster cluster(2);
  cluster.Request(0, "a", "k", "100");
  ExpectEqual(Describe(cluster.RunRound()), "dispatch:a");
  cluster.Request(1, "b", "k", "100");
  std::string seen;
  for (int i = 0; i < 10; ++i)
    seen += Describe(cluster.RunRound());
  ExpectEqual(seen, "in_progress:ain_progress:b");
}

// NOLINTNEXTLINE
Test(once, large_response_is_not_recorded) {
  OnceSettings settings;
  settings.max_recorded_body = 3;
  TestCluster cluster(2, settings);
  cluster.Request(0, "a", "k", "100");
  cluster.RunRound();
  cluster.FinishDispatch(0, "k", DispatchResult::Kind::kDone, "long");
  cluster.RunRound();
  cluster.Request(1, "b", "k", "100");
  ExpectEqual(Describe(cluster.RunRound()), "done_without_body:b");
}

// NOLINTNEXTLINE
Test(once, concurrent_claims_share_one_append) {
  TestCluster cluster(1);
  for (int i = 0; i < 100; ++i)
    cluster.Request(0, std::to_string(i), "k" + std::to_string(i), "");
  cr_assert_eq(cluster.RunRound().size(), 100U);
  cr_assert_eq(cluster.entries(), 1U);
}

// NOLINTNEXTLINE
Test(once, unread_dropped_entries_block_claims_until_operator_horizon) {
  OnceExecutor late_host(WriterId("late"), {});
  late_host.OnPage(kStart, {true, 7, {}});
  late_host.OnRequest(kStart, kWall,
                      {RequestId("a"),
                       MakeClaimKey(AccountId("gallery"), "k"),
                       {},
                       std::nullopt,
                       kStart + kRequestTimeout});
  cr_assert_not(late_host.TakeBatch(kStart, kWall).has_value());
  late_host.OnTick(kStart + kRequestTimeout, kWall);
  ExpectEqual(Describe(late_host.TakeActions()), "not_dispatched:a");
  late_host.OnPage(
      kStart,
      {true, 7, {{7, EncodeOperatorHorizon(WriterId("operator"), 7, kWall)}}});
  cr_assert(late_host.fold().complete());
}

// NOLINTNEXTLINE
Test(once, key_with_old_or_future_time_is_rejected) {
  const std::string key = "018bcfe5-6800-7000-8000-000000000000";
  cr_assert(KeyCreatedAt(key) == kWall);
  cr_assert_not(KeyCreatedAt("018bcfe5-6800-4000-8000-000000000000"));
  cr_assert_not(KeyCreatedAt("018bcfg5-6800-7000-8000-000000000000"));
  OnceExecutor host(WriterId("host"), {});
  const OnceRequest request{RequestId("a"),
                            MakeClaimKey(AccountId("gallery"), key),
                            {},
                            KeyCreatedAt(key),
                            kStart + kRequestTimeout};
  host.OnRequest(kStart, kWall + std::chrono::hours(25), request);
  host.OnRequest(kStart, kWall - std::chrono::hours(2), request);
  ExpectEqual(Describe(host.TakeActions()),
              "key_out_of_date:a key_out_of_date:a");
}

// NOLINTNEXTLINE
Test(once, keys_are_validated_and_separate_per_account) {
  cr_assert(IsValidIdempotencyKey("payout 17"));
  cr_assert_not(IsValidIdempotencyKey(""));
  cr_assert_not(IsValidIdempotencyKey("a\nb"));
  cr_assert_not(IsValidIdempotencyKey(std::string(256, 'a')));
  cr_assert(MakeClaimKey(AccountId("a"), "bc") !=
            MakeClaimKey(AccountId("ab"), "c"));
}

}  // namespace
}  // namespace mangoport
