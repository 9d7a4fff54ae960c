#include "tarragon/net/fleet_keys.h"

#include "tarragon/base/hash.h"

namespace tarragon::net {

fleet_keys fleet_keys::Make(const std::string& fleet_key) {
  return {.tickets = HmacSha256Hex(fleet_key, "tarragon tickets"),
          .gossip = HmacSha256Hex(fleet_key, "tarragon gossip"),
          .documents = HmacSha256Hex(fleet_key, "tarragon documents")};
}

}  // namespace tarragon::net
