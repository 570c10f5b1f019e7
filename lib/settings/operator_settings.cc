#include "mangoport/settings/operator_settings.h"

#include "toml_table.h"

namespace mangoport {

OperatorSettings ParseOperatorSettings(std::string_view text,
                                       const std::string& file,
                                       Findings& findings) {
  OperatorSettings settings;
  TomlTable table = TomlTable::Parse(text, file, findings);
  if (!findings.empty())
    return settings;
  settings.name = table.RequiredString("operator");
  settings.token = table.RequiredString("operator_token");
  const std::string log = table.RequiredString("log");
  if (!log.empty() && !ParseEndpoint(log, settings.log))
    table.Report("log", "'log' must be an IP number and a port");
  for (const std::string& it : table.Strings("hosts")) {
    Endpoint endpoint;
    if (ParseEndpoint(it, endpoint)) {
      settings.hosts.push_back(endpoint);
      continue;
    }
    table.Report("hosts", "'" + it + "' is not an IP number and a port");
  }
  table.Finish();
  SortFindings(findings);
  return settings;
}

}  // namespace mangoport
