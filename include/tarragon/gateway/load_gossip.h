#ifndef TARRAGON_GATEWAY_LOAD_GOSSIP_H_
#define TARRAGON_GATEWAY_LOAD_GOSSIP_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/gateway/gateway_state.h"
#include "tarragon/routing/peer_loads.h"

namespace tarragon::gateway {

/** @return the report as the bytes of one datagram. */
std::string EncodeReport(const routing::peer_report& report);

/** @return the report in a datagram, or empty if it is none. */
std::optional<routing::peer_report> DecodeReport(std::string_view datagram);

/**
 * Tells other daemons by UDP which requests this one has at which endpoints. Losses only make the
 * choice of endpoints worse: no bound depends on these messages.
 */
class load_gossip final {
 public:
  load_gossip(asio::io_context& loop, gateway_state& gateway);

  /** @param address `ip:port`. @return false if the address cannot be bound. */
  bool Open(const std::string& address, std::int64_t started_unix_ms);
  void Close();

  /** Sets the addresses of the other daemons. */
  void SetPeers(const std::vector<std::string>& addresses);

  /** An endpoint leaves; the next reports of some seconds say so. */
  void EndpointLeaving(const routing::endpoint& which);

  /** Reports soon: callers' requests come in clumps, and others must not pick the same endpoint. */
  void LoadAdded();

 private:
  /** Loads that went down are reported at this interval. */
  static constexpr std::chrono::milliseconds kInterval{100};
  /** Requests that arrive within this time are reported together. */
  static constexpr std::chrono::milliseconds kSoon{2};
  /** An unchanged report is repeated this often, so that others keep counting it. */
  static constexpr std::chrono::milliseconds kRepeatInterval{500};
  /** Receivers of one report: all of a small fleet, a random part of a large one. */
  static constexpr std::size_t kFanOut = 8;
  /** What fits into one datagram of 1,200 bytes. */
  static constexpr std::size_t kMaxEndpoints = 32;
  static constexpr std::size_t kMaxSuspects = 6;
  static constexpr std::size_t kMaxDepartures = 8;
  /** Departures are repeated for this long, so that a lost datagram does not matter. */
  static constexpr std::chrono::milliseconds kDepartureLifetime{2000};

  void Receive();
  void Schedule();
  void Tick();
  void SendReport();
  routing::peer_report OwnReport();
  static routing::endpoint_load_report CountOf(const routing::endpoint& known);

  gateway_state& gateway_;
  asio::ip::udp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 2048> buffer_{};
  asio::ip::udp::endpoint sender_;
  std::vector<asio::ip::udp::endpoint> peers_;
  routing::peer_loads loads_;
  std::int64_t started_unix_ms_ = 0;
  std::uint64_t sequence_ = 0;
  /** Endpoints with own requests, as last reported. */
  std::vector<routing::endpoint_load_report> last_sent_;
  std::size_t loaded_in_report_ = 0;
  std::string last_idle_reported_;
  struct known_departure {
    routing::endpoint_departure departure;
    time_point at;
  };
  std::vector<known_departure> departures_;
  time_point last_sent_at_;
  asio::steady_timer soon_;
  bool soon_scheduled_ = false;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_LOAD_GOSSIP_H_
