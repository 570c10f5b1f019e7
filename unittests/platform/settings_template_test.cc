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

std::string TemplateText() {
  std::ifstream in(MANGOPORT_SOURCE_DIR "/deploy/edge.toml.in");
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

/// Fills in the sections and fields; a field that is missing leaves its section
/// out, and is nothing elsewhere.
std::string Render(std::string text,
                   const std::map<std::string, std::string>& fields) {
  const std::regex section(R"(\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\})");
  for (std::smatch it; std::regex_search(text, it, section);) {
    const auto field = fields.find(it[1]);
    std::string inner = field == fields.end() ? std::string() : it[2].str();
    const std::size_t dot = inner.find("{{.}}");
    if (dot != std::string::npos)
      inner.replace(dot, 5, field->second);
    text = it.prefix().str() + inner + it.suffix().str();
  }
  const std::regex placeholder(R"(\{\{([\w.]+)\}\})");
  for (std::smatch it; std::regex_search(text, it, placeholder);) {
    const auto field = fields.find(it[1]);
    text = it.prefix().str() +
           (field == fields.end() ? std::string() : field->second) +
           it.suffix().str();
  }
  return text;
}

// A field that the platform does not have left a key without a value: no host
// started.
Test(settings_template, a_host_accepts_what_the_platform_fills_in) {
  Findings findings;
  const EdgeSettings settings = ParseEdgeSettings(
      Render(TemplateText(), PlatformFields()), "edge.toml", findings);
  cr_assert(findings.empty());
  cr_assert(settings.machine_memory_mb == 182);
}

// The machine's memory may not be stated.
Test(settings_template, a_host_starts_without_the_machines_memory) {
  std::map<std::string, std::string> fields = PlatformFields();
  fields.erase("Limits.MemoryMb");
  Findings findings;
  const EdgeSettings settings =
      ParseEdgeSettings(Render(TemplateText(), fields), "edge.toml", findings);
  cr_assert(findings.empty());
  cr_assert_not(settings.machine_memory_mb);
}

}  // namespace
}  // namespace mangoport
