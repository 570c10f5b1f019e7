#include <string>

#include <criterion/criterion.h>

#include "mangoport/settings/fleet_file.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {
namespace {

std::string Formatted(const Findings& findings) {
  std::string text;
  for (const Finding& it : findings)
    text += FormatFinding(it) + "\n";
  return text;
}

// NOLINTNEXTLINE
Test(host_settings, all_findings_come_together_with_their_places) {
  Findings findings;
  ParseHostSettings(
      "host = \"a\"\n"
      "availability_zon = \"z\"\n"
      "operator_token = \"t\"\n"
      "[listen]\n"
      "callers = \"localhost:1\"\n"
      "operators = \"127.0.0.1:0\"\n"
      "peers = \"127.0.0.1:0\"\n"
      "[platform]\n"
      "log = \"127.0.0.1:99999\"\n"
      "[limits]\n"
      "max_body_kib = 0\n",
      "a.toml", findings);
  const std::string expected =
      "a.toml:1:1: error: 'availability_zone' is missing\n"
      "a.toml:2:1: error: unknown name 'availability_zon'; did you mean "
      "'availability_zone'?\n"
      "a.toml:5:11: error: 'callers' must be an IP number and a port, such as "
      "127.0.0.1:8080\n"
      "a.toml:9:7: error: 'log' must be an IP number and a port, such as "
      "127.0.0.1:8080\n"
      "a.toml:11:16: error: 'max_body_kib' must be a whole number from 1 to "
      "65536\n";
  const std::string actual = Formatted(findings);
  cr_assert_str_eq(actual.c_str(), expected.c_str());
}

// NOLINTNEXTLINE
Test(host_settings, malformed_text_is_a_finding) {
  for (const char* it : {"[=", "\xEF\xB3\xBF\x2B", "a = [[[[", "= 1"}) {
    Findings findings;
    ParseHostSettings(it, "b.toml", findings);
    cr_assert_eq(findings.size(), 1U, "%s", it);
    cr_assert_gt(findings[0].place.line, 0U);
  }
}

// NOLINTNEXTLINE
Test(fleet_file, parses_items_and_reports_slips) {
  Findings findings;
  const wire::ConfigChange change = ParseFleetFile(
      "[[model]]\nname = \"m\"\nsize_mb = 8\n"
      "[[model]]\nname = \"m\"\n"
      "[[template]]\nname = \"t\"\nrate = -1\nmodels = [\"*\"]\n"
      "[[account]]\nname = \"a\"\ntemplte = \"t\"\n",
      "f.toml", findings);
  cr_assert_eq(change.puts_size(), 4);
  const std::string expected =
      "f.toml:5:8: error: a second model named 'm'\n"
      "f.toml:8:8: error: 'rate' must be 0 or more\n"
      "f.toml:10:1: error: 'template' is missing\n"
      "f.toml:12:1: error: unknown name 'templte'; did you mean 'template'?\n";
  const std::string actual = Formatted(findings);
  cr_assert_str_eq(actual.c_str(), expected.c_str());
}

}  // namespace
}  // namespace mangoport
