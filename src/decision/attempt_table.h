#ifndef TARRAGON_DECISION_ATTEMPT_TABLE_H_
#define TARRAGON_DECISION_ATTEMPT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/base/ids.h"
#include "tarragon/base/run_verdict.h"
#include "tarragon/policy/endpoint_index.h"

namespace tarragon::decision {

enum class attempt_phase : std::uint8_t {
  /** Waits to reconnect until `timer_due`; the generation counts as running. */
  kBackoff,
  kSent,
  kAccepted,
  kCancelling,
  /** The request has finished; only the slot and the claim still depend on the outcome. */
  kOrphan,
};

/** One connection to an endpoint for one request. A listed attempt uses a slot of its endpoint. */
struct attempt_record {
  attempt_id id;
  request_id request;
  endpoint_name endpoint;
  policy::endpoint_index index = 0;
  generation_id generation;
  attempt_phase phase = attempt_phase::kSent;
  bool is_resume = false;
  /** The attempt checks whether an unreachable endpoint is back and still runs the generation. */
  bool is_recheck = false;
  /** The endpoint accepted the generation on this or an earlier connection. */
  bool was_accepted = false;
  /** When the endpoint, without having accepted the generation, first reported it as unknown. */
  std::optional<time_point> unknown_since;
  /** The attempt is the only crash suspect that may run at the endpoint. */
  bool holds_suspect_slot = false;
  bool is_long = false;
  bool urgent = false;
  bool has_tokens = false;
  /** Requests in flight at the endpoint from all entries, including this one. */
  std::uint32_t in_flight_at_send = 0;
  /** Tokens received in the current measurement window. */
  std::uint32_t window_tokens = 0;
  /** Tokens that complete the current measurement window; zero before the first token. */
  std::uint32_t tokens_per_update = 0;
  time_point window_start;
  time_point sent_at;
  /** End of the backoff, or the time at which an attempt without an outcome is dropped. */
  time_point timer_due;
  time_point last_activity;
  fingerprint request_fingerprint;
  /** Set for unrepeatable calls, so that a response after the request's end is recorded. */
  std::string claim_account;
  std::string claim_key;
  std::string claim_token;

  run_verdict verdict() const { return has_tokens ? run_verdict::kRan : run_verdict::kMayHaveRun; }
};

/** All attempts whose outcome is not known. */
class attempt_table final {
 public:
  attempt_record& Add(attempt_record record);
  /** @return the attempt, or null if it has ended or never existed. */
  attempt_record* Find(attempt_id id);
  const attempt_record* Find(attempt_id id) const;
  void Remove(attempt_id id);

  /** @return an id that was not returned before. */
  attempt_id NextId() { return {++last_id_}; }

  /** @return ids in ascending order, for an iteration order independent of hashing. */
  std::vector<attempt_id> SortedIds() const;

  struct endpoint_counts {
    std::uint32_t in_flight = 0;
    std::uint32_t suspects = 0;
    std::uint32_t long_requests = 0;
    std::uint32_t urgent = 0;
    bool operator==(const endpoint_counts&) const = default;
  };
  endpoint_counts CountsAt(policy::endpoint_index endpoint) const;
  std::size_t size() const { return records_.size(); }

  /** Checks the counts per endpoint against the listed attempts. */
  void Validate() const;

 private:
  static void AddToCounts(endpoint_counts& counts, const attempt_record& record, int sign);

  std::unordered_map<attempt_id, attempt_record> records_;
  std::vector<endpoint_counts> counts_;
  std::uint64_t last_id_ = 0;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_ATTEMPT_TABLE_H_
