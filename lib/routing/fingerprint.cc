#include "mangoport/routing/fingerprint.h"

#include <array>
#include <bit>

#include <xxhash.h>

namespace mangoport {
namespace {

constexpr std::size_t kShingleBytes = 5;
constexpr int kSketchBits = 64;
/// Prompts with more shingles are sampled by shingle hash, to bound the cost.
constexpr std::size_t kMaxSketchShingles = 1024;
/// Maximum number of differing bits of similar prompts. Unrelated prompts
/// differ in about half of the bits.
constexpr int kMaxDifferingBits = 12;

bool IsAsciiAlphanumeric(unsigned char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z');
}

char ToLower(unsigned char c) {
  return static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c);
}

/// Length in bytes of the invisible character at the start of `text`, or zero.
std::size_t InvisiblePrefix(std::string_view text) {
  // No-break space, soft hyphen, zero-width space, non-joiner and joiner,
  // left-to-right and right-to-left mark, word joiner, byte order mark.
  constexpr std::array<std::string_view, 9> kInvisible = {
      "\xC2\xA0",     "\xC2\xAD",     "\xE2\x80\x8B",
      "\xE2\x80\x8C", "\xE2\x80\x8D", "\xE2\x80\x8E",
      "\xE2\x80\x8F", "\xE2\x81\xA0", "\xEF\xBB\xBF"};
  for (const std::string_view it : kInvisible) {
    if (text.starts_with(it))
      return it.size();
  }
  return 0;
}

std::uint64_t HashPart(std::uint64_t seed, std::string_view part) {
  return XXH3_64bits_withSeed(part.data(), part.size(), seed + part.size());
}

}  // namespace

std::string NormalizePrompt(std::string_view prompt) {
  std::string normalized;
  normalized.reserve(prompt.size());
  for (std::size_t i = 0; i < prompt.size(); ++i) {
    const auto c = static_cast<unsigned char>(prompt[i]);
    if (c < 0x80) {
      if (IsAsciiAlphanumeric(c))
        normalized.push_back(ToLower(c));
      continue;
    }
    const std::size_t invisible = InvisiblePrefix(prompt.substr(i));
    if (invisible > 0)
      i += invisible - 1;
    else
      normalized.push_back(prompt[i]);
  }
  // A prompt of punctuation alone is identified by its raw bytes.
  return normalized.empty() ? std::string(prompt) : normalized;
}

Fingerprint FingerprintOf(const FingerprintInput& input) {
  std::uint64_t hash = HashPart(1, input.model.value());
  hash = HashPart(hash, input.adapter.value());
  hash = HashPart(hash, NormalizePrompt(input.prompt));
  return Fingerprint{input.account, hash};
}

std::uint64_t SketchOf(std::string_view prompt) {
  const std::string buf = NormalizePrompt(prompt);
  const std::string_view normalized = buf;
  std::array<std::int64_t, kSketchBits> votes{};
  const std::size_t last_start =
      normalized.size() > kShingleBytes ? normalized.size() - kShingleBytes : 0;
  // One of this many shingles is used.
  const std::uint64_t sampling =
      std::bit_ceil(last_start / kMaxSketchShingles + 1);
  for (std::size_t i = 0; i <= last_start; ++i) {
    const std::string_view shingle = normalized.substr(i, kShingleBytes);
    const std::uint64_t hash = XXH3_64bits(shingle.data(), shingle.size());
    if ((hash >> 32) % sampling != 0)
      continue;
    for (int bit = 0; bit < kSketchBits; ++bit)
      votes[bit] += ((hash >> bit) & 1U) != 0 ? 1 : -1;
  }
  std::uint64_t sketch = 0;
  for (int bit = 0; bit < kSketchBits; ++bit) {
    if (votes[bit] > 0)
      sketch |= std::uint64_t{1} << bit;
  }
  return sketch;
}

bool AreSimilar(std::uint64_t a, std::uint64_t b) {
  return std::popcount(a ^ b) <= kMaxDifferingBits;
}

}  // namespace mangoport
