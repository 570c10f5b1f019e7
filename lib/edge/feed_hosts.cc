// How a host registers itself and reads the list of hosts.
#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "mangoport/edge/feed_service.h"

namespace mangoport {

void FeedService::Announce() {
  platform_.AnnounceHost(self_, [this](const CallReply<bool>& reply) {
    if (stopped_)
      return;
    if (reply.status != CallStatus::kOk) {
      StepAfter(hosts_, NoteFailure(hosts_, reply.status, reply.error),
                &FeedService::Announce);
      return;
    }
    ReadHosts();
  });
}

void FeedService::ReadHosts() {
  platform_.ReadHosts([this](const CallReply<HostNews>& reply) {
    if (!stopped_)
      OnHosts(reply);
  });
}

void FeedService::OnHosts(const CallReply<HostNews>& reply) {
  if (reply.status != CallStatus::kOk) {
    StepAfter(hosts_, NoteFailure(hosts_, reply.status, reply.error),
              &FeedService::ReadHosts);
    return;
  }
  NoteSuccess(hosts_);
  LogProblems(hosts_, reply.value.problems);
  const std::vector<HostAddress>& hosts = reply.value.hosts;
  hooks_.on_hosts(hosts);
  listed_hosts_ = std::max(listed_hosts_, hosts.size());
  if (!IsListed(hosts)) {
    log_.Write(LogLine("announcement_lost")
                   .Add("listed", hosts.size())
                   .Add("timeline", reply.timeline.value_or(0)));
    StepAfter(hosts_, settings_.longest_backoff, &FeedService::Announce);
    return;
  }
  const bool is_outdated =
      reply.timeline.value_or(0) < hosts_timeline_.value_or(0);
  StepAfter(hosts_, is_outdated ? DrawHostsDelay() : settings_.hosts_interval,
            &FeedService::ReadHosts);
}

bool FeedService::IsListed(const std::vector<HostAddress>& hosts) const {
  return std::any_of(hosts.begin(), hosts.end(), [this](const auto& it) {
    return it.host == self_.host && it.address == self_.address;
  });
}

Duration FeedService::DrawHostsDelay() {
  std::uniform_real_distribution<> draw(0, 1);
  const std::chrono::duration<double> spread(settings_.hosts_spread);
  return std::chrono::duration_cast<Duration>(
      spread * static_cast<double>(listed_hosts_) * draw(random_));
}

void FeedService::CheckAnnouncement(StoreTimeline timeline) {
  if (stopped_ || timeline <= hosts_timeline_)
    return;
  // Before the first timeline, nothing was announced.
  if (std::exchange(hosts_timeline_, timeline))
    StepAfter(hosts_, DrawHostsDelay(), &FeedService::ReadHosts);
}

}  // namespace mangoport
