#include "unittests/support/transcript.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>
#include <vector>

namespace mangoport {
namespace {

struct Replacement {
  std::regex pattern;
  std::string text;
};

std::string Normalise(std::string text, const std::string& directory) {
  static const std::vector<Replacement> kReplacements = {
      {std::regex("entry-(\\d)-\\d+-\\d+"), "<request of entry-$1>"},
      {std::regex("mp_[0-9a-f]+_[0-9a-f]+"), "<key>"},
      {std::regex("key '[0-9a-f]{12}'"), "key '<id>'"},
      {std::regex("127\\.0\\.0\\.1:\\d+"), "<address>"},
      {std::regex("\\d+ ms"), "<n> ms"},
      {std::regex("\\d{4}-\\d\\d-\\d\\dT[0-9:.]+Z"), "<time>"}};
  for (std::size_t at = 0;
       (at = text.find(directory, at)) != std::string::npos;)
    text.replace(at, directory.size(), "<directory>");
  for (const Replacement& it : kReplacements)
    text = std::regex_replace(text, it.pattern, it.text);
  return text;
}

}  // namespace

void Transcript::Command(const std::string& line, const CommandResult& result) {
  text_ += Normalise("$ mangoport " + line + "\n" + result.output + "exit " +
                         std::to_string(result.exit_code) + "\n\n",
                     directory_);
}

void Transcript::Call(const std::string& line, const TestReply& reply) {
  text_ += Normalise("> " + line + "\n" + std::to_string(reply.status) + "\n" +
                         reply.body + "\n\n",
                     directory_);
}

void Transcript::Note(const std::string& line) {
  text_ += "# " + line + "\n\n";
}

bool Transcript::MatchesGolden(const std::string& name) const {
  const std::string path = std::string(MANGOPORT_GOLDEN_DIRECTORY) + "/" + name;
  if (std::getenv("MANGOPORT_UPDATE_GOLDEN")) {
    std::ofstream(path) << text_;
    return true;
  }
  const std::string golden = FileText(path);
  if (golden == text_)
    return true;
  std::istringstream expected(golden);
  std::istringstream actual(text_);
  std::string a;
  std::string b;
  for (int line = 1;; ++line) {
    const bool more_a = static_cast<bool>(std::getline(expected, a));
    const bool more_b = static_cast<bool>(std::getline(actual, b));
    if (more_a && more_b && a == b)
      continue;
    std::fprintf(stderr, "%s:%d differs\n  golden: %s\n  actual: %s\n",
                 path.c_str(), line, more_a ? a.c_str() : "<end>",
                 more_b ? b.c_str() : "<end>");
    return false;
  }
}

}  // namespace mangoport
