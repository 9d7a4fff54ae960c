#ifndef TARRAGON_ROUTING_PEER_LOADS_H_
#define TARRAGON_ROUTING_PEER_LOADS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/routing/endpoint_registry.h"
#include "tarragon/routing/store_version.h"

namespace tarragon::routing {

/** What one daemon reports about one endpoint. */
struct endpoint_load_report {
  /** XXH3 hash of the endpoint's id. */
  std::uint64_t endpoint_hash = 0;
  endpoint_load load;
  /** Base event interval from the daemon's own samples; zero if unknown. */
  std::chrono::microseconds event_interval{0};
  /** Lowest slowness that the daemon has seen recently, in percent; zero if none. */
  std::uint16_t min_slowness_percent = 0;
  /** Requests sent within the window of the endpoint's limit; 0 if it is not limited. */
  std::uint32_t recent_sends = 0;
  limit_statement limit{};
};

/**
 * Adds the load and the sends of `report` to `sum`; of the estimates, the lowest known ones are
 * kept, and of the statements about the limit the latest.
 */
void AddReport(endpoint_load_report& sum, const endpoint_load_report& report);

/** Sets what is known about an endpoint from the other daemons. */
void SetPeerReport(time_point now, endpoint& known, const endpoint_load_report& sum);

/** An endpoint that is leaving or has been removed. */
struct endpoint_departure {
  /** XXH3 hash of the endpoint's id. */
  std::uint64_t endpoint_hash = 0;
  /** Version of the endpoint's row at the departure. */
  store_version row_version;
};

/** Report that a daemon sends to all other daemons. */
struct peer_report {
  std::string daemon;
  /** Start of the process in Unix milliseconds. Reports of a later process replace earlier ones. */
  std::int64_t started_unix_ms = 0;
  /** Increases with each report of a process. */
  std::uint64_t sequence = 0;
  std::vector<endpoint_load_report> endpoints;
  /** Departures of the last seconds, for daemons that cannot reach the store. */
  std::vector<endpoint_departure> departures;
};

/** Keeps the latest report of each other daemon and sums the loads by endpoint. */
class peer_loads final {
 public:
  /** Age at which a report expires; daemons send one at least every half second. */
  static constexpr duration kReportLifetime = std::chrono::milliseconds(2500);

  /** Stores a report. @return false if it is not newer than the known one of that daemon. */
  bool RecordReport(time_point now, const peer_report& report);

  /** Drops expired reports. */
  void DropExpired(time_point now);

  /** Sets what the peers know about each endpoint. */
  void Apply(time_point now, endpoint_registry& registry) const;

  /** @return number of other daemons with a report that has not expired. */
  std::size_t Size() const { return reports_.size(); }

 private:
  struct received_report {
    peer_report report;
    time_point received_at;
  };

  std::map<std::string, received_report> reports_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_PEER_LOADS_H_
