#ifndef TARRAGON_NET_FLEET_KEYS_H_
#define TARRAGON_NET_FLEET_KEYS_H_

#include <string>

namespace tarragon::net {

/**
 * Keys derived from the fleet key of the settings, one per purpose, so that a signature made for
 * one purpose is invalid for another.
 */
struct fleet_keys {
  std::string tickets;
  std::string gossip;
  std::string documents;

  static fleet_keys Make(const std::string& fleet_key);
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_FLEET_KEYS_H_
