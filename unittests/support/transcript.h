#ifndef MANGOPORT_UNITTESTS_SUPPORT_TRANSCRIPT_H_
#define MANGOPORT_UNITTESTS_SUPPORT_TRANSCRIPT_H_

#include <string>

#include "unittests/support/fleet.h"

namespace mangoport {

/// A session as text, for comparison with a golden file. What differs from run
/// to run (request names, keys, ports, times, paths) is replaced by its kind.
class Transcript {
 public:
  explicit Transcript(const Fleet& fleet) : directory_(fleet.directory()) {}

  void Command(const std::string& line, const CommandResult& result);
  void Call(const std::string& line, const TestReply& reply);
  void Note(const std::string& line);

  const std::string& text() const { return text_; }

  /// Compares with unittests/golden/NAME and prints the first line that
  /// differs. With MANGOPORT_UPDATE_GOLDEN set, writes the file instead.
  bool MatchesGolden(const std::string& name) const;

 private:
  std::string directory_;
  std::string text_;
};

}  // namespace mangoport

#endif  // MANGOPORT_UNITTESTS_SUPPORT_TRANSCRIPT_H_
