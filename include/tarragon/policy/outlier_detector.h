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
  /** No request may be sent. */
  kEjected,
  /** One request at a time may be sent, announced with `BeginProbe`. */
  kHalfOpen,
};

/** What a duration measured. Only durations of the same kind are compared. */
enum class latency_kind : std::uint8_t { kBetweenTokens, kService };

struct outlier_options {
  /** Largest part of the endpoints that may be ejected or half-open. */
  double max_ejected_share = 0.3;
  /** Latency relative to the median of the peers at which an endpoint is ejected. */
  double eject_factor = 3;
  /** Latency relative to the median below which a probe counts as good. */
  double return_factor = 2;
  std::uint32_t min_samples = 8;
  std::uint32_t consecutive_failures = 3;
  std::uint32_t good_probes_to_return = 3;
  duration base_ejection = std::chrono::seconds(2);
  duration max_ejection = std::chrono::seconds(30);
  /** A probe without an outcome counts as failed after this time. */
  duration probe_timeout = std::chrono::seconds(5);
  /** Largest value of `LatencyFactor`. */
  double max_factor = 16;
};

/** Compares the endpoints of one service by the entry's own observations. */
class outlier_detector final {
 public:
  explicit outlier_detector(outlier_options options = {});

  /** Adds an endpoint; does nothing if it is known. */
  void Add(endpoint_index endpoint);
  /** Forgets an endpoint; brings others back if too many would then be ejected. */
  void Remove(endpoint_index endpoint);

  /**
   * @param latency mean time between tokens since the last call for this stream, or the time of a
   *     whole call. Durations are smoothed, so frequent calls cost only time.
   */
  void RecordLatency(time_point now, endpoint_index endpoint, latency_kind kind, duration latency);
  /** An attempt failed by the endpoint's fault: no connection, lost, silent, 5xx. */
  void RecordFailure(time_point now, endpoint_index endpoint);
  /**
   * An attempt went well; ends a row of failures. For a probe that is a long generation, call it
   * once some tokens have been recorded rather than at the end.
   */
  void RecordSuccess(time_point now, endpoint_index endpoint);

  /** Compares all endpoints and changes their states; call every 50 to 250 ms. */
  void Update(time_point now);

  endpoint_health Health(endpoint_index endpoint) const;
  /** @return whether a request may be sent: healthy, or half-open without a running probe. */
  bool MaySend(endpoint_index endpoint) const;
  /** Marks the request that is now sent to a half-open endpoint as its probe. */
  void BeginProbe(time_point now, endpoint_index endpoint);

  /** @return slowness relative to the median, from 1 to `max_factor`; 1 if unknown. */
  double LatencyFactor(endpoint_index endpoint) const;

  /** @return median of the endpoints' averages; zero if too few are known. */
  duration Median(latency_kind kind) const;

  std::size_t EjectedCount() const { return ejected_count_; }
  std::size_t MaxEjected() const;

  void Validate() const;

 private:
  static constexpr std::size_t kKinds = 2;

  struct smoothed {
    double seconds = 0;
    std::uint32_t samples = 0;
    time_point updated{};
  };

  struct endpoint_state {
    bool known = false;
    endpoint_health health = endpoint_health::kHealthy;
    smoothed latency[kKinds];
    double factor = 1;
    std::uint32_t failures_in_row = 0;
    std::uint32_t good_probes = 0;
    std::uint32_t ejections = 0;
    time_point ejected_until{};
    bool probing = false;
    time_point probe_since{};
  };

  endpoint_state* Find(endpoint_index endpoint);
  const endpoint_state* Find(endpoint_index endpoint) const;
  bool Eject(time_point now, endpoint_state& state);
  void ExtendEjection(time_point now, endpoint_state& state);
  void Return(endpoint_state& state);
  void OpenHalf(time_point now, endpoint_state& state);
  void EjectSlowest(time_point now);
  void UpdateMedians(time_point now);
  double FactorOf(time_point now, const endpoint_state& state, std::uint32_t min_samples) const;

  outlier_options options_;
  std::vector<endpoint_state> endpoints_;
  std::vector<double> scratch_;
  double median_seconds_[kKinds] = {0, 0};
  std::size_t known_count_ = 0;
  std::size_t ejected_count_ = 0;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_OUTLIER_DETECTOR_H_
