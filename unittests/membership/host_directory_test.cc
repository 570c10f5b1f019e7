#include "mangoport/membership/host_directory.h"

#include <chrono>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "mangoport/membership/server_notices.h"

namespace mangoport {
namespace {

using std::chrono::seconds;

constexpr MonoTime kStart{std::chrono::hours(1)};

wire::HostUpdate Update(const std::string& host,
                        std::uint64_t incarnation,
                        wire::HostCondition condition) {
  wire::HostUpdate update;
  update.set_host(host);
  update.set_zone("zone-1");
  update.set_address("127.0.0.1:1");
  update.set_incarnation(incarnation);
  update.set_condition(condition);
  return update;
}

HostDirectory MakeDirectory(int peers) {
  HostDirectory directory(Update("self", 1, wire::HOST_CONDITION_LIVE), {});
  for (int i = 0; i < peers; ++i) {
    directory.OnMessageReceived(kStart, Update("peer-" + std::to_string(i), 1,
                                               wire::HOST_CONDITION_LIVE));
  }
  return directory;
}

wire::HostCondition ConditionOf(const HostDirectory& directory,
                                const std::string& host) {
  return directory.Find(HostId(host))->condition;
}

/// Merges an update in which two peers report `host` as suspect.
void ReportSuspect(HostDirectory& directory,
                   MonoTime now,
                   const std::string& host) {
  wire::HostUpdate update = Update(host, 1, wire::HOST_CONDITION_SUSPECT);
  update.add_accusers("peer-8");
  update.add_accusers("peer-9");
  directory.Merge(now, update);
}

// NOLINTNEXTLINE
Test(host_directory, host_is_suspect_only_after_second_failed_probe) {
  HostDirectory directory = MakeDirectory(5);
  directory.OnProbeFailed(kStart, HostId("peer-0"));
  cr_assert_eq(ConditionOf(directory, "peer-0"), wire::HOST_CONDITION_LIVE);
  cr_assert_eq(directory.TakeHostsToProbe().size(), 1U);
  directory.OnProbeFailed(kStart, HostId("peer-0"));
  cr_assert_eq(ConditionOf(directory, "peer-0"), wire::HOST_CONDITION_SUSPECT);
}

// NOLINTNEXTLINE
Test(host_directory, suspect_is_gone_only_after_timeout_and_enough_reporters) {
  HostDirectory directory = MakeDirectory(5);
  directory.OnProbeFailed(kStart, HostId("peer-0"));
  directory.OnProbeFailed(kStart, HostId("peer-0"));
  directory.Tick(kStart + seconds(60));
  cr_assert_eq(ConditionOf(directory, "peer-0"), wire::HOST_CONDITION_SUSPECT);
  ReportSuspect(directory, kStart + seconds(60), "peer-0");
  directory.Tick(kStart + seconds(61));
  cr_assert_eq(ConditionOf(directory, "peer-0"), wire::HOST_CONDITION_GONE);
}

// NOLINTNEXTLINE
Test(host_directory, host_that_reaches_no_peer_reports_no_suspects) {
  HostDirectory directory = MakeDirectory(20);
  for (int round = 0; round < 2; ++round) {
    for (int i = 0; i < 20; ++i)
      directory.OnProbeFailed(kStart, HostId("peer-" + std::to_string(i)));
  }
  cr_assert_not(directory.self_check_passed());
  cr_assert_eq(directory.Live().size(), 20U);
}

// NOLINTNEXTLINE
Test(host_directory, reports_of_peers_remove_at_most_a_third_of_a_zone) {
  HostDirectory directory = MakeDirectory(11);
  for (int i = 0; i < 8; ++i)
    ReportSuspect(directory, kStart, "peer-" + std::to_string(i));
  directory.Tick(kStart + seconds(10));
  std::size_t gone = 0;
  for (const auto& [id, host] : directory.hosts())
    gone += host.condition == wire::HOST_CONDITION_GONE ? 1 : 0;
  cr_assert_eq(gone, 4U);
}

// NOLINTNEXTLINE
Test(host_directory, suspect_refutes_and_is_live_again) {
  HostDirectory suspect(Update("peer-0", 1, wire::HOST_CONDITION_LIVE), {});
  suspect.Merge(kStart, Update("peer-0", 1, wire::HOST_CONDITION_SUSPECT));
  cr_assert_eq(suspect.self().incarnation(), 2U);
  HostDirectory directory = MakeDirectory(5);
  ReportSuspect(directory, kStart, "peer-0");
  directory.OnMessageReceived(kStart, suspect.self());
  cr_assert_eq(ConditionOf(directory, "peer-0"), wire::HOST_CONDITION_LIVE);
}

// NOLINTNEXTLINE
Test(host_directory, old_list_does_not_remove_host_that_was_replaced_later) {
  HostDirectory directory = MakeDirectory(5);
  std::vector<HostListEntry> all;
  for (int i = 0; i < 5; ++i)
    all.push_back({HostId("peer-" + std::to_string(i)), ZoneId("zone-1"),
                   "127.0.0.1:1", false});
  directory.OnList(kStart, seconds(0), all);
  const MonoTime replaced = kStart + seconds(60);
  directory.OnMessageReceived(replaced,
                              Update("peer-0", 2, wire::HOST_CONDITION_LIVE));
  const std::vector<HostListEntry> without(all.begin() + 1, all.end());
  directory.OnList(replaced + seconds(10), seconds(20), without);
  cr_assert_eq(ConditionOf(directory, "peer-0"), wire::HOST_CONDITION_LIVE);
  directory.OnList(replaced + seconds(30), seconds(10), without);
  cr_assert_eq(ConditionOf(directory, "peer-0"), wire::HOST_CONDITION_GONE);
}

// NOLINTNEXTLINE
Test(host_directory, list_that_omits_most_hosts_removes_none) {
  HostDirectory directory = MakeDirectory(0);
  std::vector<HostListEntry> all;
  for (int i = 0; i < 6; ++i)
    all.push_back({HostId("peer-" + std::to_string(i)), ZoneId("zone-1"),
                   "127.0.0.1:1", false});
  directory.OnList(kStart, seconds(0), all);
  directory.OnList(kStart + seconds(60), seconds(0), {});
  cr_assert_eq(directory.Live().size(), 6U);
}

// NOLINTNEXTLINE
Test(server_notices, later_observation_overrides_lagging_list) {
  ServerNotices notices;
  const ServerId server("engine-1");
  notices.OnObserved(kStart, server, wire::SERVER_CONDITION_LEAVING);
  notices.OnList(kStart + seconds(5), seconds(10), {{server, false}});
  cr_assert_eq(notices.ConditionOf(kStart + seconds(5), server),
               wire::SERVER_CONDITION_LEAVING);
  notices.OnList(kStart + seconds(20), seconds(10), {{server, false}});
  cr_assert_eq(notices.ConditionOf(kStart + seconds(20), server),
               wire::SERVER_CONDITION_SERVING);
}

// NOLINTNEXTLINE
Test(server_notices, leaving_server_stays_leaving_when_it_answers) {
  ServerNotices notices;
  const ServerId server("engine-1");
  notices.OnObserved(kStart, server, wire::SERVER_CONDITION_LEAVING);
  notices.OnObserved(kStart + seconds(1), server,
                     wire::SERVER_CONDITION_SERVING);
  cr_assert_eq(notices.ConditionOf(kStart + seconds(1), server),
               wire::SERVER_CONDITION_LEAVING);
}

}  // namespace
}  // namespace mangoport
