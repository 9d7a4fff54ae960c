#ifndef TARRAGON_GATEWAY_PATH_MONITOR_H_
#define TARRAGON_GATEWAY_PATH_MONITOR_H_

#include <asio/steady_timer.hpp>
#include <chrono>
#include <map>
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
 * Knows whether this daemon reaches the endpoints of each service and, while it does not, through
 * which daemons it does. Probes the direct path in that time, so that the requests need not.
 */
class path_monitor final {
 public:
  explicit path_monitor(gateway_state& gateway);

  void SetMembers(const std::vector<routing::relay_member>& others,
                  const routing::relay_member& self);

  time_point Now() const { return gateway_.time.Now(); }
  /** @return whether no endpoint of the service that has this address can be reached directly. */
  bool IsCutOff(const std::string& address) const;

  /** @param started_at start of the direct attempt that has succeeded. */
  void OnConnected(const std::string& address, time_point started_at);
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

  /** The path to the endpoints of one service. */
  struct service_path {
    explicit service_path(asio::io_context& loop) : probe_timer(loop) {}

    routing::endpoint_paths state;
    asio::steady_timer probe_timer;
    std::shared_ptr<connection_attempt> probe;
    time_point cut_at;
  };

  /** @return null if no endpoint with the address is listed. */
  routing::endpoint_ptr FindListed(const std::string& address) const;
  std::string ServiceOf(const std::string& address) const;
  void Probe(const std::string& service, service_path& path);
  void ScheduleProbe(const std::string& service, service_path& path);
  /** @return address of an endpoint that has not failed, if any; else of any one. */
  std::optional<std::string> ChooseProbed(const std::string& service, const service_path& path);
  void CountCutOff() const;

  gateway_state& gateway_;
  /** Services of which a connection has ever failed. */
  std::map<std::string, service_path> paths_;
  routing::tunnel_peers peers_;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_PATH_MONITOR_H_
