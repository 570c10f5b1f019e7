#include "mangoport/ledger/config_rules.h"

#include <cstdint>
#include <memory>
#include <set>

#include "mangoport/core/mutant.h"

namespace mangoport {
namespace {

using Problems = std::vector<std::string>;

/// The set of items that exist after a change, computed without copying the
/// configuration.
class ResultingItems {
 public:
  ResultingItems(const ItemMap& items, const wire::ConfigChange& change)
      : items_(items) {
    for (const wire::ConfigItem& it : change.puts())
      put_.insert(KeyOf(it));
    for (const wire::ItemName& it : change.removals())
      removed_.insert({it.kind(), it.name()});
  }

  /// Returns whether the change puts the item.
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

/// Reports a problem if `referrer` refers to an item that does not exist.
void RequireItem(const ResultingItems& after,
                 const ItemKey& referrer,
                 const ItemKey& referenced,
                 Problems& problems) {
  if (after.Contains(referenced))
    return;
  problems.push_back(ToString(referrer) + " names " + ToString(referenced) +
                     ", which does not exist");
}

/// Checks that all items that `item` refers to exist.
void CheckReferences(const ResultingItems& after,
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

void CheckLimits(const ItemKey& key,
                 const wire::ConfigItem& item,
                 Problems& problems) {
  if (item.has_template_item()) {
    const wire::TemplateConfig& it = item.template_item();
    if (!(it.rate() >= 0) || !(it.burst() >= 0) || !(it.weight() > 0))
      problems.push_back(ToString(key) +
                         " requires a rate and burst of at least 0 and a "
                         "weight above 0");
  }
  if (item.has_account()) {
    const wire::AccountConfig& it = item.account();
    if ((it.has_rate() && !(it.rate() >= 0)) ||
        (it.has_burst() && !(it.burst() >= 0)) ||
        (it.has_weight() && !(it.weight() > 0)))
      problems.push_back(ToString(key) +
                         " requires a rate and burst of at least 0 and a "
                         "weight above 0");
  }
}

/// Checks that a withdrawn key stays withdrawn and that a key keeps its client
/// account.
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
    problems.push_back(ToString(key) +
                       " is withdrawn and cannot be reinstated");
  if (!item.key().withdrawn() && stored.account() != item.key().account())
    problems.push_back(ToString(key) + " belongs to another client account");
}

/// Returns whether `item` withdraws a key that is already withdrawn. Such an
/// item must have no effect: withdrawals are exempt from conflict detection,
/// and a host that started between two appends of the same withdrawal reads
/// only the second one but must reach the same state as the other hosts.
bool IsAlreadyWithdrawn(const ItemMap& items, const wire::ConfigItem& item) {
  if (!item.has_key() || !item.key().withdrawn())
    return false;
  const auto it = items.find(KeyOf(item));
  return it != items.end() && it->second->item.key().withdrawn() &&
         !MutantEnabled("withdrawal_repeated");
}

StoredItem MakeStoredItem(const wire::ConfigItem& item,
                          std::uint64_t offset,
                          const ItemMap& items) {
  StoredItem stored{item, offset};
  if (!item.has_key() || !item.key().withdrawn())
    return stored;
  // A withdrawal keeps the stored account and digest and ignores those in the
  // change.
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
    CheckLimits(key, it, problems);
    CheckKey(items, key, it, problems);
  }
  for (const wire::ItemName& it : change.removals()) {
    const ItemKey key{it.kind(), it.name()};
    if (!items.contains(key))
      problems.push_back(ToString(key) + " does not exist");
    if (key.kind == wire::ITEM_KIND_KEY)
      problems.push_back(ToString(key) +
                         " cannot be removed; withdraw it instead");
  }
  if (!problems.empty() || OnlyWithdrawsKeys(change))
    return problems;
  const ResultingItems after(items, change);
  for (const wire::ConfigItem& it : change.puts()) {
    if (after.Contains(KeyOf(it)))
      CheckReferences(after, KeyOf(it), it, problems);
  }
  if (change.removals_size() == 0)
    return problems;
  // Only a removal can break the references of unchanged items.
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
    if (!IsAlreadyWithdrawn(items, it))
      items[KeyOf(it)] =
          std::make_shared<const StoredItem>(MakeStoredItem(it, offset, items));
  }
  for (const wire::ItemName& it : change.removals())
    items.erase(ItemKey{it.kind(), it.name()});
}

}  // namespace mangoport
