#include <string>

#include <criterion/criterion.h>

#include "mangoport/telemetry/decision_log.h"

namespace mangoport {
namespace {

// Callers and other writers in the store choose some of the values.
Test(log_line, a_value_of_any_bytes_stays_one_quoted_value) {
  std::string all;
  for (int i = 0; i < 256; ++i)
    all.push_back(static_cast<char>(i));
  const std::string text = LogLine("x").Add("key", all).text();
  for (const char c : text)
    cr_assert(c >= ' ' && c <= '~', "byte %d", c);
  cr_assert(text.starts_with("event=x key=\" "));
  cr_assert_eq(text.back(), '"');
  cr_assert_eq(LogLine("x").Add("key", "\x1b[2Jid").text(),
               "event=x key=\" [2Jid\"");
  cr_assert_eq(LogLine("x").Add("key", "i-1").text(), "event=x key=i-1");
}

}  // namespace
}  // namespace mangoport
