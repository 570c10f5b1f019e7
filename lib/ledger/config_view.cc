#include "mangoport/ledger/config_view.h"

#include <algorithm>
#include <utility>

#include <google/protobuf/repeated_field.h>

namespace mangoport {
namespace {

using Names = google::protobuf::RepeatedPtrField<std::string>;

/// Allows every name.
constexpr std::string_view kWildcard = "*";

bool MatchesAny(const Names& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(), [name](const auto& it) {
    return it == kWildcard || it == name;
  });
}

/// Returns whether the account's own list allows `name`. Uses the template's
/// list if the account has none.
bool Allows(const Names& own, const Names& base, std::string_view name) {
  return MatchesAny(own.empty() ? base : own, name);
}

std::string_view KindName(wire::ItemKind kind) {
  switch (kind) {
    case wire::ITEM_KIND_MODEL:
      return "model";
    case wire::ITEM_KIND_ADAPTER:
      return "adapter";
    case wire::ITEM_KIND_SERVER:
      return "server";
    case wire::ITEM_KIND_ROUTE:
      return "route";
    case wire::ITEM_KIND_TEMPLATE:
      return "template";
    case wire::ITEM_KIND_ACCOUNT:
      return "account";
    case wire::ITEM_KIND_KEY:
      return "key";
    default:
      return "item";
  }
}

/// Calls `visit` for each item of one kind, ordered by name.
template <typename Visit>
void ForEach(const ItemMap& items, wire::ItemKind kind, Visit visit) {
  for (auto it = items.lower_bound({kind, ""});
       it != items.end() && it->first.kind == kind; ++it)
    visit(it->second->item);
}

}  // namespace

AccountPolicy::AccountPolicy(const wire::AccountConfig* account,
                             const wire::TemplateConfig* base)
    : account_(account), base_(base) {}

double AccountPolicy::rate() const {
  return account_->has_rate() ? account_->rate() : base_->rate();
}

double AccountPolicy::burst() const {
  return account_->has_burst() ? account_->burst() : base_->burst();
}

double AccountPolicy::weight() const {
  return account_->has_weight() ? account_->weight() : base_->weight();
}

bool AccountPolicy::AllowsModel(std::string_view name) const {
  return Allows(account_->models(), base_->models(), name);
}

bool AccountPolicy::AllowsAdapter(std::string_view name) const {
  return Allows(account_->adapters(), base_->adapters(), name);
}

bool AccountPolicy::AllowsRoute(std::string_view path) const {
  return Allows(account_->routes(), base_->routes(), path);
}

ItemKey KeyOf(const wire::ConfigItem& item) {
  switch (item.item_case()) {
    case wire::ConfigItem::kModel:
      return {wire::ITEM_KIND_MODEL, item.model().name()};
    case wire::ConfigItem::kAdapter:
      return {wire::ITEM_KIND_ADAPTER, item.adapter().name()};
    case wire::ConfigItem::kServer:
      return {wire::ITEM_KIND_SERVER, item.server().name()};
    case wire::ConfigItem::kRoute:
      return {wire::ITEM_KIND_ROUTE, item.route().path()};
    case wire::ConfigItem::kTemplateItem:
      return {wire::ITEM_KIND_TEMPLATE, item.template_item().name()};
    case wire::ConfigItem::kAccount:
      return {wire::ITEM_KIND_ACCOUNT, item.account().name()};
    case wire::ConfigItem::kKey:
      return {wire::ITEM_KIND_KEY, item.key().id()};
    case wire::ConfigItem::ITEM_NOT_SET:
      break;
  }
  return {};
}

std::string ToString(const ItemKey& key) {
  return std::string(KindName(key.kind)) + " '" + key.name + "'";
}

ConfigView::ConfigView(std::uint64_t next_offset, ItemMap items)
    : next_offset_(next_offset), items_(std::move(items)) {}

const wire::ModelConfig* ConfigView::FindModel(std::string_view name) const {
  const wire::ConfigItem* item = Find(wire::ITEM_KIND_MODEL, name);
  return item ? &item->model() : nullptr;
}

const wire::AdapterConfig* ConfigView::FindAdapter(
    std::string_view name) const {
  const wire::ConfigItem* item = Find(wire::ITEM_KIND_ADAPTER, name);
  return item ? &item->adapter() : nullptr;
}

const wire::KeyConfig* ConfigView::FindKey(const KeyId& id) const {
  const wire::ConfigItem* item = Find(wire::ITEM_KIND_KEY, id.value());
  return item ? &item->key() : nullptr;
}

std::optional<AccountPolicy> ConfigView::FindAccount(
    const AccountId& id) const {
  const wire::ConfigItem* item = Find(wire::ITEM_KIND_ACCOUNT, id.value());
  if (!item)
    return std::nullopt;
  return PolicyOf(item->account());
}

const wire::RouteConfig* ConfigView::FindRoute(std::string_view path) const {
  const wire::RouteConfig* best = nullptr;
  ForEach(items_, wire::ITEM_KIND_ROUTE, [&](const wire::ConfigItem& it) {
    if (!path.starts_with(it.route().path()))
      return;
    if (!best || it.route().path().size() > best->path().size())
      best = &it.route();
  });
  return best;
}

std::vector<const wire::ServerConfig*> ConfigView::Servers() const {
  std::vector<const wire::ServerConfig*> servers;
  ForEach(items_, wire::ITEM_KIND_SERVER,
          [&](const wire::ConfigItem& it) { servers.push_back(&it.server()); });
  return servers;
}

std::vector<const wire::ModelConfig*> ConfigView::Models() const {
  std::vector<const wire::ModelConfig*> models;
  ForEach(items_, wire::ITEM_KIND_MODEL,
          [&](const wire::ConfigItem& it) { models.push_back(&it.model()); });
  return models;
}

std::vector<AccountPolicy> ConfigView::Accounts() const {
  std::vector<AccountPolicy> accounts;
  ForEach(items_, wire::ITEM_KIND_ACCOUNT, [&](const wire::ConfigItem& it) {
    accounts.push_back(PolicyOf(it.account()));
  });
  return accounts;
}

const wire::ConfigItem* ConfigView::Find(wire::ItemKind kind,
                                         std::string_view name) const {
  const auto it = items_.find(ItemKey{kind, std::string(name)});
  return it == items_.end() ? nullptr : &it->second->item;
}

AccountPolicy ConfigView::PolicyOf(const wire::AccountConfig& account) const {
  static const wire::TemplateConfig kEmptyTemplate;
  const wire::ConfigItem* base =
      Find(wire::ITEM_KIND_TEMPLATE, account.template_name());
  return {&account, base ? &base->template_item() : &kEmptyTemplate};
}

}  // namespace mangoport
