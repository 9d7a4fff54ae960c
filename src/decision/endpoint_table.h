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

/** What is known of one endpoint, apart from the attempts. */
struct endpoint_state {
  endpoint_name name;
  /** Stays the same while the endpoint is listed; used again afterwards. */
  policy::endpoint_index index = 0;
  std::uint32_t gossip_hash = 0;
  std::string service;
  std::string failure_domain;
  bool in_document = false;
  bool leaving_in_document = false;
  bool leaving_in_list = false;
  bool leaving_by_report = false;
  std::optional<time_point> failing_since;
  time_point last_failure;
  /** New work avoids the endpoint until then, after a failed connect or a decline. */
  time_point blocked_until;
  load_reported load;
  time_point load_at;

  /** A leaving endpoint takes no new work; streams that run there may be resumed. */
  bool leaving() const {
    return !in_document || leaving_in_document || leaving_in_list || leaving_by_report;
  }
};

/** All endpoints of the document, and those that left it and still run something. */
class endpoint_table final {
 public:
  void Apply(const document::operating_document& document);

  /** Removes and returns the endpoints that are not in the document and that `is_unused` names. */
  std::vector<endpoint_state> TakeUnused(
      const std::function<bool(const endpoint_state&)>& is_unused);

  void SetLeavingInList(const std::vector<endpoint_name>& leaving);
  void Report(time_point now, const load_reported& report);

  /** Notes that a connection was made, which ends a run of failed connects. */
  void Reached(const endpoint_name& name);

  /**
   * Notes a failed connect. Failures further apart than `loss_timeout` do not belong to one run.
   * @param backoff time for which new work avoids the endpoint.
   */
  void ConnectFailed(time_point now,
                     const endpoint_name& name,
                     std::chrono::milliseconds loss_timeout,
                     std::chrono::milliseconds backoff);

  /** @return how long connects have failed; zero if the last one was made. */
  duration UnreachableFor(time_point now, const endpoint_name& name) const;

  void Block(const endpoint_name& name, time_point until);

  /** @return the endpoint, or null if the document never named it. */
  const endpoint_state* Find(const endpoint_name& name) const;

  /** @return endpoints of the service in order of name; leaving ones included. */
  const std::vector<const endpoint_state*>& OfService(const std::string& service) const;

  const std::map<endpoint_name, endpoint_state>& all() const { return endpoints_; }

 private:
  policy::endpoint_index TakeIndex();

  std::map<endpoint_name, endpoint_state> endpoints_;
  std::map<std::string, std::vector<const endpoint_state*>> by_service_;
  std::vector<endpoint_name> list_leaving_;
  std::vector<policy::endpoint_index> free_indices_;
  policy::endpoint_index next_index_ = 0;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_ENDPOINT_TABLE_H_
