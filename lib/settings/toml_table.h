#ifndef MANGOPORT_LIB_SETTINGS_TOML_TABLE_H_
#define MANGOPORT_LIB_SETTINGS_TOML_TABLE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mangoport/core/finding.h"
#include "mangoport/core/time.h"

namespace mangoport {

/// A table of a TOML document that remembers which of its keys were asked for.
///
/// A reader asks for each key that it knows; `Finish` then reports the others
/// with their places and the nearest known name. Wrong types are reported when
/// they are met, and the reader goes on with the fallback.
class TomlTable {
 public:
  /// Parses `text`; a syntax error becomes a finding and an empty table.
  static TomlTable Parse(std::string_view text,
                         const std::string& file,
                         Findings& findings);

  ~TomlTable();
  TomlTable(TomlTable&&) noexcept;
  TomlTable& operator=(TomlTable&&) noexcept;

  std::string String(std::string_view key, std::string_view fallback = "");
  std::string RequiredString(std::string_view key);
  std::uint64_t Unsigned(std::string_view key,
                         std::uint64_t fallback,
                         std::uint64_t low,
                         std::uint64_t high);
  std::optional<double> Number(std::string_view key);
  bool Bool(std::string_view key, bool fallback);
  std::vector<std::string> Strings(std::string_view key);

  /// A whole number of milliseconds.
  Duration Milliseconds(std::string_view key,
                        Duration fallback,
                        Duration low,
                        Duration high);

  /// The table under `key`, empty if there is none.
  TomlTable Table(std::string_view key);

  /// The tables of the array under `key`.
  std::vector<TomlTable> Tables(std::string_view key);

  /// Adds a finding at the key's place, or the table's if the key is missing.
  void Report(std::string_view key,
              std::string message,
              std::string suggestion = "");

  /// Reports every key that nobody asked for.
  void Finish();

 private:
  struct Node;

  TomlTable(std::unique_ptr<Node> node, std::string file, Findings* findings);

  Place PlaceOf(std::string_view key) const;

  std::unique_ptr<Node> node_;
  std::string file_;
  Findings* findings_;
  std::set<std::string, std::less<>> asked_;
};

}  // namespace mangoport

#endif  // MANGOPORT_LIB_SETTINGS_TOML_TABLE_H_
