#include "toml_table.h"

#include <utility>

// The library's own assertions abort on some malformed input that its parser
// otherwise reports as an error.
#define TOML_ASSERT(x) static_cast<void>(0)
#define TOML_EXCEPTIONS 0
#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

namespace mangoport {
namespace {

constexpr std::size_t kMaxDocumentBytes = std::size_t{4} * 1024 * 1024;

/// The parser's tables of Unicode classes are not relied on: text outside
/// ASCII is refused with its place.
std::optional<Place> FindNonAscii(std::string_view text,
                                  const std::string& file) {
  Place place{file, 1, 1};
  for (const char it : text) {
    if (static_cast<unsigned char>(it) >= 0x80)
      return place;
    ++place.column;
    if (it == '\n') {
      ++place.line;
      place.column = 1;
    }
  }
  return std::nullopt;
}

Place ToPlace(const toml::source_region& region, const std::string& file) {
  return {file, static_cast<std::uint32_t>(region.begin.line),
          static_cast<std::uint32_t>(region.begin.column)};
}

}  // namespace

struct TomlTable::Node {
  /// Owns the document; the tables below it share it.
  std::shared_ptr<toml::table> document;
  toml::table* table = nullptr;
  Place place;

  const toml::node* Find(std::string_view key) const {
    return table ? table->get(key) : nullptr;
  }
};

TomlTable::TomlTable(std::unique_ptr<Node> node,
                     std::string file,
                     Findings* findings)
    : node_(std::move(node)), file_(std::move(file)), findings_(findings) {}

TomlTable::~TomlTable() = default;
TomlTable::TomlTable(TomlTable&&) noexcept = default;
TomlTable& TomlTable::operator=(TomlTable&&) noexcept = default;

TomlTable TomlTable::Parse(std::string_view text,
                           const std::string& file,
                           Findings& findings) {
  auto node = std::make_unique<Node>();
  node->document = std::make_shared<toml::table>();
  node->table = node->document.get();
  node->place = {file, 1, 1};
  TomlTable table(std::move(node), file, &findings);
  if (text.size() > kMaxDocumentBytes) {
    findings.push_back({{file, 0, 0}, "the file is larger than 4 MiB", ""});
    return table;
  }
  if (const std::optional<Place> place = FindNonAscii(text, file)) {
    findings.push_back({*place, "only ASCII text is accepted", ""});
    return table;
  }
  toml::parse_result result = toml::parse(text, file);
  if (!result) {
    const toml::parse_error& error = result.error();
    findings.push_back(
        {ToPlace(error.source(), file), std::string(error.description()), ""});
    return table;
  }
  *table.node_->document = std::move(result).table();
  return table;
}

std::string TomlTable::String(std::string_view key, std::string_view fallback) {
  asked_.emplace(key);
  const toml::node* node = node_->Find(key);
  if (!node)
    return std::string(fallback);
  if (const auto* it = node->as_string())
    return it->get();
  Report(key, "'" + std::string(key) + "' must be a string");
  return std::string(fallback);
}

std::string TomlTable::RequiredString(std::string_view key) {
  std::string value = String(key);
  const toml::node* node = node_->Find(key);
  if (!node)
    Report(key, "'" + std::string(key) + "' is missing");
  if (node && node->is_string() && value.empty())
    Report(key, "'" + std::string(key) + "' must not be empty");
  return value;
}

std::uint64_t TomlTable::Unsigned(std::string_view key,
                                  std::uint64_t fallback,
                                  std::uint64_t low,
                                  std::uint64_t high) {
  asked_.emplace(key);
  const toml::node* node = node_->Find(key);
  if (!node)
    return fallback;
  const auto* it = node->as_integer();
  const std::int64_t value = it ? it->get() : -1;
  if (value >= 0 && static_cast<std::uint64_t>(value) >= low &&
      static_cast<std::uint64_t>(value) <= high)
    return static_cast<std::uint64_t>(value);
  Report(key, "'" + std::string(key) + "' must be a whole number from " +
                  std::to_string(low) + " to " + std::to_string(high));
  return fallback;
}

std::optional<double> TomlTable::Number(std::string_view key) {
  asked_.emplace(key);
  const toml::node* node = node_->Find(key);
  if (!node)
    return std::nullopt;
  if (const auto* it = node->as_integer())
    return static_cast<double>(it->get());
  if (const auto* it = node->as_floating_point())
    return it->get();
  Report(key, "'" + std::string(key) + "' must be a number");
  return std::nullopt;
}

bool TomlTable::Bool(std::string_view key, bool fallback) {
  asked_.emplace(key);
  const toml::node* node = node_->Find(key);
  if (!node)
    return fallback;
  if (const auto* it = node->as_boolean())
    return it->get();
  Report(key, "'" + std::string(key) + "' must be true or false");
  return fallback;
}

std::vector<std::string> TomlTable::Strings(std::string_view key) {
  asked_.emplace(key);
  const toml::node* node = node_->Find(key);
  if (!node)
    return {};
  const toml::array* array = node->as_array();
  std::vector<std::string> values;
  for (std::size_t i = 0; array && i < array->size(); ++i) {
    if (const auto* it = array->get(i)->as_string())
      values.push_back(it->get());
  }
  if (!array || values.size() != array->size())
    Report(key, "'" + std::string(key) + "' must be a list of strings");
  return values;
}

Duration TomlTable::Milliseconds(std::string_view key,
                                 Duration fallback,
                                 Duration low,
                                 Duration high) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const auto count = [](Duration it) {
    return static_cast<std::uint64_t>(duration_cast<milliseconds>(it).count());
  };
  return milliseconds(Unsigned(key, count(fallback), count(low), count(high)));
}

TomlTable TomlTable::Table(std::string_view key) {
  asked_.emplace(key);
  auto child = std::make_unique<Node>();
  child->document = node_->document;
  child->place = PlaceOf(key);
  toml::node* node = node_->table ? node_->table->get(key) : nullptr;
  if (node)
    child->table = node->as_table();
  if (node && !child->table)
    Report(key, "'" + std::string(key) + "' must be a table");
  return {std::move(child), file_, findings_};
}

std::vector<TomlTable> TomlTable::Tables(std::string_view key) {
  asked_.emplace(key);
  toml::node* node = node_->table ? node_->table->get(key) : nullptr;
  if (!node)
    return {};
  std::vector<TomlTable> tables;
  toml::array* array = node->as_array();
  for (std::size_t i = 0; array && i < array->size(); ++i) {
    toml::node* element = array->get(i);
    if (!element->is_table())
      continue;
    auto child = std::make_unique<Node>();
    child->document = node_->document;
    child->table = element->as_table();
    child->place = ToPlace(element->source(), file_);
    tables.push_back(TomlTable(std::move(child), file_, findings_));
  }
  if (!array || tables.size() != array->size())
    Report(key, "'" + std::string(key) + "' must be tables, each written [[" +
                    std::string(key) + "]]");
  return tables;
}

void TomlTable::Report(std::string_view key,
                       std::string message,
                       std::string suggestion) {
  findings_->push_back(
      {PlaceOf(key), std::move(message), std::move(suggestion)});
}

void TomlTable::Finish() {
  if (!node_->table)
    return;
  const std::vector<std::string> known(asked_.begin(), asked_.end());
  for (const auto& [key, value] : *node_->table) {
    if (asked_.contains(key.str()))
      continue;
    findings_->push_back({ToPlace(key.source(), file_),
                          "unknown name '" + std::string(key.str()) + "'",
                          NearestName(key.str(), known)});
  }
}

Place TomlTable::PlaceOf(std::string_view key) const {
  const toml::node* node = node_->Find(key);
  return node ? ToPlace(node->source(), file_) : node_->place;
}

}  // namespace mangoport
