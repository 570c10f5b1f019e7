#include "mangoport/once/claim_key.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstring>
#include <initializer_list>
#include <string>

#include <openssl/sha.h>

namespace mangoport {
namespace {

void AppendField(std::string* text, std::string_view field) {
  text->append(std::to_string(field.size()));
  text->push_back(':');
  text->append(field);
}

// Prefixes each field with its length, so that different lists of fields never
// produce the same text.
Digest128 DigestOf(std::initializer_list<std::string_view> fields) {
  std::string text;
  for (std::string_view it : fields)
    AppendField(&text, it);
  std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         hash.data());
  Digest128 digest;
  std::memcpy(&digest.high, hash.data(), sizeof(digest.high));
  std::memcpy(&digest.low, hash.data() + sizeof(digest.high),
              sizeof(digest.low));
  return digest;
}

bool HasUuidDashes(std::string_view text) {
  constexpr std::size_t kUuidLength = 36;
  return text.size() == kUuidLength && text[8] == '-' && text[13] == '-' &&
         text[18] == '-' && text[23] == '-';
}

}  // namespace

ClaimKey MakeClaimKey(const AccountId& account,
                      std::string_view idempotency_key) {
  return {DigestOf({account.value(), idempotency_key})};
}

RequestFingerprint MakeRequestFingerprint(std::string_view method,
                                          std::string_view target,
                                          std::string_view body) {
  return {DigestOf({method, target, body})};
}

std::uint32_t PartitionOf(const ClaimKey& key) {
  return static_cast<std::uint32_t>(key.digest.high % kClaimPartitions);
}

StreamId ClaimStream(std::uint32_t partition) {
  return StreamId("claims." + std::to_string(partition));
}

std::optional<WallTime> KeyCreatedAt(std::string_view idempotency_key) {
  constexpr std::size_t kVersionIndex = 14;
  constexpr int kHexBase = 16;
  if (!HasUuidDashes(idempotency_key) || idempotency_key[kVersionIndex] != '7')
    return std::nullopt;
  std::string hex(idempotency_key.substr(0, 8));
  hex.append(idempotency_key.substr(9, 4));
  std::uint64_t millis = 0;
  const char* end = hex.data() + hex.size();
  const auto [last, ec] = std::from_chars(hex.data(), end, millis, kHexBase);
  if (ec != std::errc() || last != end)
    return std::nullopt;
  return WallTime(std::chrono::milliseconds(millis));
}

bool IsValidIdempotencyKey(std::string_view idempotency_key) {
  if (idempotency_key.empty() ||
      idempotency_key.size() > kMaxIdempotencyKeyBytes)
    return false;
  return std::all_of(idempotency_key.begin(), idempotency_key.end(),
                     [](char it) { return it >= ' ' && it <= '~'; });
}

}  // namespace mangoport
