#include "tools/standin/flags.h"

#include <getopt.h>

#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace mangoport::standin {
namespace {

bool ParseNumber(const char* text, double* out) {
  char* end = nullptr;
  *out = std::strtod(text, &end);
  return end != text && *end == '\0';
}

}  // namespace

void Flags::Add(std::string name, std::string* out) {
  flags_.push_back({std::move(name), [out](const char* text) {
                      *out = text;
                      return true;
                    }});
}

void Flags::Add(std::string name, double* out) {
  flags_.push_back({std::move(name), [out](const char* text) {
                      return ParseNumber(text, out);
                    }});
}

void Flags::Add(std::string name, int* out) {
  flags_.push_back({std::move(name), [out](const char* text) {
                      double n = 0;
                      const bool ok = ParseNumber(text, &n);
                      *out = static_cast<int>(n);
                      return ok;
                    }});
}

void Flags::Add(std::string name, Millis* out) {
  flags_.push_back({std::move(name), [out](const char* text) {
                      double n = 0;
                      const bool ok = ParseNumber(text, &n);
                      *out = Millis(static_cast<Millis::rep>(n));
                      return ok;
                    }});
}

bool Flags::Parse(int argc, char** argv) {
  std::vector<option> options;
  int n = 0;
  for (const Flag& it : flags_)
    options.push_back({it.name.c_str(), required_argument, nullptr, n++});
  options.push_back({nullptr, 0, nullptr, 0});
  optind = 1;
  int found = 0;
  while ((found = getopt_long(argc, argv, "", options.data(), nullptr)) != -1) {
    if (found == '?')
      return false;
    const Flag& flag = flags_[static_cast<std::size_t>(found)];
    if (flag.set(optarg))
      continue;
    std::fprintf(stderr, "--%s: '%s' is not a number\n", flag.name.c_str(),
                 optarg);
    return false;
  }
  return true;
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> items;
  std::istringstream in(text);
  std::string item;
  while (std::getline(in, item, separator))
    items.push_back(item);
  return items;
}

}  // namespace mangoport::standin
