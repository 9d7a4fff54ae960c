#ifndef TARRAGON_DECISION_POLICY_SET_H_
#define TARRAGON_DECISION_POLICY_SET_H_

#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "decision/attempt_table.h"
#include "decision/endpoint_table.h"
#include "decision/peer_counts.h"
#include "decision/prefix_table.h"
#include "decision/request_record.h"
#include "decision/service_policies.h"
#include "tarragon/decision/engine_options.h"
#include "tarragon/document/operating_document.h"
#include "tarragon/policy/account_limiter.h"
#include "tarragon/policy/concurrency_limiter.h"
#include "tarragon/policy/crash_suspects.h"
#include "tarragon/policy/hedge_policy.h"
#include "tarragon/policy/in_flight_history.h"
#include "tarragon/policy/length_estimator.h"
#include "tarragon/policy/memory_ledger.h"

namespace tarragon::decision {

/** All policies of one engine. They use the same attempts, load reports and gossip. */
class policy_set final {
 public:
  policy_set(const engine_options& options, endpoint_table& endpoints, attempt_table& attempts);

  void ApplyDocument(const document::operating_document& document);
  void OnLoadReport(time_point now, const load_reported& report);
  void OnCacheChange(const cache_changed& change);
  void OnPeerState(time_point now, const peer_state_received& peer);
  void OnPeerLost(const std::string& vm);
  void Tick(time_point now);

  service_policies& ForService(const std::string& service);
  std::map<std::string, service_policies>& services() { return services_; }

  /**
   * @param tokens_so_far tokens that an earlier generation of the request produced.
   * @return output length that the request is predicted to reach, at a high quantile.
   */
  std::uint32_t PredictTokens(const request_record& record, std::uint32_t tokens_so_far) const;

  /** @return median output length of the class and account, at least `max_tokens_produced`. */
  std::uint32_t MedianTokens(const request_record& record) const;

  /** @return time from the first to the last token of a generation of median length. */
  duration MedianDuration(const request_record& record, const service_policies& service) const;

  /** @return whether the request is predicted to be short or long. */
  policy::request_length PredictRequestLength(const request_record& record) const;

  /** @return priority for the model engine: class priority, demoted by output length. */
  int ComputePriority(const request_record& record) const;

  /** Chooses an endpoint for a new attempt. @return null if none has capacity. */
  const endpoint_state* Choose(time_point now,
                               const request_record& record,
                               std::mt19937_64& random);

  /** Records an attempt that is about to be added, and reserves its memory. */
  void OnAttemptAdded(time_point now, const request_record& record, attempt_record& attempt);
  /** Releases what `OnAttemptAdded` reserved; call before the attempt is removed. */
  void OnAttemptRemoved(time_point now, const attempt_record& attempt);

  /** Records the latency of the first token or of the response. */
  void OnFirstAnswer(time_point now, const request_record& record, const attempt_record& attempt);
  /** Counts a token; updates estimates once per measurement window. */
  void OnToken(time_point now, const request_record& record, attempt_record& attempt);
  void OnCompleted(time_point now, const request_record& record, const attempt_record& attempt);
  void OnFailure(time_point now, const request_record& record, const attempt_record& attempt);
  void OnDeclined(const attempt_record& attempt);

  void FillLocalState(time_point now, peer_state& local) const;
  void Validate() const;

  policy::account_limiter accounts;
  policy::crash_suspects suspects;
  policy::hedge_policy hedges;

 private:
  /** Records the mean inter-token latency in the attempt's current measurement window. */
  void RecordInterTokenLatency(time_point now,
                               const request_record& record,
                               const attempt_record& attempt);
  /** Requirements of a request that every candidate endpoint is checked against. */
  struct placement_requirements {
    policy::request_length length = policy::request_length::kShort;
    policy::stream_memory memory;
    /** Share of the requests in flight that are served before the request, in [0, 1]. */
    double share_ahead = 1;
  };

  placement_requirements ComputeRequirements(const request_record& record,
                                             const service_policies& service) const;
  std::uint32_t InFlightAhead(const placement_requirements& requirements,
                              const endpoint_state& endpoint) const;
  bool IsEligible(time_point now,
                  const request_record& record,
                  const service_policies& service,
                  const endpoint_state& endpoint,
                  const placement_requirements& requirements) const;
  policy::endpoint_candidate MakeCandidate(time_point now,
                                           const request_record& record,
                                           const service_policies& service,
                                           const endpoint_state& endpoint) const;
  policy::stream_memory PredictMemory(const request_record& record, std::uint32_t produced) const;
  void UpdateSubset(const document::operating_document& document, const std::string& name);
  void RecordInFlight(time_point now, const attempt_record& attempt, int change);

  const engine_options& options_;
  endpoint_table& endpoints_;
  attempt_table& attempts_;
  std::map<std::string, service_policies> services_;
  policy::memory_ledger memory_;
  policy::concurrency_limiter concurrency_;
  policy::length_estimator lengths_;
  prefix_table prefixes_;
  peer_counts peers_;
  std::unordered_map<policy::endpoint_index, policy::in_flight_history> history_;
  std::vector<policy::endpoint_candidate> candidates_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_POLICY_SET_H_
