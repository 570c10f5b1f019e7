#ifndef MANGOPORT_LEDGER_CONFIG_VIEW_H_
#define MANGOPORT_LEDGER_CONFIG_VIEW_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mangoport/config.pb.h"
#include "mangoport/core/ids.h"

namespace mangoport {

/// What a client account may do: its own parameters over its template's.
struct AccountPolicy {
  AccountId id;
  std::vector<std::string> models;
  std::vector<std::string> adapters;
  std::vector<std::string> routes;
  /// Tokens a second and tokens.
  double rate = 0;
  double burst = 0;
  double weight = 1;

  bool AllowsModel(std::string_view name) const;
  bool AllowsAdapter(std::string_view name) const;
  bool AllowsRoute(std::string_view path) const;
};

/// Names one item: items of different kinds may share a name.
struct ItemKey {
  wire::ItemKind kind = wire::ITEM_KIND_UNSPECIFIED;
  std::string name;

  friend auto operator<=>(const ItemKey&, const ItemKey&) = default;
};

/// The key of an item; its kind is unspecified if the item holds nothing.
ItemKey KeyOf(const wire::ConfigItem& item);

/// "account 'gallery-one'"
std::string ToString(const ItemKey& key);

struct StoredItem {
  wire::ConfigItem item;
  /// The log offset of the change that put it.
  std::uint64_t changed_at = 0;
};

using ItemMap = std::map<ItemKey, StoredItem>;

/// The configuration at one offset. It never changes once it is made, so that
/// a request sees one configuration from its start on.
class ConfigView {
 public:
  ConfigView() = default;
  ConfigView(std::uint64_t next_offset, ItemMap items);

  /// The first offset that is not part of this view.
  std::uint64_t next_offset() const { return next_offset_; }
  const ItemMap& items() const { return items_; }

  const wire::ModelConfig* FindModel(std::string_view name) const;
  const wire::AdapterConfig* FindAdapter(std::string_view name) const;
  const wire::KeyConfig* FindKey(const KeyId& id) const;
  const AccountPolicy* FindAccount(const AccountId& id) const;

  /// The route with the longest path that `path` starts with.
  const wire::RouteConfig* FindRoute(std::string_view path) const;

  const std::vector<const wire::ServerConfig*>& servers() const {
    return servers_;
  }
  const std::vector<const wire::ModelConfig*>& models() const {
    return models_;
  }
  const std::map<AccountId, AccountPolicy>& accounts() const {
    return accounts_;
  }

  ConfigView(const ConfigView&) = delete;
  ConfigView& operator=(const ConfigView&) = delete;

 private:
  const wire::ConfigItem* Find(wire::ItemKind kind,
                               std::string_view name) const;
  void AddPolicy(const wire::AccountConfig& account);

  std::uint64_t next_offset_ = 0;
  ItemMap items_;
  std::vector<const wire::ServerConfig*> servers_;
  std::vector<const wire::ModelConfig*> models_;
  std::vector<const wire::RouteConfig*> routes_;
  std::map<AccountId, AccountPolicy> accounts_;
};

}  // namespace mangoport

#endif  // MANGOPORT_LEDGER_CONFIG_VIEW_H_
