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

/** @return the report encoded as one datagram. */
std::string EncodeReport(const routing::peer_report& report);

/** @return the report in a datagram, or empty if the datagram is damaged or not a report. */
std::optional<routing::peer_report> DecodeReport(std::string_view datagram);

/**
 * Reports this daemon's load at each endpoint to the other daemons over UDP, and passes on which
 * requests crash endpoints. A lost report only makes the choice of endpoints worse. Crash records
 * are sent several times, by each daemon that learns of them.
 */
class load_gossip final {
 public:
  load_gossip(asio::io_context& loop, gateway_state& gateway);

  /** @param address `ip:port`. @return false if the address cannot be bound. */
  bool Open(const std::string& address, std::int64_t started_unix_ms);
  void Close();

  /** Sets the addresses of the other daemons. */
  void SetPeers(const std::vector<std::string>& addresses);

  /**
   * Whether reports hold the loads, as they do in fleets small enough to tell every daemon. The
   * other parts, which concern few endpoints, are always sent.
   */
  void SetCarriesLoads(bool carries_loads) { carries_loads_ = carries_loads; }

  /** Announces a leaving endpoint in the reports of the next `kDepartureLifetime`. */
  void OnEndpointLeaving(const routing::endpoint& endpoint);

  /**
   * Schedules a report after `kBatchDelay`, so that the other daemons learn of a burst of requests
   * before they pick the same endpoint.
   */
  void ScheduleReport();

  /** Sends what is new about endpoints after `kBatchDelay`. */
  void ScheduleEvidence();

 private:
  /** Interval of regular reports; a decreased load is reported only by these. */
  static constexpr std::chrono::milliseconds kReportInterval{100};
  /** Requests sent within this time are reported together. */
  static constexpr std::chrono::milliseconds kBatchDelay{2};
  /** Repeat interval of an unchanged report, so that its load does not expire at the peers. */
  static constexpr std::chrono::milliseconds kRepeatInterval{500};
  /** Receivers of one report: all peers of a small fleet, a random sample of a large one. */
  static constexpr std::size_t kFanOut = 8;
  /** This and the next limit keep a report within 1,200 bytes if no endpoint has a rate limit. */
  static constexpr std::size_t kMaxEndpoints = 32;
  static constexpr std::size_t kMaxDepartures = 8;
  /** Quarantined traits are repeated for daemons that have started or could not be reached. */
  static constexpr std::chrono::milliseconds kQuarantineRepeatInterval{1000};
  static constexpr std::size_t kQuarantineRepeatFanOut = 2;
  /** Departures are repeated for this long to survive lost datagrams. */
  static constexpr std::chrono::milliseconds kDepartureLifetime{2000};

  void Receive();
  void OnDatagram(std::string_view datagram);
  void ScheduleTick();
  void Tick();
  void SendReport();
  void SendCrashRecords();
  void SendEvidence();
  /** Sends to `count` random daemons, or to all if there are no more. */
  void SendToSome(const std::string& datagram, std::size_t count);
  routing::peer_report OwnReport();
  void AddDepartures(routing::peer_report& report);
  void ApplyLoads();

  gateway_state& gateway_;
  asio::ip::udp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 2048> buffer_{};
  asio::ip::udp::endpoint sender_;
  std::vector<asio::ip::udp::endpoint> peers_;
  routing::peer_loads loads_;
  std::int64_t started_unix_ms_ = 0;
  std::uint64_t sequence_ = 0;
  /** Endpoints with this daemon's requests, as last reported. */
  std::vector<routing::endpoint_load_report> last_sent_;
  /** Number of leading entries of the current report that have load. */
  std::size_t loaded_endpoint_count_ = 0;
  /** Id of the idle endpoint that was reported last. */
  std::string last_idle_endpoint_;
  struct known_departure {
    routing::endpoint_departure departure;
    time_point announced_at;
  };
  std::vector<known_departure> departures_;
  time_point last_sent_at_;
  time_point quarantine_repeated_at_;
  asio::steady_timer report_timer_;
  bool report_scheduled_ = false;
  asio::steady_timer evidence_timer_;
  bool evidence_scheduled_ = false;
  bool carries_loads_ = true;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_LOAD_GOSSIP_H_
