#ifndef TARRAGON_ROUTING_ENDPOINT_PICKER_H_
#define TARRAGON_ROUTING_ENDPOINT_PICKER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/routing/endpoint_registry.h"
#include "tarragon/routing/service_config.h"

namespace tarragon::routing {

/** Tokens that a request needs at an engine; all zero for calls to plain services. */
struct work_size {
  std::uint32_t prompt_tokens = 0;
  /** Predicted length of the output. */
  std::uint32_t output_tokens = 0;
  /** Longest output that the caller allows. The prediction is often far too low. */
  std::uint32_t max_output_tokens = 0;

  std::uint64_t tokens() const { return std::uint64_t{prompt_tokens} + output_tokens; }
};

/** Parameters of the score: the predicted time to the answer plus a penalty per drawback. */
struct picker_options {
  /**
   * Prefill speed of an engine between the decode steps of other streams: half of the speed of an
   * idle engine in the data sheets of both sites.
   */
  double prefill_tokens_per_ms = 7;
  /** Added for each generation in flight, since each one lengthens every decode step. */
  double generation_penalty_ms = 3;
  /** Added for each consecutive failure of the endpoint. */
  double failure_penalty_ms = 50;
  /** Added for an endpoint in another failure domain: round trip and cost of the traffic. */
  double cross_domain_penalty_ms = 3;
  /** Added for an endpoint that is still warming up. */
  double warm_up_penalty_ms = 30;
  /**
   * Added for a long stream at an engine that is predicted to miss the pause objective. A stream
   * that misses the objective counts as late, as does one whose first event comes after
   * 1.5 to 1.8 s on both sites.
   */
  double missed_pause_penalty_ms = 1400;
  /** Added for a long stream without a prediction; a third of the engines may be slow. */
  double unknown_pause_penalty_ms = 600;
  /**
   * Added for each long stream in flight at an engine whose streams miss the pause objective during
   * a prefill. A prefill takes 300 to 600 ms, and about every second one coincides with a temporary
   * slowdown of the machine.
   */
  double disturbed_stream_penalty_ms = 250;
  /**
   * Added for other requests at engines that meet the pause objective, to keep these free for long
   * streams. It is the time to prefill half of a short prompt, so that these engines are used as
   * soon as the others have a backlog.
   */
  double reserved_engine_penalty_ms = 100;
  /** Minimum output of a long stream; the risk of a long pause grows with the number of events. */
  std::uint32_t min_long_output_tokens = 120;
  /** Typical duration of a call to a plain service; scales the backlog in front of a new call. */
  double plain_call_ms = 60;
  /** Factor on the weight of a copy target in the preferred failure domain. */
  std::uint64_t preferred_domain_factor = 4;
  /**
   * Factor on the weight of an engine that is not known to meet the pause objective, as a target of
   * backups. Equal to the factor of the preferred failure domain.
   */
  std::uint64_t backup_target_factor = 4;
  /**
   * Divides the weight of an engine without a pause prediction, as a target of standby copies: in
   * some fleets a third of the engines is slow.
   */
  std::uint64_t unknown_pause_divisor = 4;
  /**
   * Range of a random addition to the score, different for each request and endpoint. Many daemons
   * see the same loads, and would all choose the same of several similar endpoints.
   */
  double spread_ms = 15;
  /** Share of an engine's KV cache that predicted needs may fill before the engine is full. */
  double max_memory_share = 0.95;
  /**
   * Same for an engine that is to hold a backup. Backups are precautions: where memory is scarce,
   * it serves generations, and those of a leaving engine are copied at its notice.
   */
  double max_backup_memory_share = 0.6;
  /**
   * Share of an engine's KV cache up to which the size of a request is considered. A larger request
   * would hardly ever find that much free memory at a busy engine, and would never run.
   */
  double max_considered_share = 0.4;
};

/** A request for which an endpoint is to be picked. */
struct pick_request {
  std::string service;
  work_size size;
  /** Null for plain services. */
  const engine_limits* engine = nullptr;
  std::string own_failure_domain;
  /** Promised maximum pause between two events of the stream; zero if there is no promise. */
  std::chrono::milliseconds pause_objective{0};
  /** Failure domain that `PickCopyTarget` prefers; empty for no preference. */
  std::string preferred_failure_domain;
  /** Share of an engine's KV cache that the request may fill; empty for the picker's own. */
  std::optional<double> memory_share;
  /** Random bits for the choice among similar endpoints; 0 for none. */
  std::uint64_t entropy = 0;
  /** Estimated number of requests of all daemons that want the same room at limited endpoints. */
  double contenders = 1;
  /** Time for which the request has contended for room. */
  duration waited{0};
  /** The request is a stream whose caller has received a part of the response. */
  bool has_begun = false;
  /** Ids of endpoints that must not be used, such as those that have failed the request. */
  std::vector<std::string> excluded;
  /** Version that began the stream, and the only one at which it may go on; empty for any. */
  std::optional<std::string> software_version;
  /** Callers may take the stream up at daemons that must then know which version began it. */
  bool is_resumable = false;
};

/** Result of `endpoint_picker::Pick` and `PickCopyTarget`. */
struct pick_result {
  /** Null if no endpoint accepts work. */
  endpoint_ptr chosen;
  /** Whether the endpoint takes one more request without exceeding its limit. */
  bool is_within_limit = false;
  /** Whether the endpoint has a free slot and enough memory, by the load of all daemons. */
  bool has_capacity = false;
  /** Predicted time to the answer, penalties included; zero for a copy target with capacity. */
  std::chrono::duration<double, std::milli> expected{0};
  /**
   * Shortest time until an endpoint that was left out because of its limit takes one more request;
   * zero if it has room, but for other requests. Empty if there is no such endpoint.
   */
  std::optional<duration> time_to_room;
  /**
   * Shortest time until an endpoint whose pause keeps it out may be used; empty if there is none,
   * or if another one may be used earlier, after a cooldown.
   */
  std::optional<duration> time_to_end_of_pause;
  /** The service has endpoints, and all of those that the request may use leave. */
  bool all_leave = false;
  /** The software version that began the stream has no endpoint that stays. */
  bool is_version_gone = false;
};

/** Purpose of a copy of a generation's KV cache. */
enum class copy_purpose : std::uint8_t {
  /** Kept up to date by the running engine and used if that engine crashes. */
  kBackup,
  /** Target of a migration: the generation will soon continue there. */
  kStandby,
};

/**
 * Picks the endpoint with the lowest expected time to the answer, those with capacity first. An
 * endpoint that has named a limit gets no more requests than it takes.
 */
class endpoint_picker final {
 public:
  explicit endpoint_picker(picker_options options = {}) : options_(options) {}

  pick_result Pick(time_point now,
                   const endpoint_registry& registry,
                   const pick_request& request) const;

  /** @return whether the candidate's limit allows to send the request there now. */
  static bool TakesByLimit(time_point now, const endpoint& candidate, const pick_request& request);

  /**
   * Picks an engine for a copy of a generation, at random among the engines with capacity and
   * weighted by free memory. All daemons copy the generations of a leaving engine at the same time;
   * a pick by score would send all copies to one engine. Backups prefer engines that miss the pause
   * objective, since long streams need the memory of the others.
   * @param entropy uniform random bits.
   */
  pick_result PickCopyTarget(time_point now,
                             const endpoint_registry& registry,
                             const pick_request& request,
                             copy_purpose purpose,
                             std::uint64_t entropy) const;

  /**
   * @return whether a long stream at the candidate is predicted to miss the request's pause
   *     objective; empty if the engine's pauses cannot be predicted yet.
   */
  static std::optional<bool> MissesPauseObjective(const endpoint_registry& registry,
                                                  const endpoint& candidate,
                                                  const pick_request& request);

  /** @return whether a request of this size may have a long output. */
  bool IsLongOutput(const work_size& size) const;

  /** @return whether the request may have a long output and has a pause objective. */
  bool IsLongStream(const pick_request& request) const;

 private:
  /** @param memory_share share of an engine's KV cache that may be filled. */
  bool HasCapacity(const endpoint& candidate,
                   const pick_request& request,
                   double memory_share) const;
  /** @return predicted time until the answer begins plus the penalties; the lowest score wins. */
  double ScoreMs(time_point now,
                 const endpoint& candidate,
                 const pick_request& request,
                 std::optional<bool> misses_pause_objective) const;
  /** @return the penalties that follow from the pause prediction for the engine. */
  double PausePenaltyMs(const endpoint_load& load,
                        const pick_request& request,
                        std::optional<bool> misses_pause_objective) const;
  std::uint64_t CopyTargetWeight(const endpoint& candidate,
                                 const pick_request& request,
                                 copy_purpose purpose,
                                 std::optional<bool> misses_pause_objective) const;

  picker_options options_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_ENDPOINT_PICKER_H_
