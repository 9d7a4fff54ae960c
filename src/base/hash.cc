#include "tarragon/base/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace tarragon {

namespace {

std::string ToHex(const unsigned char* bytes, std::size_t size) {
  return fmt::format("{:02x}", fmt::join(bytes, bytes + size, ""));
}

const unsigned char* Bytes(std::string_view data) {
  return reinterpret_cast<const unsigned char*>(data.data());
}

}  // namespace

std::uint64_t Hash64(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string Sha256Hex(std::string_view data) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(Bytes(data), data.size(), digest.data());
  return ToHex(digest.data(), digest.size());
}

std::string HmacSha256Hex(std::string_view key, std::string_view data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), Bytes(data), data.size(),
       digest.data(), &size);
  return ToHex(digest.data(), size);
}

bool ConstantTimeEquals(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace tarragon
