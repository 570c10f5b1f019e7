#ifndef MANGOPORT_LEDGER_CONFIG_VIEW_H_
#define MANGOPORT_LEDGER_CONFIG_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mangoport/config.pb.h"
#include "mangoport/core/ids.h"

namespace mangoport {

/// The limits and permissions of a client account: its own settings, or those
/// of its template where it has none. Points into a `ConfigView` and is valid
/// only while that view exists.
class AccountPolicy {
 public:
  AccountPolicy(const wire::AccountConfig* account,
                const wire::TemplateConfig* base);

  AccountId id() const { return AccountId(account_->name()); }

  /// Tokens per second.
  double rate() const;
  /// Tokens.
  double burst() const;
  /// Share of a contended backend server, relative to other client accounts.
  double weight() const;

  bool AllowsModel(std::string_view name) const;
  bool AllowsAdapter(std::string_view name) const;
  bool AllowsRoute(std::string_view path) const;

 private:
  const wire::AccountConfig* account_;
  const wire::TemplateConfig* base_;
};

/// Identifies an item. Items of different kinds may have the same name.
struct ItemKey {
  wire::ItemKind kind = wire::ITEM_KIND_UNSPECIFIED;
  std::string name;

  friend auto operator<=>(const ItemKey&, const ItemKey&) = default;
};

/// Returns the key of an item; its kind is unspecified if the item is empty.
ItemKey KeyOf(const wire::ConfigItem& item);

/// Formats a key for messages, such as "account 'gallery-one'".
std::string ToString(const ItemKey& key);

struct StoredItem {
  wire::ConfigItem item;
  /// The log offset of the change that put it.
  std::uint64_t changed_at = 0;
};

/// Items by kind and name. Successive states share unchanged items, so a new
/// state copies one pointer per item.
using ItemMap = std::map<ItemKey, std::shared_ptr<const StoredItem>>;

/// The configuration at one log offset. It is immutable, so a request uses one
/// consistent configuration throughout.
class ConfigView {
 public:
  ConfigView() = default;
  ConfigView(std::uint64_t next_offset, ItemMap items);

  ConfigView(const ConfigView&) = delete;
  ConfigView& operator=(const ConfigView&) = delete;

  /// The first offset that is not part of this view.
  std::uint64_t next_offset() const { return next_offset_; }
  const ItemMap& items() const { return items_; }

  const wire::ModelConfig* FindModel(std::string_view name) const;
  const wire::AdapterConfig* FindAdapter(std::string_view name) const;
  const wire::KeyConfig* FindKey(const KeyId& id) const;
  std::optional<AccountPolicy> FindAccount(const AccountId& id) const;

  /// Returns the route whose path is the longest prefix of `path`, or nullptr.
  const wire::RouteConfig* FindRoute(std::string_view path) const;

  std::vector<const wire::ServerConfig*> Servers() const;
  std::vector<const wire::ModelConfig*> Models() const;
  std::vector<AccountPolicy> Accounts() const;

 private:
  const wire::ConfigItem* Find(wire::ItemKind kind,
                               std::string_view name) const;
  AccountPolicy PolicyOf(const wire::AccountConfig& account) const;

  std::uint64_t next_offset_ = 0;
  ItemMap items_;
};

}  // namespace mangoport

#endif  // MANGOPORT_LEDGER_CONFIG_VIEW_H_
