#include "mangoport/core/finding.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <tuple>

namespace mangoport {
namespace {

std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t substitute = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitute});
    }
  }
  return row[b.size()];
}

}  // namespace

void SortFindings(Findings& findings) {
  std::stable_sort(findings.begin(), findings.end(),
                   [](const Finding& a, const Finding& b) {
                     return std::tie(a.place.line, a.place.column) <
                            std::tie(b.place.line, b.place.column);
                   });
}

std::string FormatFinding(const Finding& finding) {
  std::string text = finding.place.file + ":";
  if (finding.place.line != 0) {
    text += std::to_string(finding.place.line) + ":" +
            std::to_string(finding.place.column) + ":";
  }
  text += " error: " + finding.message;
  if (!finding.suggestion.empty())
    text += "; did you mean '" + finding.suggestion + "'?";
  return text;
}

std::string NearestName(std::string_view word,
                        const std::vector<std::string>& candidates) {
  std::string best;
  std::size_t best_distance = std::max<std::size_t>(1, word.size() / 3) + 1;
  for (const std::string& it : candidates) {
    const std::size_t distance = EditDistance(word, it);
    if (distance >= best_distance)
      continue;
    best_distance = distance;
    best = it;
  }
  return best;
}

}  // namespace mangoport
