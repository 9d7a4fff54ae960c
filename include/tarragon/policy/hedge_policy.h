#ifndef TARRAGON_POLICY_HEDGE_POLICY_H_
#define TARRAGON_POLICY_HEDGE_POLICY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "tarragon/base/clock.h"
#include "tarragon/policy/decaying_histogram.h"

namespace tarragon::policy {

class retry_budget;

struct hedge_options {
  /** A request may be hedged once it has waited longer than this latency quantile of its class. */
  double quantile = 0.95;
  double min_samples = 50;
  /** Minimum delay, so that scheduler jitter does not cause hedges. */
  duration min_delay = std::chrono::milliseconds(5);
};

/** State of a request that may be hedged. */
struct hedge_context {
  std::string_view request_class;
  /** Whether the request may run any number of times. */
  bool repeatable = false;
  /** Number of attempts of the request in flight. */
  std::uint32_t attempts_in_flight = 1;
  /** Tokens or bytes of the response received so far. */
  std::uint32_t tokens_received = 0;
  /** Time since the attempt was sent. */
  duration elapsed{0};
  /** Time left until the deadline. */
  duration time_left{0};
};

/** Decides when a second attempt of a slow request may be sent. */
class hedge_policy final {
 public:
  explicit hedge_policy(hedge_options options = {});

  /** @param latency time from the send to the first token or, for calls, to the response. */
  void Record(std::string_view request_class, duration latency);

  /** @return time to wait before a hedge; empty if the class has too few samples. */
  std::optional<duration> Delay(std::string_view request_class) const;

  /** Withdraws one attempt from `budget` if it returns true. */
  bool ShouldHedge(const hedge_context& context, retry_budget& budget) const;

 private:
  struct class_latency {
    class_latency();
    decaying_histogram samples;
    /** Recomputed only every few samples, because every waiting request reads it. */
    std::optional<duration> delay;
    std::uint32_t samples_since_update = 0;
  };

  hedge_options options_;
  std::map<std::string, class_latency, std::less<>> latencies_;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_HEDGE_POLICY_H_
