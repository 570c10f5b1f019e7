#include "mangoport/ledger/config_view.h"

#include <algorithm>
#include <utility>

#include <google/protobuf/repeated_field.h>

namespace mangoport {
namespace {

using Names = google::protobuf::RepeatedPtrField<std::string>;

constexpr std::string_view kAll = "*";

bool Allows(const std::vector<std::string>& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(), [name](const auto& it) {
    return it == kAll || it == name;
  });
}

std::vector<std::string> FirstNonEmpty(const Names& own, const Names& other) {
  const Names& chosen = own.empty() ? other : own;
  return {chosen.begin(), chosen.end()};
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

}  // namespace

bool AccountPolicy::AllowsModel(std::string_view name) const {
  return Allows(models, name);
}

bool AccountPolicy::AllowsAdapter(std::string_view name) const {
  return Allows(adapters, name);
}

bool AccountPolicy::AllowsRoute(std::string_view path) const {
  return Allows(routes, path);
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
    : next_offset_(next_offset), items_(std::move(items)) {
  for (const auto& [key, stored] : items_) {
    if (key.kind == wire::ITEM_KIND_SERVER)
      servers_.push_back(&stored.item.server());
    if (key.kind == wire::ITEM_KIND_MODEL)
      models_.push_back(&stored.item.model());
    if (key.kind == wire::ITEM_KIND_ROUTE)
      routes_.push_back(&stored.item.route());
    if (key.kind == wire::ITEM_KIND_ACCOUNT)
      AddPolicy(stored.item.account());
  }
}

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

const AccountPolicy* ConfigView::FindAccount(const AccountId& id) const {
  const auto it = accounts_.find(id);
  return it == accounts_.end() ? nullptr : &it->second;
}

const wire::RouteConfig* ConfigView::FindRoute(std::string_view path) const {
  const wire::RouteConfig* best = nullptr;
  for (const wire::RouteConfig* it : routes_) {
    if (!path.starts_with(it->path()))
      continue;
    if (!best || it->path().size() > best->path().size())
      best = it;
  }
  return best;
}

const wire::ConfigItem* ConfigView::Find(wire::ItemKind kind,
                                         std::string_view name) const {
  const auto it = items_.find(ItemKey{kind, std::string(name)});
  return it == items_.end() ? nullptr : &it->second.item;
}

void ConfigView::AddPolicy(const wire::AccountConfig& account) {
  const wire::ConfigItem* found =
      Find(wire::ITEM_KIND_TEMPLATE, account.template_name());
  const wire::TemplateConfig base =
      found ? found->template_item() : wire::TemplateConfig();
  AccountPolicy policy;
  policy.id = AccountId(account.name());
  policy.models = FirstNonEmpty(account.models(), base.models());
  policy.adapters = FirstNonEmpty(account.adapters(), base.adapters());
  policy.routes = FirstNonEmpty(account.routes(), base.routes());
  policy.rate = account.has_rate() ? account.rate() : base.rate();
  policy.burst = account.has_burst() ? account.burst() : base.burst();
  policy.weight = account.has_weight() ? account.weight() : base.weight();
  accounts_.emplace(policy.id, std::move(policy));
}

}  // namespace mangoport
