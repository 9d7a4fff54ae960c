#ifndef TARRAGON_BASE_IDS_H_
#define TARRAGON_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace tarragon {

/** Integer identifier with a distinct type per kind of object. */
template <typename Tag>
struct numeric_id {
  std::uint64_t value = 0;
  auto operator<=>(const numeric_id&) const = default;
};

/** Identifies a request within one entry process. */
using request_id = numeric_id<struct request_id_tag>;
/** Identifies one attempt to send a request to an endpoint, within one entry process. */
using attempt_id = numeric_id<struct attempt_id_tag>;
/** XXH3 hash of an account name. */
using account_id = numeric_id<struct account_id_tag>;
/** XXH3 hash of model and prompt; the same on every VM. */
using fingerprint = numeric_id<struct fingerprint_tag>;

/** Name of an endpoint, as in the `fleet` section of the document. */
using endpoint_name = std::string;
/** 128-bit generation identifier in lower-case hex, unique in the fleet. */
using generation_id = std::string;

}  // namespace tarragon

template <typename Tag>
struct std::hash<tarragon::numeric_id<Tag>> {
  std::size_t operator()(const tarragon::numeric_id<Tag>& id) const noexcept {
    return std::hash<std::uint64_t>{}(id.value);
  }
};

#endif  // TARRAGON_BASE_IDS_H_
