#ifndef TARRAGON_GATEWAY_CONNECTION_ATTEMPT_H_
#define TARRAGON_GATEWAY_CONNECTION_ATTEMPT_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "tarragon/base/clock.h"
#include "tarragon/gateway/connection_ending.h"
#include "tarragon/gateway/tunnel_status.h"

namespace tarragon::gateway {

class path_monitor;

enum class connect_failure : std::uint8_t {
  /** Nothing listens at the address, as this daemon has found itself. */
  kRefused,
  /** No connection was established. */
  kUnreachable,
};

/** A connection on which the endpoint gets what this daemon writes. */
struct endpoint_connection {
  asio::ip::tcp::socket socket;
  endpoint_path path = endpoint_path::kDirect;
};

/** A connection to the endpoint, or the reason why there is none. */
using connect_result = std::variant<endpoint_connection, connect_failure>;

/**
 * Opens one connection to an endpoint: directly, or through other daemons while this one is cut off
 * from the endpoints. The endpoint has received no byte before the result.
 */
class connection_attempt final : public std::enable_shared_from_this<connection_attempt> {
 public:
  using handler = std::function<void(connect_result)>;

  /** Connecting within a region takes 10 ms, or a second if a packet is lost. */
  static constexpr std::chrono::milliseconds kConnectTimeout{400};

  /** @param paths null to connect only directly, without a record of the outcome. */
  connection_attempt(asio::io_context& loop, path_monitor* paths);

  /** @param on_result called from the event loop, once, unless `Cancel` is called before. */
  void Start(const std::string& address, handler on_result);
  /** Same, but never through another daemon. */
  void StartDirectly(const std::string& address, handler on_result);

  void Cancel();

  /** The connection was reset; if it was a direct one, the path may be lost. */
  void ReportReset();

 private:
  /** Time in which another daemon must accept the connection. */
  static constexpr std::chrono::milliseconds kPeerConnectTimeout{200};
  /** Time in which it must then have reached the endpoint. */
  static constexpr std::chrono::milliseconds kPeerReplyTimeout =
      kConnectTimeout + kPeerConnectTimeout;
  static constexpr int kMaxPeers = 6;
  /** Daemons that must find an endpoint unreachable: one of them may be cut off as well. */
  static constexpr int kMaxUnreachable = 2;

  void ConnectDirectly();
  void OnDirectResult(const asio::error_code& error);
  void TryNextPeer();
  void SendRequest();
  void ReadStatus();
  void OnPeerFailed();
  void OnPeerStatus(tunnel_status status);
  /** Connects the socket; the timer ends the attempt. */
  void Connect(const std::string& address,
               std::chrono::milliseconds timeout,
               void (connection_attempt::*next)(const asio::error_code&));
  void OnPeerConnected(const asio::error_code& error);
  void ArmTimer(std::chrono::milliseconds timeout);
  /** Closes the socket; handlers of its operations have no effect any more. */
  void Abandon();
  void Finish(connect_result result);

  asio::io_context& loop_;
  path_monitor* paths_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  handler on_result_;
  std::string address_;
  bool direct_only_ = false;
  time_point started_at_;
  /** Distinguishes the operations of the current socket from those of earlier ones. */
  std::uint64_t operation_ = 0;
  std::string peer_;
  std::string request_;
  std::array<char, 1> status_{};
  bool is_direct_ = false;
  int peers_tried_ = 0;
  int found_unreachable_ = 0;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_CONNECTION_ATTEMPT_H_
