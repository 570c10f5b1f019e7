#include "mangoport/ledger/key_digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <cassert>
#include <cstddef>
#include <cstdlib>

namespace mangoport {
namespace {

constexpr std::string_view kKeyPrefix = "mp_";
constexpr std::size_t kIdBytes = 6;
constexpr std::size_t kSecretBytes = 24;
constexpr std::size_t kSaltBytes = 16;
constexpr std::size_t kMaxKeyLength = 200;

std::string RandomBytes(std::size_t n) {
  std::string bytes(n, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                 static_cast<int>(n)) != 1)
    std::abort();  // Never issue a key that could be guessed.
  return bytes;
}

std::string ToHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const char it : bytes) {
    const auto byte = static_cast<unsigned char>(it);
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  return text;
}

std::string SaltedDigest(std::string_view salt, std::string_view secret) {
  std::string input(salt);
  input += secret;
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
  unsigned int n = 0;
  EVP_Digest(input.data(), input.size(), buf.data(), &n, EVP_sha256(), nullptr);
  OPENSSL_cleanse(input.data(), input.size());
  return {reinterpret_cast<const char*>(buf.data()), n};
}

}  // namespace

std::optional<CallerKey> ParseCallerKey(std::string_view text) {
  if (text.size() > kMaxKeyLength || !text.starts_with(kKeyPrefix))
    return std::nullopt;
  text.remove_prefix(kKeyPrefix.size());
  const std::size_t separator = text.find('_');
  if (separator == std::string_view::npos || separator == 0)
    return std::nullopt;
  return CallerKey{KeyId(std::string(text.substr(0, separator))),
                   std::string(text.substr(separator + 1))};
}

IssuedKey IssueKey(const AccountId& account) {
  const std::string id = ToHex(RandomBytes(kIdBytes));
  const std::string secret = ToHex(RandomBytes(kSecretBytes));
  IssuedKey issued;
  issued.text = std::string(kKeyPrefix) + id + "_" + secret;
  issued.record.set_id(id);
  issued.record.set_account(account.value());
  issued.record.set_salt(RandomBytes(kSaltBytes));
  issued.record.set_digest(SaltedDigest(issued.record.salt(), secret));
  return issued;
}

bool MatchesDigest(std::string_view secret, const wire::KeyConfig& record) {
  const std::string digest = SaltedDigest(record.salt(), secret);
  return digest.size() == record.digest().size() &&
         CRYPTO_memcmp(digest.data(), record.digest().data(), digest.size()) ==
             0;
}

}  // namespace mangoport
