#ifndef TARRAGON_POLICY_ENDPOINT_INDEX_H_
#define TARRAGON_POLICY_ENDPOINT_INDEX_H_

#include <cstdint>

namespace tarragon::policy {

/**
 * Dense index that the owner of the policy objects assigns to each endpoint. The index is stable
 * while the endpoint is known and may be reused once the endpoint is removed from every policy.
 */
using endpoint_index = std::uint32_t;

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_ENDPOINT_INDEX_H_
