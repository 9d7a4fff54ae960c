#ifndef TARRAGON_GATEWAY_RELAY_NODE_H_
#define TARRAGON_GATEWAY_RELAY_NODE_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/gateway/gateway_state.h"
#include "tarragon/gateway/load_relay.h"
#include "tarragon/gateway/relay_connection.h"
#include "tarragon/gateway/table_replica.h"
#include "tarragon/gateway/table_watcher.h"
#include "tarragon/routing/relay_plan.h"
#include "tarragon/routing/source_selector.h"

namespace tarragon::gateway {

/** A table of the store that daemons relay to one another. */
struct relayed_table {
  std::string name;
  table_replica& replica;
  table_watcher& watcher;
  /** The daemon is ready once it has the table, and changes must reach it in time. */
  bool essential = true;
};

/**
 * Keeps the replicas of the store's tables up to date, from another daemon or from the store as the
 * source selector decides, and relays them to the daemons that follow this one.
 */
class relay_node final : public relay_connection_listener {
 public:
  relay_node(gateway_state& gateway,
             std::vector<relayed_table> tables,
             load_relay& loads,
             std::uint64_t seed);
  ~relay_node() override;

  /** @param address `ip:port` to accept followers on. @return false if it cannot be bound. */
  bool Open(const std::string& address);

  /** Starts to read or to follow. A node without `Open` and members reads the store. */
  void Start();

  /** Sets the daemons of the fleet. */
  void SetMembers(const std::vector<routing::relay_member>& members);

  /** @param on_request takes over the connections of daemons that want a tunnel. */
  void SetTunnelListener(
      std::function<void(asio::ip::tcp::socket, const tunnel_request&)> on_request) {
    on_tunnel_request_ = std::move(on_request);
  }

  /** The fleet is so large that daemons follow one another. */
  bool is_relayed() const { return selector_.plan().is_relayed; }

  /** Called when a replica has changed or its position was confirmed. */
  void OnReplicaChanged(std::size_t table);

 private:
  static constexpr std::chrono::milliseconds kTickInterval{100};
  /** Further followers are turned away; they choose another source. */
  static constexpr std::size_t kMaxFollowers = 80;

  /** A daemon that has connected to this one: a follower, or the root of another domain. */
  /** An update as it was sent last, for followers that need the same one. */
  struct encoded_update {
    routing::store_version base;
    table_position position;
    bool store_lost = false;
    std::string frame;
  };
  struct follower {
    std::shared_ptr<relay_connection> connection;
    std::string vm;
    /** Version of each table that the follower has after what was sent; empty until subscribed. */
    std::vector<routing::store_version> sent;
    /** Tables with news that wait for the write in progress. */
    std::vector<bool> pending;
  };

  // relay_connection_listener:
  void OnRelayMessage(relay_connection& connection, relay_message message) override;
  void OnRelayWritten(relay_connection& connection) override;
  void OnRelayClosed(relay_connection& connection) override;

  void Accept();
  void ScheduleTick();
  void Update();
  routing::source_view View() const;
  /** @return whether the source is in the middle of a message and its bytes arrive. */
  bool IsReceiving();
  void Reconcile();
  /** Once the store serves one table again, the waits of the other tables have no reason left. */
  void RetryOthers(const table_watcher& regained);
  void OpenLink(const std::string& address);
  void CloseLink();
  void SetReading(bool reads_store);
  void OnUpdate(relay_update message);
  void OnSubscription(relay_connection& connection, relay_subscription message);
  void OnTunnelRequest(relay_connection& connection, const tunnel_request& request);
  const std::string& EncodeUpdate(std::size_t table, const routing::store_version& base);
  void PushTo(follower& target, std::size_t table);
  void PushPending(follower& target);
  void ReportRelayedOutage();

  gateway_state& gateway_;
  std::vector<relayed_table> tables_;
  load_relay& loads_;
  routing::source_selector selector_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer timer_;
  asio::steady_timer accept_timer_;
  std::string own_address_;
  bool reading_ = false;
  std::shared_ptr<relay_connection> link_;
  std::string link_address_;
  /** Newest confirmation of each table received over the link. */
  std::vector<std::optional<table_position>> link_positions_;
  bool source_lost_store_ = false;
  std::function<void(asio::ip::tcp::socket, const tunnel_request&)> on_tunnel_request_;
  std::map<const relay_connection*, follower> followers_;
  /** By table; empty before the first update. */
  std::vector<std::optional<encoded_update>> encoded_;
  /** Bytes received over the link, and when they were seen to grow last. */
  std::uint64_t link_bytes_ = 0;
  time_point link_progress_at_;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_RELAY_NODE_H_
