#ifndef TARRAGON_DECISION_ENDPOINT_TABLE_H_
#define TARRAGON_DECISION_ENDPOINT_TABLE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/base/ids.h"
#include "tarragon/decision/event.h"
#include "tarragon/document/operating_document.h"
#include "tarragon/policy/endpoint_index.h"

namespace tarragon::decision {

/** State of one endpoint, apart from its attempts. */
struct endpoint_state {
  endpoint_name name;
  /** Constant while the endpoint is listed; reused for other endpoints afterwards. */
  policy::endpoint_index index = 0;
  std::uint32_t gossip_hash = 0;
  std::string service;
  std::string failure_domain;
  bool in_document = false;
  bool leaving_in_document = false;
  bool leaving_in_list = false;
  bool leaving_by_report = false;
  /** First failed connect since the last successful one. */
  std::optional<time_point> failing_since;
  time_point last_failure;
  /** New work avoids the endpoint until this time, after a failed connect or a decline. */
  time_point blocked_until;
  load_reported load;
  time_point load_measured_at;

  /** A leaving endpoint receives no new work; streams that run there may be resumed. */
  bool is_leaving() const {
    return !in_document || leaving_in_document || leaving_in_list || leaving_by_report;
  }
};

/** The endpoints of the document, and removed endpoints that still have attempts in flight. */
class endpoint_table final {
 public:
  void ApplyDocument(const document::operating_document& document);

  /** Removes and returns the endpoints outside the document for which `is_unused` is true. */
  std::vector<endpoint_state> RemoveUnused(
      const std::function<bool(const endpoint_state&)>& is_unused);

  void SetLeavingInList(const std::vector<endpoint_name>& leaving);
  void RecordLoad(time_point now, const load_reported& report);

  /** Records a successful connection, which resets the failed connects. */
  void RecordConnected(const endpoint_name& name);

  /**
   * Records a failed connect. `failing_since` restarts if the last failure is older than
   * `loss_timeout`.
   * @param backoff time for which new work avoids the endpoint.
   */
  void RecordConnectFailure(time_point now,
                            const endpoint_name& name,
                            std::chrono::milliseconds loss_timeout,
                            std::chrono::milliseconds backoff);

  /** @return how long connects have failed; zero if the last one succeeded. */
  duration UnreachableFor(time_point now, const endpoint_name& name) const;

  /** Makes new work avoid the endpoint until the given time. */
  void BlockUntil(const endpoint_name& name, time_point until);

  /** @return the endpoint, or null if it is not listed. */
  const endpoint_state* Find(const endpoint_name& name) const;

  /** @return endpoints of the service in order of name, including leaving ones. */
  const std::vector<const endpoint_state*>& FindByService(const std::string& service) const;

  const std::map<endpoint_name, endpoint_state>& all() const { return endpoints_; }

 private:
  policy::endpoint_index AllocateIndex();

  std::map<endpoint_name, endpoint_state> endpoints_;
  std::map<std::string, std::vector<const endpoint_state*>> by_service_;
  std::vector<endpoint_name> leaving_in_list_;
  std::vector<policy::endpoint_index> free_indices_;
  policy::endpoint_index next_index_ = 0;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_ENDPOINT_TABLE_H_
