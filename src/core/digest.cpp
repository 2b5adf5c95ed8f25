/* Digests, constant-time comparison and random identifiers on OpenSSL. */
#include "core/digest_func.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <span>

namespace rhubarbtrail {

namespace {

std::string ToHex(std::span<const unsigned char> aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(aBytes.size() * 2);
  for (const unsigned char byte : aBytes) {
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 0xfU]);
  }
  return text;
}

} // namespace

std::string Sha256Hex(std::string_view aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(aText.data(), aText.size(), digest.data(), &length, EVP_sha256(), nullptr);
  return ToHex(std::span{ digest }.first(length));
}

bool EqualsInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string RandomHex()
{
  std::array<unsigned char, 8> bytes{};
  RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  return ToHex(bytes);
}

} // namespace rhubarbtrail
