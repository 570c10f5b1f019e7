#ifndef MANGOPORT_CORE_FINDING_H_
#define MANGOPORT_CORE_FINDING_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mangoport {

/// A place in an input. Lines and columns count from one; zero is unknown.
struct Place {
  std::string file;
  std::uint32_t line = 0;
  std::uint32_t column = 0;

  friend bool operator==(const Place&, const Place&) = default;
};

/// One thing wrong with an input.
struct Finding {
  Place place;
  std::string message;
  /// A likely correction, or empty.
  std::string suggestion;

  friend bool operator==(const Finding&, const Finding&) = default;
};

/// Everything wrong with an input, in the order of its places. Parse functions
/// add to it and go on, so that one run reports all of them.
using Findings = std::vector<Finding>;

/// Puts findings in the order of their places.
void SortFindings(Findings& findings);

/// "file:line:column: error: message; did you mean 'suggestion'?"
std::string FormatFinding(const Finding& finding);

/// The candidate nearest to `word` by edit distance, or empty if none is near
/// enough to be a likely slip.
std::string NearestName(std::string_view word,
                        const std::vector<std::string>& candidates);

}  // namespace mangoport

#endif  // MANGOPORT_CORE_FINDING_H_
