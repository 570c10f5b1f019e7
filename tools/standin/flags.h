#ifndef MANGOPORT_TOOLS_STANDIN_FLAGS_H_
#define MANGOPORT_TOOLS_STANDIN_FLAGS_H_

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace mangoport::standin {

using Millis = std::chrono::milliseconds;

/// The long options of one role, each bound to the variable that it fills.
class Flags {
 public:
  void Add(std::string name, std::string* out);
  void Add(std::string name, double* out);
  void Add(std::string name, int* out);
  void Add(std::string name, Millis* out);

  /// Parses with getopt_long; false after a message on standard error.
  bool Parse(int argc, char** argv);

 private:
  struct Flag {
    std::string name;
    std::function<bool(const char*)> set;
  };

  std::vector<Flag> flags_;
};

/// Splits at `separator`; an empty text has no items.
std::vector<std::string> Split(const std::string& text, char separator);

}  // namespace mangoport::standin

#endif  // MANGOPORT_TOOLS_STANDIN_FLAGS_H_
