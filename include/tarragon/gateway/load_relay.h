#ifndef TARRAGON_GATEWAY_LOAD_RELAY_H_
#define TARRAGON_GATEWAY_LOAD_RELAY_H_

#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/gateway/gateway_state.h"
#include "tarragon/gateway/relay_connection.h"
#include "tarragon/routing/load_exchange.h"

namespace tarragon::gateway {

/** @return what this daemon itself knows about an endpoint. */
routing::endpoint_load_report MakeLoadReport(time_point now, const routing::endpoint& known);

/**
 * Exchanges the loads at the endpoints over connections of their own, along the planned tree of
 * each failure domain and between the roots. Used in fleets too large to tell every daemon. The
 * connections for rows do not serve: a daemon whose source has lost the store follows another one,
 * or none, which would split the tree or close a cycle in it.
 */
class load_relay final : public relay_connection_listener {
 public:
  explicit load_relay(gateway_state& gateway);
  ~load_relay() override;

  void Start();

  /** Adds a connection that another daemon has opened. */
  void AddConnection(const std::shared_ptr<relay_connection>& connection,
                     routing::neighbor_kind kind);
  void RemoveConnection(const relay_connection& connection);
  void OnLoads(const relay_connection& connection, const relay_loads& message);
  /** Called when `connection` may be written to again. */
  void OnWritable(const relay_connection& connection);

  /** Sets the roots to connect to; empty unless this daemon is a root. */
  void SetRoots(std::vector<std::string> addresses);

  /**
   * Sets the daemons above this one in the tree, nearest first. The nearest that responds is told
   * the loads on this daemon's side.
   */
  void SetParents(std::vector<std::string> addresses);

  /** Tells the neighbors about changed loads after a short delay, which batches the changes. */
  void ScheduleExchange();

 private:
  static constexpr std::chrono::milliseconds kBatchDelay{10};
  /** Ended requests and finished prefills are told at this interval. */
  static constexpr std::chrono::milliseconds kRefreshInterval{50};
  static constexpr std::chrono::milliseconds kRootRetryDelay{2000};
  /** Interval of messages on links without news, and of looks for silent ones. */
  static constexpr std::chrono::milliseconds kLinkCheckInterval{500};
  /** A link that is silent for longer is closed, and its loads are dropped. */
  static constexpr std::chrono::milliseconds kLinkLifetime{2500};
  /** Time in which a daemon above this one must respond before the next one is tried. */
  static constexpr std::chrono::milliseconds kCandidateTimeout{1000};
  /** Interval of attempts to return to the nearest daemon above this one. */
  static constexpr std::chrono::milliseconds kReturnInterval{4000};
  static constexpr std::size_t kMaxLoadsPerMessage = 512;

  struct link {
    routing::load_exchange::neighbor_id id = 0;
    std::shared_ptr<relay_connection> connection;
    /** Set if this daemon has opened the connection to another root. */
    std::string root_address;
    time_point heard_at;
    time_point sent_at;
  };

  /** Connection to a daemon above this one in the tree. */
  struct parent_connection {
    std::shared_ptr<relay_connection> connection;
    std::string address;
    time_point since;
  };

  // relay_connection_listener, for connections that this daemon has opened:
  void OnRelayMessage(relay_connection& connection, relay_message message) override;
  void OnRelayWritten(relay_connection& connection) override;
  void OnRelayClosed(relay_connection& connection) override;

  link& Add(const std::shared_ptr<relay_connection>& connection, routing::neighbor_kind kind);
  void ScheduleRefresh();
  void ScheduleRootRetry();
  void ConnectToRoots();
  void ScheduleLinkCheck();
  void CloseSilentLinks();
  void SendKeepAlives();
  /** Looks for a parent if there is none, or if a nearer one may be back. */
  void UpdateParent();
  void DropCandidate();
  /** Makes the candidate, which has responded, the parent. */
  void PromoteCandidate();
  void UpdateOwnLoads();
  void Exchange();
  void SendChanges(link& target);

  gateway_state& gateway_;
  routing::load_exchange exchange_;
  std::map<const relay_connection*, link> links_;
  routing::load_exchange::neighbor_id last_id_ = 0;
  std::vector<std::string> roots_;
  std::vector<std::string> parents_;
  std::optional<parent_connection> parent_;
  /** Is being tried; loads are exchanged with it once it has responded. */
  std::optional<parent_connection> candidate_;
  /** Candidates that have failed since there was a parent. */
  std::size_t failed_candidates_ = 0;
  asio::steady_timer batch_timer_;
  asio::steady_timer refresh_timer_;
  asio::steady_timer root_timer_;
  asio::steady_timer link_timer_;
  bool exchange_scheduled_ = false;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_LOAD_RELAY_H_
