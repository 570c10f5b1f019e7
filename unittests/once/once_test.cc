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
constexpr Duration kWait = std::chrono::seconds(2);

/// A log without faults and the hosts that read it.
class Fleet {
 public:
  explicit Fleet(int hosts, const OnceSettings& settings = {}) {
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
         MakeBodyFingerprint("POST", "/payouts", body), KeyCreatedAt(key),
         now_ + kWait});
  }

  /// Lets every host append and read, then returns what they do.
  std::vector<OnceAction> Round(AppendStatus told = AppendStatus::kAppended) {
    now_ += std::chrono::milliseconds(300);
    for (OnceExecutor& it : hosts_) {
      const auto batch = it.TakeBatch(now_, kWall);
      if (!batch)
        continue;
      log_.push_back({log_.size(), *batch});
      it.OnAppendResult(now_, told);
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

  void Finish(std::size_t host,
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

/// "dispatch:a" or "done:a:paid", one for each action.
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

void ExpectEq(const std::string& actual, const std::string& expected) {
  cr_assert_eq(actual, expected, "got \"%s\", expected \"%s\"", actual.c_str(),
               expected.c_str());
}

// NOLINTNEXTLINE
Test(once, repeats_together_and_later_get_the_one_run) {
  Fleet fleet(2);
  fleet.Request(0, "a", "k", "100");
  fleet.Request(1, "b", "k", "100");
  ExpectEq(Describe(fleet.Round()), "dispatch:a");
  fleet.Finish(0, "k", DispatchResult::Kind::kDone, "paid");
  ExpectEq(Describe(fleet.Round()), "done:a:paid done:b:paid");
  fleet.Request(1, "c", "k", "100");
  ExpectEq(Describe(fleet.Round()), "done:c:paid");
}

// NOLINTNEXTLINE
Test(once, lost_append_answer_is_found_by_reading) {
  Fleet fleet(1);
  fleet.Request(0, "a", "k", "100");
  ExpectEq(Describe(fleet.Round(AppendStatus::kUnknown)), "dispatch:a");
  ExpectEq(Describe(fleet.Round()), "");
  cr_assert_eq(fleet.entries(), 1U);
}

// NOLINTNEXTLINE
Test(once, unreachable_server_is_not_run_and_frees_the_key) {
  Fleet fleet(2);
  fleet.Request(0, "a", "k", "100");
  fleet.Request(1, "b", "k", "100");
  ExpectEq(Describe(fleet.Round()), "dispatch:a");
  fleet.Finish(0, "k", DispatchResult::Kind::kNotSent);
  ExpectEq(Describe(fleet.Round()), "not_run:a not_dispatched:b");
  fleet.Request(1, "c", "k", "250");
  ExpectEq(Describe(fleet.Round()), "dispatch:c");
}

// NOLINTNEXTLINE
Test(once, lost_answer_is_unknown_for_good) {
  Fleet fleet(2);
  fleet.Request(0, "a", "k", "100");
  fleet.Round();
  fleet.Finish(0, "k", DispatchResult::Kind::kUnknown);
  ExpectEq(Describe(fleet.Round()), "unknown:a");
  fleet.Request(1, "b", "k", "100");
  ExpectEq(Describe(fleet.Round()), "unknown:b");
}

// NOLINTNEXTLINE
Test(once, another_body_is_a_conflict) {
  Fleet fleet(2);
  fleet.Request(0, "a", "k", "100");
  fleet.Round();
  fleet.Request(1, "b", "k", "999");
  ExpectEq(Describe(fleet.Round()), "conflict:b");
}

// NOLINTNEXTLINE
Test(once, dead_holder_leaves_the_claim_in_progress) {
  Fleet fleet(2);
  fleet.Request(0, "a", "k", "100");
  ExpectEq(Describe(fleet.Round()), "dispatch:a");
  fleet.Request(1, "b", "k", "100");
  std::string seen;
  for (int i = 0; i < 10; ++i)
    seen += Describe(fleet.Round());
  ExpectEq(seen, "in_progress:ain_progress:b");
}

// NOLINTNEXTLINE
Test(once, large_response_is_not_recorded) {
  OnceSettings settings;
  settings.max_recorded_body = 3;
  Fleet fleet(2, settings);
  fleet.Request(0, "a", "k", "100");
  fleet.Round();
  fleet.Finish(0, "k", DispatchResult::Kind::kDone, "long");
  fleet.Round();
  fleet.Request(1, "b", "k", "100");
  ExpectEq(Describe(fleet.Round()), "done_without_body:b");
}

// NOLINTNEXTLINE
Test(once, requests_share_an_append) {
  Fleet fleet(1);
  for (int i = 0; i < 100; ++i)
    fleet.Request(0, std::to_string(i), "k" + std::to_string(i), "");
  cr_assert_eq(fleet.Round().size(), 100U);
  cr_assert_eq(fleet.entries(), 1U);
}

// NOLINTNEXTLINE
Test(once, entries_dropped_unread_close_the_stream) {
  OnceExecutor late(WriterId("late"), {});
  late.OnPage(kStart, {true, 7, {}});
  late.OnRequest(kStart, kWall,
                 {RequestId("a"),
                  MakeClaimKey(AccountId("gallery"), "k"),
                  {},
                  std::nullopt,
                  kStart + kWait});
  cr_assert_not(late.TakeBatch(kStart, kWall).has_value());
  late.OnTick(kStart + kWait, kWall);
  ExpectEq(Describe(late.TakeActions()), "not_dispatched:a");
  late.OnPage(
      kStart,
      {true, 7, {{7, EncodeOperatorHorizon(WriterId("operator"), 7, kWall)}}});
  cr_assert(late.fold().complete());
}

// NOLINTNEXTLINE
Test(once, key_with_its_time_is_refused_when_old) {
  const std::string key = "018bcfe5-6800-7000-8000-000000000000";
  cr_assert(KeyCreatedAt(key) == kWall);
  cr_assert_not(KeyCreatedAt("018bcfe5-6800-4000-8000-000000000000"));
  cr_assert_not(KeyCreatedAt("018bcfg5-6800-7000-8000-000000000000"));
  OnceExecutor host(WriterId("host"), {});
  const OnceRequest request{RequestId("a"),
                            MakeClaimKey(AccountId("gallery"), key),
                            {},
                            KeyCreatedAt(key),
                            kStart + kWait};
  host.OnRequest(kStart, kWall + std::chrono::hours(25), request);
  host.OnRequest(kStart, kWall - std::chrono::hours(2), request);
  ExpectEq(Describe(host.TakeActions()), "key_out_of_date:a key_out_of_date:a");
}

// NOLINTNEXTLINE
Test(once, keys_are_checked_and_kept_apart_by_account) {
  cr_assert(IsValidIdempotencyKey("payout 17"));
  cr_assert_not(IsValidIdempotencyKey(""));
  cr_assert_not(IsValidIdempotencyKey("a\nb"));
  cr_assert_not(IsValidIdempotencyKey(std::string(256, 'a')));
  cr_assert(MakeClaimKey(AccountId("a"), "bc") !=
            MakeClaimKey(AccountId("ab"), "c"));
}

}  // namespace
}  // namespace mangoport
