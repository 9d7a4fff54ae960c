#ifndef TARRAGON_ROUTING_PEER_LOADS_H_
#define TARRAGON_ROUTING_PEER_LOADS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/policy/crash_suspects.h"
#include "tarragon/routing/endpoint_registry.h"

namespace tarragon::routing {

/** Requests that one daemon has at one endpoint. */
struct endpoint_count {
  /** XXH3 hash of the endpoint's id. */
  std::uint64_t endpoint_hash = 0;
  endpoint_load load;
  /** By the daemon's own intervals; zero if it does not know it. */
  std::chrono::microseconds pace{0};
  /** Least slowness that the daemon has seen, in percent; zero if none. */
  std::uint16_t least_slowness_percent = 0;
};

/** An endpoint that has begun to leave, or is gone. */
struct endpoint_departure {
  /** XXH3 hash of the endpoint's id. */
  std::uint64_t endpoint_hash = 0;
  /** Version of the row that said so. */
  std::uint64_t row_version = 0;
};

/** What a daemon tells the others of itself. */
struct peer_report {
  std::string daemon;
  /** Start of the process in Unix milliseconds; a later one replaces an earlier one. */
  std::int64_t started_unix_ms = 0;
  /** Rises with each report of a process. */
  std::uint64_t sequence = 0;
  std::vector<endpoint_count> endpoints;
  std::vector<policy::suspect_crashes> suspects;
  /** Of the last seconds; daemons that cannot reach the store learn of them in this way. */
  std::vector<endpoint_departure> departures;
};

/** Sums the reports of the other daemons by endpoint. */
class peer_loads final {
 public:
  /** A report counts for this long; daemons send one at least every half second. */
  static constexpr duration kReportLifetime = std::chrono::milliseconds(2500);

  /** @return false if the report is older than one that is known. */
  bool Take(time_point now, const peer_report& report);

  /** Forgets reports of daemons that are silent. */
  void Expire(time_point now);

  /** Writes the sums into `others` of each endpoint, and passes on paces. */
  void Apply(endpoint_registry& registry) const;

  /** @return daemons heard of lately, without this one. */
  std::size_t Size() const { return reports_.size(); }

 private:
  struct known_report {
    peer_report report;
    time_point received;
  };

  std::map<std::string, known_report> reports_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_PEER_LOADS_H_
