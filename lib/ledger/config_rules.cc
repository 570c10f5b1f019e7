#include "mangoport/ledger/config_rules.h"

#include <cstdint>
#include <memory>
#include <set>

#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

using Problems = std::vector<std::string>;

/// A configuration as it would be after a change, without copying it.
class Prospect {
 public:
  Prospect(const ItemMap& items, const wire::ConfigChange& change)
      : items_(items) {
    for (const wire::ConfigItem& it : change.puts())
      put_.insert(KeyOf(it));
    for (const wire::ItemName& it : change.removals())
      removed_.insert({it.kind(), it.name()});
  }

  /// Whether the change itself says what the item will be.
  bool IsPut(const ItemKey& key) const { return put_.contains(key); }

  bool Contains(const ItemKey& key) const {
    return !removed_.contains(key) &&
           (put_.contains(key) || items_.contains(key));
  }

 private:
  const ItemMap& items_;
  std::set<ItemKey> put_;
  std::set<ItemKey> removed_;
};

void RequireItem(const Prospect& after,
                 const ItemKey& user,
                 const ItemKey& needed,
                 Problems& problems) {
  if (after.Contains(needed))
    return;
  problems.push_back(ToString(user) + " names " + ToString(needed) +
                     ", which does not exist");
}

/// Checks that everything an item refers to is there.
void CheckReferences(const Prospect& after,
                     const ItemKey& key,
                     const wire::ConfigItem& item,
                     Problems& problems) {
  if (item.has_account()) {
    RequireItem(after, key,
                {wire::ITEM_KIND_TEMPLATE, item.account().template_name()},
                problems);
  }
  if (item.has_adapter()) {
    RequireItem(after, key, {wire::ITEM_KIND_MODEL, item.adapter().model()},
                problems);
  }
  if (item.has_key() && !item.key().withdrawn()) {
    RequireItem(after, key, {wire::ITEM_KIND_ACCOUNT, item.key().account()},
                problems);
  }
  if (item.has_server()) {
    for (const std::string& it : item.server().models())
      RequireItem(after, key, {wire::ITEM_KIND_MODEL, it}, problems);
  }
}

void CheckAmounts(const ItemKey& key,
                  const wire::ConfigItem& item,
                  Problems& problems) {
  if (item.has_template_item()) {
    const wire::TemplateConfig& it = item.template_item();
    if (!(it.rate() >= 0) || !(it.burst() >= 0) || !(it.weight() > 0))
      problems.push_back(ToString(key) +
                         " needs rate and burst of at least 0 and a weight "
                         "above 0");
  }
  if (item.has_account()) {
    const wire::AccountConfig& it = item.account();
    if ((it.has_rate() && !(it.rate() >= 0)) ||
        (it.has_burst() && !(it.burst() >= 0)) ||
        (it.has_weight() && !(it.weight() > 0)))
      problems.push_back(ToString(key) +
                         " needs rate and burst of at least 0 and a weight "
                         "above 0");
  }
}

/// A withdrawn key never works again, and a key never changes its account.
void CheckKey(const ItemMap& items,
              const ItemKey& key,
              const wire::ConfigItem& item,
              Problems& problems) {
  const auto it = items.find(key);
  if (it == items.end() || !item.has_key())
    return;
  const wire::KeyConfig& stored = it->second->item.key();
  if (stored.withdrawn() && !item.key().withdrawn() &&
      !MutantEnabled("withdrawn_key_returns"))
    problems.push_back(ToString(key) + " is withdrawn and cannot return");
  if (!item.key().withdrawn() && stored.account() != item.key().account())
    problems.push_back(ToString(key) + " belongs to another client account");
}

/// A withdrawal can't lose a race, so one that was appended again must change
/// nothing: a host that started between the two copies has seen only one.
bool RepeatsWithdrawal(const ItemMap& items, const wire::ConfigItem& item) {
  if (!item.has_key() || !item.key().withdrawn())
    return false;
  const auto it = items.find(KeyOf(item));
  return it != items.end() && it->second->item.key().withdrawn() &&
         !MutantEnabled("withdrawal_repeated");
}

StoredItem Stored(const wire::ConfigItem& item,
                  std::uint64_t offset,
                  const ItemMap& items) {
  StoredItem stored{item, offset};
  if (!item.has_key() || !item.key().withdrawn())
    return stored;
  // A withdrawal keeps account and digest, whatever its author sent along.
  const auto it = items.find(KeyOf(item));
  if (it == items.end())
    return stored;
  wire::KeyConfig* key = stored.item.mutable_key();
  key->set_account(it->second->item.key().account());
  key->set_salt(it->second->item.key().salt());
  key->set_digest(it->second->item.key().digest());
  return stored;
}

}  // namespace

std::vector<ItemKey> TouchedItems(const wire::ConfigChange& change) {
  std::vector<ItemKey> keys;
  for (const wire::ConfigItem& it : change.puts())
    keys.push_back(KeyOf(it));
  for (const wire::ItemName& it : change.removals())
    keys.push_back({it.kind(), it.name()});
  return keys;
}

bool OnlyWithdrawsKeys(const wire::ConfigChange& change) {
  if (change.removals_size() != 0 || change.puts_size() == 0)
    return false;
  for (const wire::ConfigItem& it : change.puts()) {
    if (!it.has_key() || !it.key().withdrawn())
      return false;
  }
  return true;
}

std::vector<std::string> FindProblems(const ItemMap& items,
                                      const wire::ConfigChange& change) {
  Problems problems;
  for (const wire::ConfigItem& it : change.puts()) {
    const ItemKey key = KeyOf(it);
    if (key.kind == wire::ITEM_KIND_UNSPECIFIED || key.name.empty()) {
      problems.push_back("an item has no kind or no name");
      continue;
    }
    CheckAmounts(key, it, problems);
    CheckKey(items, key, it, problems);
  }
  for (const wire::ItemName& it : change.removals()) {
    const ItemKey key{it.kind(), it.name()};
    if (!items.contains(key))
      problems.push_back(ToString(key) + " does not exist");
    if (key.kind == wire::ITEM_KIND_KEY)
      problems.push_back(ToString(key) + " can be withdrawn, not removed");
  }
  if (!problems.empty() || OnlyWithdrawsKeys(change))
    return problems;
  const Prospect after(items, change);
  for (const wire::ConfigItem& it : change.puts()) {
    if (after.Contains(KeyOf(it)))
      CheckReferences(after, KeyOf(it), it, problems);
  }
  if (change.removals_size() == 0)
    return problems;
  // Only a removal can break what an untouched item refers to.
  for (const auto& [key, stored] : items) {
    if (after.Contains(key) && !after.IsPut(key))
      CheckReferences(after, key, stored->item, problems);
  }
  return problems;
}

void ApplyChange(const wire::ConfigChange& change,
                 std::uint64_t offset,
                 ItemMap& items) {
  for (const wire::ConfigItem& it : change.puts()) {
    if (!RepeatsWithdrawal(items, it))
      items[KeyOf(it)] =
          std::make_shared<const StoredItem>(Stored(it, offset, items));
  }
  for (const wire::ItemName& it : change.removals())
    items.erase(ItemKey{it.kind(), it.name()});
}

}  // namespace mangoport
