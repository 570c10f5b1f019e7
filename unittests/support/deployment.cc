#include "unittests/support/deployment.h"

#include "mangoport/settings/fleet_file.h"

namespace mangoport {
namespace {

/// Puts a stand-in's real address in the place of a fleet file's.
void ReplaceAddress(std::string& text,
                    const wire::ServerConfig& server,
                    std::uint16_t port) {
  const std::string old =
      "\"" + server.ip() + ":" + std::to_string(server.port()) + "\"";
  const std::size_t at = text.find(old);
  if (at == std::string::npos)
    Die("no address " + old + " in the fleet file");
  text.replace(at, old.size(), "\"127.0.0.1:" + std::to_string(port) + "\"");
}

std::string Join(const wire::ServerConfig& server) {
  std::string models;
  for (const std::string& it : server.models())
    models += (models.empty() ? "" : ",") + it;
  return models;
}

}  // namespace

Deployment StartDeployment(Fleet& fleet,
                           const std::string& fleet_file,
                           const std::vector<std::string>& engine_flags) {
  Findings findings;
  const wire::ConfigChange change =
      ParseFleetFile(fleet_file, "fleet.toml", findings);
  for (const Finding& it : findings)
    Die(FormatFinding(it));
  Deployment deployment;
  deployment.fleet_file = fleet_file;
  fleet.StartStandin("log", "log");
  fleet.StartStandin("store", "store");
  fleet.StartStandin("hosts", "hosts");
  for (const wire::ConfigItem& it : change.puts()) {
    if (!it.has_server())
      continue;
    const wire::ServerConfig& server = it.server();
    const bool engine = server.kind() == wire::SERVER_KIND_ENGINE;
    std::vector<std::string> flags;
    if (engine) {
      flags = {"--preload",   Join(server),
               "--memory-mb", std::to_string(server.memory_mb()),
               "--fencing",   server.honours_fencing() ? "honour" : "ignore"};
      flags.insert(flags.end(), engine_flags.begin(), engine_flags.end());
    }
    const TestStandin& standin =
        fleet.StartStandin(engine ? "engine" : "plain", server.name(), flags);
    ReplaceAddress(deployment.fleet_file, server, standin.port);
    (engine ? deployment.engines : deployment.plain_servers)
        .push_back(server.name());
  }
  return deployment;
}

std::string SmallFleetFile() {
  std::string text =
      "[[model]]\nname = \"m1\"\nsize_mb = 16000\n"
      "[[model]]\nname = \"m2\"\nsize_mb = 16000\n"
      "[[template]]\nname = \"standard\"\nmodels = [\"*\"]\nroutes = "
      "[\"*\"]\nrate = 1000000\nburst = 1000000\n"
      "[[account]]\nname = \"small\"\ntemplate = \"standard\"\n"
      "[[account]]\nname = \"large\"\ntemplate = \"standard\"\n"
      "[[route]]\npath = \"/calls/pay\"\nservice = \"records\"\n"
      "[[route]]\npath = \"/calls/read\"\nservice = \"records\"\n"
      "idempotent = true\n"
      "[[route]]\npath = \"/calls/open\"\nservice = \"records\"\n"
      "idempotent = true\nopen = true\n";
  for (int i = 0; i < 6; ++i) {
    text += "[[server]]\nname = \"engine-" + std::to_string(i + 1) +
            "\"\navailability_zone = \"zone-" + std::to_string(i % 3 + 1) +
            "\"\naddress = \"127.0.0.1:" + std::to_string(7001 + i) +
            "\"\nmemory_mb = 81920\nhonours_fencing = " +
            (i % 2 == 0 ? "true" : "false") + "\nmodels = [\"m1\", \"m2\"]\n";
  }
  for (int i = 0; i < 3; ++i) {
    text += "[[server]]\nname = \"records-" + std::to_string(i + 1) +
            "\"\nkind = \"plain\"\nservice = \"records\"\n"
            "availability_zone = \"zone-" +
            std::to_string(i + 1) +
            "\"\naddress = \"127.0.0.1:" + std::to_string(7051 + i) + "\"\n";
  }
  return text;
}

}  // namespace mangoport
