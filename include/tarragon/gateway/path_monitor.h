#ifndef TARRAGON_GATEWAY_PATH_MONITOR_H_
#define TARRAGON_GATEWAY_PATH_MONITOR_H_

#include <asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/gateway/connection_attempt.h"
#include "tarragon/gateway/gateway_state.h"
#include "tarragon/gateway/relay_message.h"
#include "tarragon/gateway/tunnel_status.h"
#include "tarragon/routing/endpoint_paths.h"
#include "tarragon/routing/relay_plan.h"
#include "tarragon/routing/tunnel_peers.h"

namespace tarragon::gateway {

/**
 * Knows whether this daemon reaches the endpoints and, while it does not, through which daemons it
 * does. Probes the direct path in that time, so that the requests need not.
 */
class path_monitor final {
 public:
  explicit path_monitor(gateway_state& gateway);

  void SetMembers(const std::vector<routing::relay_member>& others,
                  const routing::relay_member& self);

  time_point Now() const { return gateway_.time.Now(); }
  bool is_cut() const { return paths_.is_cut(); }

  /** @param started_at start of the direct attempt that has succeeded. */
  void OnConnected(time_point started_at);
  void OnConnectFailed(const std::string& address);

  /** @return the request for a tunnel; empty if no endpoint with the address is listed. */
  std::optional<tunnel_request> MakeRequest(const std::string& address) const;

  /** @return address of the daemon to ask for a tunnel; empty if all have failed lately. */
  std::optional<std::string> ChoosePeer();
  void OnPeerFailed(const std::string& peer);
  void OnPeerStatus(const std::string& peer, const std::string& address, tunnel_status status);

 private:
  /** Probes cost the endpoints connections; a path is back long before users notice. */
  static constexpr std::chrono::milliseconds kProbeInterval{500};

  void Probe();
  void ScheduleProbe();
  /** @return address of an endpoint that has not failed, if any; else of any one. */
  std::optional<std::string> ChooseProbed();

  gateway_state& gateway_;
  routing::endpoint_paths paths_;
  routing::tunnel_peers peers_;
  asio::steady_timer probe_timer_;
  std::shared_ptr<connection_attempt> probe_;
  time_point cut_at_;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_PATH_MONITOR_H_
