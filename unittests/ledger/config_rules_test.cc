#include "mangoport/ledger/config_rules.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace mangoport {
namespace {

wire::ConfigChange PutAccount(const std::string& name,
                              const std::string& template_name) {
  wire::ConfigChange change;
  wire::AccountConfig* account = change.add_puts()->mutable_account();
  account->set_name(name);
  account->set_template_name(template_name);
  return change;
}

ItemMap WithTemplatesAndAccount() {
  wire::ConfigChange change = PutAccount("gallery", "old");
  for (const char* it : {"old", "new"}) {
    wire::TemplateConfig* item = change.add_puts()->mutable_template_item();
    item->set_name(it);
    item->set_weight(1);
  }
  ItemMap items;
  ApplyChange(change, 0, items);
  return items;
}

void AddRemoval(wire::ConfigChange& change,
                wire::ItemKind kind,
                const std::string& name) {
  wire::ItemName* removal = change.add_removals();
  removal->set_kind(kind);
  removal->set_name(name);
}

// NOLINTNEXTLINE
Test(config_rules, template_in_use_cannot_be_removed) {
  wire::ConfigChange change;
  AddRemoval(change, wire::ITEM_KIND_TEMPLATE, "old");
  const std::vector<std::string> problems =
      FindProblems(WithTemplatesAndAccount(), change);
  cr_assert_eq(problems.size(), 1U);
  cr_assert_eq(problems[0],
               "account 'gallery' names template 'old', which does not exist");
}

// NOLINTNEXTLINE
Test(config_rules, template_can_be_removed_if_its_account_is_reassigned) {
  wire::ConfigChange change = PutAccount("gallery", "new");
  AddRemoval(change, wire::ITEM_KIND_TEMPLATE, "old");
  cr_assert(FindProblems(WithTemplatesAndAccount(), change).empty());
}

// NOLINTNEXTLINE
Test(config_rules, removal_of_a_key_is_rejected) {
  ItemMap items = WithTemplatesAndAccount();
  wire::ConfigChange issue;
  issue.add_puts()->mutable_key()->set_id("k");
  issue.mutable_puts(0)->mutable_key()->set_account("gallery");
  ApplyChange(issue, 1, items);
  wire::ConfigChange change;
  AddRemoval(change, wire::ITEM_KIND_KEY, "k");
  cr_assert_eq(FindProblems(items, change).size(), 1U);
}

}  // namespace
}  // namespace mangoport
