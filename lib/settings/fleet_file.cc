#include "mangoport/settings/fleet_file.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <vector>

#include "mangoport/settings/host_settings.h"
#include "toml_table.h"

namespace mangoport {
namespace {

constexpr std::uint64_t kMaxSizeMb = std::uint64_t{16} * 1024 * 1024;

template <typename Repeated>
void Append(const std::vector<std::string>& values, Repeated* field) {
  for (const std::string& it : values)
    *field->Add() = it;
}

double ReadAmount(TomlTable& table, std::string_view key, double fallback) {
  return table.Number(key).value_or(fallback);
}

void CheckAmount(TomlTable& table,
                 std::string_view key,
                 double value,
                 bool may_be_zero) {
  if (value > 0 || (may_be_zero && value == 0))
    return;
  table.Report(key, "'" + std::string(key) + "' must be " +
                        (may_be_zero ? "0 or more" : "above 0"));
}

void ReadModel(TomlTable& table, wire::ModelConfig* model) {
  model->set_name(table.RequiredString("name"));
  model->set_version(table.String("version", "1"));
  model->set_size_mb(table.Unsigned("size_mb", 1, 1, kMaxSizeMb));
}

void ReadAdapter(TomlTable& table, wire::AdapterConfig* adapter) {
  adapter->set_name(table.RequiredString("name"));
  adapter->set_model(table.RequiredString("model"));
  adapter->set_size_mb(table.Unsigned("size_mb", 1, 1, kMaxSizeMb));
}

void ReadServer(TomlTable& table, wire::ServerConfig* server) {
  server->set_name(table.RequiredString("name"));
  server->set_zone(table.RequiredString("availability_zone"));
  Endpoint endpoint;
  const std::string address = table.RequiredString("address");
  if (!address.empty() && !ParseEndpoint(address, endpoint))
    table.Report("address", "'address' must be an IP number and a port");
  server->set_ip(endpoint.ip);
  server->set_port(endpoint.port);
  const std::string kind = table.String("kind", "engine");
  if (kind != "engine" && kind != "plain") {
    table.Report("kind", "'kind' must be engine or plain",
                 NearestName(kind, {"engine", "plain"}));
  }
  server->set_kind(kind == "plain" ? wire::SERVER_KIND_PLAIN
                                   : wire::SERVER_KIND_ENGINE);
  server->set_memory_mb(table.Unsigned("memory_mb", 0, 0, kMaxSizeMb));
  server->set_honours_fencing(table.Bool("honours_fencing", false));
  Append(table.Strings("models"), server->mutable_models());
  server->set_service(table.String("service"));
  if (kind == "plain" && server->service().empty())
    table.Report("service", "a plain server needs the name of its service");
}

void ReadRoute(TomlTable& table, wire::RouteConfig* route) {
  route->set_path(table.RequiredString("path"));
  if (!route->path().empty() && route->path().front() != '/')
    table.Report("path", "'path' must start with /");
  if (route->path().starts_with("/v1/"))
    table.Report("path", "paths under /v1/ are the system's own");
  route->set_service(table.RequiredString("service"));
  route->set_open(table.Bool("open", false));
  route->set_idempotent(table.Bool("idempotent", false));
}

void ReadTemplate(TomlTable& table, wire::TemplateConfig* item) {
  item->set_name(table.RequiredString("name"));
  Append(table.Strings("models"), item->mutable_models());
  Append(table.Strings("adapters"), item->mutable_adapters());
  Append(table.Strings("routes"), item->mutable_routes());
  item->set_rate(ReadAmount(table, "rate", 0));
  item->set_burst(ReadAmount(table, "burst", 0));
  item->set_weight(ReadAmount(table, "weight", 1));
  CheckAmount(table, "rate", item->rate(), true);
  CheckAmount(table, "burst", item->burst(), true);
  CheckAmount(table, "weight", item->weight(), false);
}

void ReadAccount(TomlTable& table, wire::AccountConfig* account) {
  account->set_name(table.RequiredString("name"));
  account->set_template_name(table.RequiredString("template"));
  if (const std::optional<double> it = table.Number("rate")) {
    account->set_rate(*it);
    CheckAmount(table, "rate", *it, true);
  }
  if (const std::optional<double> it = table.Number("burst")) {
    account->set_burst(*it);
    CheckAmount(table, "burst", *it, true);
  }
  if (const std::optional<double> it = table.Number("weight")) {
    account->set_weight(*it);
    CheckAmount(table, "weight", *it, false);
  }
  Append(table.Strings("models"), account->mutable_models());
  Append(table.Strings("adapters"), account->mutable_adapters());
  Append(table.Strings("routes"), account->mutable_routes());
}

void ReadRemoval(TomlTable& table, wire::ItemName* removal) {
  struct Kind {
    std::string name;
    wire::ItemKind kind;
  };
  static const std::vector<Kind> kKinds = {
      {"model", wire::ITEM_KIND_MODEL},
      {"adapter", wire::ITEM_KIND_ADAPTER},
      {"server", wire::ITEM_KIND_SERVER},
      {"route", wire::ITEM_KIND_ROUTE},
      {"template", wire::ITEM_KIND_TEMPLATE},
      {"account", wire::ITEM_KIND_ACCOUNT}};
  const std::string kind = table.RequiredString("kind");
  removal->set_name(table.RequiredString("name"));
  std::vector<std::string> names;
  for (const Kind& it : kKinds) {
    names.push_back(it.name);
    if (it.name == kind)
      removal->set_kind(it.kind);
  }
  if (removal->kind() == wire::ITEM_KIND_UNSPECIFIED && !kind.empty())
    table.Report("kind", "items of kind '" + kind + "' can't be removed",
                 NearestName(kind, names));
}

/// Reads each table of the array `key` with `read` and reports names that
/// stand twice.
template <typename Add, typename Read>
void ReadAll(TomlTable& root,
             std::string_view key,
             std::string_view name_key,
             Add add,
             Read read) {
  std::set<std::string> names;
  for (TomlTable& it : root.Tables(key)) {
    read(it, add());
    it.Finish();
    const std::string name = it.String(name_key);
    if (!name.empty() && !names.insert(name).second)
      it.Report(name_key,
                "a second " + std::string(key) + " named '" + name + "'");
  }
}

}  // namespace

wire::ConfigChange ParseFleetFile(std::string_view text,
                                  const std::string& file,
                                  Findings& findings) {
  wire::ConfigChange change;
  TomlTable root = TomlTable::Parse(text, file, findings);
  if (!findings.empty())
    return change;
  change.set_note(root.String("note"));
  const auto put = [&change] { return change.add_puts(); };
  ReadAll(
      root, "model", "name", [&] { return put()->mutable_model(); }, ReadModel);
  ReadAll(
      root, "adapter", "name", [&] { return put()->mutable_adapter(); },
      ReadAdapter);
  ReadAll(
      root, "server", "name", [&] { return put()->mutable_server(); },
      ReadServer);
  ReadAll(
      root, "route", "path", [&] { return put()->mutable_route(); }, ReadRoute);
  ReadAll(
      root, "template", "name", [&] { return put()->mutable_template_item(); },
      ReadTemplate);
  ReadAll(
      root, "account", "name", [&] { return put()->mutable_account(); },
      ReadAccount);
  for (TomlTable& it : root.Tables("remove")) {
    ReadRemoval(it, change.add_removals());
    it.Finish();
  }
  root.Finish();
  SortFindings(findings);
  return change;
}

}  // namespace mangoport
