#ifndef TARRAGON_POLICY_ENDPOINT_INDEX_H_
#define TARRAGON_POLICY_ENDPOINT_INDEX_H_

#include <cstdint>

namespace tarragon::policy {

/**
 * Dense number that the owner of the policies gives to each endpoint. It stays the same while the
 * endpoint is known and may be reused after the endpoint was removed from every policy.
 */
using endpoint_index = std::uint32_t;

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_ENDPOINT_INDEX_H_
