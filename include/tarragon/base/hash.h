#ifndef TARRAGON_BASE_HASH_H_
#define TARRAGON_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace tarragon {

/** @return the 64-bit XXH3 hash of `data`; the same on every VM. */
std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0);

/** @return the SHA-256 digest of `data` in lower-case hex. */
std::string Sha256Hex(std::string_view data);

/** @return the HMAC-SHA256 of `data` under `key` in lower-case hex. */
std::string HmacSha256Hex(std::string_view key, std::string_view data);

/** Compares without revealing the position of the first difference through timing. */
bool ConstantTimeEquals(std::string_view a, std::string_view b);

}  // namespace tarragon

#endif  // TARRAGON_BASE_HASH_H_
