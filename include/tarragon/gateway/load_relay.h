#ifndef TARRAGON_GATEWAY_LOAD_RELAY_H_
#define TARRAGON_GATEWAY_LOAD_RELAY_H_

#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tarragon/gateway/gateway_state.h"
#include "tarragon/gateway/relay_connection.h"
#include "tarragon/routing/load_exchange.h"

namespace tarragon::gateway {

/** @return what this daemon itself knows about an endpoint. */
routing::endpoint_load_report MakeLoadReport(time_point now, const routing::endpoint& known);

/**
 * Exchanges the loads at the endpoints over the connections of the relay tree, and over connections
 * between the roots of the failure domains. Used in fleets too large to tell every daemon.
 */
class load_relay final : public relay_connection_listener {
 public:
  explicit load_relay(gateway_state& gateway);
  ~load_relay() override;

  void Start();

  /** Adds a connection of the relay tree, or one that another root has opened. */
  void AddConnection(const std::shared_ptr<relay_connection>& connection,
                     routing::neighbor_kind kind);
  void RemoveConnection(const relay_connection& connection);
  void OnLoads(const relay_connection& connection, const relay_loads& message);
  /** Called when `connection` may be written to again. */
  void OnWritable(const relay_connection& connection);

  /** Sets the roots to connect to; empty unless this daemon is a root. */
  void SetRoots(std::vector<std::string> addresses);

  /** Tells the neighbors about changed loads after a short delay, which batches the changes. */
  void ScheduleExchange();

 private:
  static constexpr std::chrono::milliseconds kBatchDelay{10};
  /** Ended requests and finished prefills are told at this interval. */
  static constexpr std::chrono::milliseconds kRefreshInterval{50};
  static constexpr std::chrono::milliseconds kRootRetryDelay{2000};
  static constexpr std::size_t kMaxLoadsPerMessage = 512;

  struct link {
    routing::load_exchange::neighbor_id id = 0;
    std::shared_ptr<relay_connection> connection;
    /** Set if this daemon has opened the connection to another root. */
    std::string root_address;
  };

  // relay_connection_listener, for connections to other roots:
  void OnRelayMessage(relay_connection& connection, relay_message message) override;
  void OnRelayWritten(relay_connection& connection) override;
  void OnRelayClosed(relay_connection& connection) override;

  link& Add(const std::shared_ptr<relay_connection>& connection, routing::neighbor_kind kind);
  void ScheduleRefresh();
  void ScheduleRootRetry();
  void ConnectToRoots();
  void UpdateOwnLoads();
  void Exchange();
  void SendChanges(const link& target);

  gateway_state& gateway_;
  routing::load_exchange exchange_;
  std::map<const relay_connection*, link> links_;
  routing::load_exchange::neighbor_id last_id_ = 0;
  std::vector<std::string> roots_;
  asio::steady_timer batch_timer_;
  asio::steady_timer refresh_timer_;
  asio::steady_timer root_timer_;
  bool exchange_scheduled_ = false;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_LOAD_RELAY_H_
