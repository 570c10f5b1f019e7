// The template that the users' platform fills in must name fields that the
// platform has, and give settings that a host accepts.
#include <fstream>
#include <map>
#include <regex>
#include <sstream>
#include <string>

#include <criterion/criterion.h>

#include "mangoport/core/finding.h"
#include "mangoport/settings/edge_settings.h"

namespace mangoport {
namespace {

/// Fields of the platform's settings, as it publishes them.
std::map<std::string, std::string> PlatformFields() {
  return {{"NodeName", "edge-1"},
          {"Zone", "zone-a"},
          {"Ip", "10.1.0.33"},
          {"Listen.Front", "10.1.0.33:8783"},
          {"Listen.Ready", "10.1.0.33:8780"},
          {"InternalPorts.0", "8790"},
          {"Platform.Addr", "10.200.1.7:8225"},
          {"Limits.MemoryMb", "182"},
          {"Bounds.RevokeMs", "5000"},
          {"Bounds.DrainMs", "2000"},
          {"Bounds.ConfigApplyMs", "2000"},
          {"Bounds.GraceS", "8"},
          {"Bounds.LeaseMs", "3000"},
          {"Bounds.RetryBudgetRatio", "0.2"},
          {"Bounds.BudgetExtra", "116"},
          {"Bounds.FailClosed", "true"}};
}

std::string FileText(const std::string& path) {
  std::ifstream in(MANGOPORT_SOURCE_DIR + path);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

std::string TemplateText() {
  return FileText("/deploy/edge.toml.in");
}

/// Fills in plain fields; one that is missing is nothing.
std::string Render(std::string text,
                   const std::map<std::string, std::string>& fields) {
  const std::regex placeholder(R"(\{\{([\w.]+)\}\})");
  for (std::smatch it; std::regex_search(text, it, placeholder);) {
    const auto field = fields.find(it[1]);
    text = it.prefix().str() +
           (field == fields.end() ? std::string() : field->second) +
           it.suffix().str();
  }
  return text;
}

/// The settings of a host that the deploy file starts with these fields.
EdgeSettings Start(const std::map<std::string, std::string>& fields,
                   Findings& findings) {
  EdgeSettings out =
      ParseEdgeSettings(Render(TemplateText(), fields), "edge.toml", findings);
  const std::string deploy = FileText("/deploy/system.toml");
  const std::regex variable(std::string(kMachineMemoryVariable) +
                            R"( = "([^"]*)\")");
  std::smatch it;
  cr_assert(std::regex_search(deploy, it, variable));
  ApplyMachineMemory(Render(it[1], fields), out, findings);
  return out;
}

// The users' own stand-ins fill in plain fields and no sections, and know no
// machine's memory: with a section in the template no host of theirs started.
Test(settings_template, needs_plain_fields_only) {
  const std::regex plain(R"(\{\{[A-Za-z0-9_.]+\}\})");
  const std::string rest = std::regex_replace(TemplateText(), plain, "");
  cr_assert_eq(rest.find("{{"), std::string::npos, "%s", rest.c_str());
  cr_assert_eq(TemplateText().find("Limits."), std::string::npos);
}

// A field that the platform does not have left a key without a value: no host
// started.
Test(settings_template, a_host_accepts_what_the_platform_fills_in) {
  Findings findings;
  const EdgeSettings settings = Start(PlatformFields(), findings);
  cr_assert(findings.empty());
  cr_assert(settings.machine_memory_mb == 182);
}

// The machine's memory may not be stated.
Test(settings_template, a_host_starts_without_the_machines_memory) {
  std::map<std::string, std::string> fields = PlatformFields();
  fields.erase("Limits.MemoryMb");
  Findings findings;
  const EdgeSettings settings = Start(fields, findings);
  cr_assert(findings.empty());
  cr_assert_not(settings.machine_memory_mb);
}

// What an operator writes into the settings goes before the environment, and a
// wrong value must not be taken for none.
Test(settings_template, the_settings_go_before_the_environment) {
  EdgeSettings settings;
  Findings findings;
  ApplyMachineMemory("64", settings, findings);
  ApplyMachineMemory("182", settings, findings);
  cr_assert(settings.machine_memory_mb == 64);
  for (const char* it : {"0", "-1", "12x", "1.5", " 64"}) {
    EdgeSettings wrong;
    Findings reported;
    ApplyMachineMemory(it, wrong, reported);
    cr_assert_eq(reported.size(), 1, "%s", it);
  }
}

}  // namespace
}  // namespace mangoport
