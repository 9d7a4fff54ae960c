#ifndef TARRAGON_POLICY_OUTLIER_DETECTOR_H_
#define TARRAGON_POLICY_OUTLIER_DETECTOR_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/policy/endpoint_index.h"

namespace tarragon::policy {

enum class endpoint_health : std::uint8_t {
  kHealthy,
  /** Excluded: no request may be sent. */
  kEjected,
  /** One probe request at a time may be sent, announced with `BeginProbe`. */
  kHalfOpen,
};

/** Kind of a measured latency. Only latencies of the same kind are compared. */
enum class latency_kind : std::uint8_t { kBetweenTokens, kService };

struct outlier_options {
  /** Largest fraction of the endpoints that may be ejected or half-open. */
  double max_ejected_share = 0.3;
  /** Ratio of latency to the median of all endpoints at which an endpoint is ejected. */
  double eject_factor = 3;
  /** Ratio of latency to the median below which a probe counts as successful. */
  double recovery_factor = 2;
  std::uint32_t min_samples = 8;
  std::uint32_t consecutive_failures_to_eject = 3;
  std::uint32_t successful_probes_to_reinstate = 3;
  /** First ejection time; it doubles with each further ejection, up to `max_ejection`. */
  duration base_ejection = std::chrono::seconds(2);
  duration max_ejection = std::chrono::seconds(30);
  /** A probe without an outcome fails after this time. */
  duration probe_timeout = std::chrono::seconds(5);
  /** Largest value of `LatencyFactor`. */
  double max_latency_factor = 16;
};

/**
 * Ejects slow or failing endpoints of one service. Judges them by the latencies and failures that
 * this entry observed itself, not by the endpoints' reports.
 */
class outlier_detector final {
 public:
  explicit outlier_detector(outlier_options options = {});

  /** Adds an endpoint; does nothing if it is known. */
  void Add(endpoint_index endpoint);
  /** Removes an endpoint; reinstates others if more than `MaxEjected` would be ejected then. */
  void Remove(endpoint_index endpoint);

  /**
   * @param latency mean inter-token latency since the last call for this stream, or the duration of
   *     a whole service call. Latencies are smoothed over time, so frequent calls cost only CPU
   *     time.
   */
  void RecordLatency(time_point now, endpoint_index endpoint, latency_kind kind, duration latency);
  /** Records a failure caused by the endpoint: connect failure, lost connection, no data, 5xx. */
  void RecordFailure(time_point now, endpoint_index endpoint);
  /**
   * Records a successful attempt, which resets the count of consecutive failures. For a probe that
   * is a long generation, call it once some tokens have been recorded rather than at the end.
   */
  void RecordSuccess(time_point now, endpoint_index endpoint);

  /** Compares all endpoints and updates their health; call every 50 to 250 ms. */
  void Update(time_point now);

  endpoint_health Health(endpoint_index endpoint) const;
  /** @return whether the endpoint is healthy, or half-open without a probe in flight. */
  bool CanSend(endpoint_index endpoint) const;
  /** Marks the request that is about to be sent to a half-open endpoint as its probe. */
  void BeginProbe(time_point now, endpoint_index endpoint);

  /** @return ratio of latency to the median, from 1 to `max_latency_factor`; 1 if unknown. */
  double LatencyFactor(endpoint_index endpoint) const;

  /** @return median of the endpoints' smoothed latencies; zero if too few of them are known. */
  duration Median(latency_kind kind) const;

  /** @return number of endpoints that are ejected or half-open. */
  std::size_t EjectedCount() const { return ejected_count_; }
  std::size_t MaxEjected() const;

  void Validate() const;

 private:
  static constexpr std::size_t kLatencyKinds = 2;

  struct smoothed_latency {
    double seconds = 0;
    std::uint32_t samples = 0;
    time_point updated{};
  };

  struct endpoint_state {
    bool known = false;
    endpoint_health health = endpoint_health::kHealthy;
    smoothed_latency latency[kLatencyKinds];
    double factor = 1;
    std::uint32_t consecutive_failures = 0;
    std::uint32_t successful_probes = 0;
    std::uint32_t ejections = 0;
    time_point ejected_until{};
    bool is_probing = false;
    time_point probe_started{};
  };

  endpoint_state* FindEndpoint(endpoint_index endpoint);
  const endpoint_state* FindEndpoint(endpoint_index endpoint) const;
  bool Eject(time_point now, endpoint_state& state);
  void ExtendEjection(time_point now, endpoint_state& state);
  void Reinstate(endpoint_state& state);
  void OnEjectionExpired(time_point now, endpoint_state& state);
  void EjectSlowest(time_point now);
  void UpdateMedians(time_point now);
  double ComputeLatencyFactor(time_point now,
                              const endpoint_state& state,
                              std::uint32_t min_samples) const;

  outlier_options options_;
  std::vector<endpoint_state> endpoints_;
  std::vector<double> latency_scratch_;
  double median_seconds_[kLatencyKinds] = {0, 0};
  std::size_t endpoint_count_ = 0;
  std::size_t ejected_count_ = 0;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_OUTLIER_DETECTOR_H_
