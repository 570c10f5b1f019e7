#include "mangoport/fleet/fleet_config.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace mangoport {
namespace {

constexpr char kAdapterPrefix = 'a';

std::string NormalizeHost(std::string_view host) {
  std::string out(host.substr(0, host.find(':')));
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a')
                                : static_cast<char>(c);
  });
  return out;
}

}  // namespace

FleetConfigView::FleetConfigView(FleetConfig config)
    : config_(std::move(config)) {
  for (const RouteSpec& it : config_.routes)
    hosts_[NormalizeHost(it.host)].routes.push_back(&it);
  for (auto& [host, entry] : hosts_) {
    std::stable_sort(entry.routes.begin(), entry.routes.end(),
                     [](const RouteSpec* a, const RouteSpec* b) {
                       return a->path_prefix.size() > b->path_prefix.size();
                     });
  }
  for (const AccountSpec& it : config_.accounts) {
    accounts_.emplace(it.id, &it);
    for (const std::string& key : it.keys)
      accounts_by_key_.emplace(key, &it);
  }
  for (const ServiceSpec& it : config_.services)
    services_.emplace(it.id, &it);
}

AdapterId NumberedAdapter(std::uint32_t number) {
  return AdapterId(kAdapterPrefix + std::to_string(number));
}

bool ModelSpec::HasAdapter(std::string_view name) const {
  if (name.empty() || name.front() != kAdapterPrefix)
    return false;
  std::uint32_t number = 0;
  const std::string_view digits = name.substr(1);
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), number);
  return parsed.ec == std::errc() && number >= 1 && number <= adapter_count &&
         NumberedAdapter(number).value() == name;
}

const RouteSpec* FleetConfigView::FindRoute(std::string_view host,
                                            std::string_view path) const {
  const auto entry = hosts_.find(NormalizeHost(host));
  if (entry == hosts_.end())
    return nullptr;
  for (const RouteSpec* it : entry->second.routes) {
    if (path.starts_with(it->path_prefix))
      return it;
  }
  return nullptr;
}

const AccountSpec* FleetConfigView::FindAccountByKey(
    const std::string& key) const {
  const auto it = accounts_by_key_.find(key);
  return it == accounts_by_key_.end() ? nullptr : it->second;
}

const AccountSpec* FleetConfigView::FindAccount(const AccountId& id) const {
  const auto it = accounts_.find(id);
  return it == accounts_.end() ? nullptr : it->second;
}

const ServiceSpec* FleetConfigView::FindService(const ServiceId& id) const {
  const auto it = services_.find(id);
  return it == services_.end() ? nullptr : it->second;
}

}  // namespace mangoport
