#ifndef TARRAGON_GATEWAY_TUNNEL_SERVER_H_
#define TARRAGON_GATEWAY_TUNNEL_SERVER_H_

#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <set>

#include "tarragon/gateway/connection_attempt.h"
#include "tarragon/gateway/gateway_state.h"
#include "tarragon/gateway/path_monitor.h"
#include "tarragon/gateway/relay_message.h"
#include "tarragon/gateway/tunnel.h"
#include "tarragon/gateway/tunnel_status.h"

namespace tarragon::gateway {

/** Opens tunnels to endpoints for daemons that are cut off from them. */
class tunnel_server final {
 public:
  tunnel_server(gateway_state& gateway, path_monitor& paths);
  ~tunnel_server();

  /** @param daemon connection on which `request` has arrived. */
  void Open(asio::ip::tcp::socket daemon, const tunnel_request& request);

 private:
  /** Bounds descriptors and buffers: two sockets and 16 KB each. */
  static constexpr std::size_t kMaxTunnels = 256;

  struct pending_tunnel;

  void OnConnected(const std::shared_ptr<pending_tunnel>& pending, connect_result result);
  /** Sends the status and closes the connection, unless an endpoint is connected. */
  void Reply(const std::shared_ptr<pending_tunnel>& pending, tunnel_status status);
  void Begin(const std::shared_ptr<pending_tunnel>& pending);
  void OnEnded(const std::shared_ptr<tunnel>& ended);
  void OnCountChanged();

  gateway_state& gateway_;
  path_monitor& paths_;
  std::size_t pending_ = 0;
  std::set<std::shared_ptr<tunnel>> tunnels_;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_TUNNEL_SERVER_H_
