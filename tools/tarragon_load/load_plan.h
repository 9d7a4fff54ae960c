#ifndef TARRAGON_TOOLS_TARRAGON_LOAD_LOAD_PLAN_H_
#define TARRAGON_TOOLS_TARRAGON_LOAD_LOAD_PLAN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace tarragon::load {

using offset = std::chrono::nanoseconds;

enum class request_kind : std::uint8_t { kRead, kShort, kLong, kUnrepeatable };
inline constexpr std::size_t kRequestKinds = 4;

/** Arrival rate and output length of one kind of request. */
struct kind_load {
  /** Arrivals per second at a demand factor of 1. */
  double rate = 0;
  /** Median output length; 0 for calls to plain services. */
  std::uint32_t median_tokens = 0;
};

/** Demand factor over time: `base`, a linear ramp to `peak`, `peak_hold` at it, then `base`. */
struct demand_shape {
  double base = 1;
  double peak = 1;
  offset ramp_start{0};
  offset ramp{0};
  offset peak_hold{0};

  double DemandAt(offset time) const;
};

struct plan_options {
  std::uint64_t seed = 1;
  offset length{0};
  kind_load kinds[kRequestKinds];
  demand_shape demand;
  /** Sigma of the log-normal output lengths; a length is at most twice the median. */
  double sigma = 0.3;
  std::uint32_t accounts = 10;
  std::uint32_t entries = 1;
};

struct planned_request {
  std::uint32_t number = 0;
  offset due{0};
  request_kind kind = request_kind::kRead;
  std::uint32_t account = 0;
  /** Entry of the first attempt, assigned round-robin as by a load balancer. */
  std::uint32_t entry = 0;
  std::uint32_t tokens = 0;
};

/**
 * Draws Poisson arrivals of all kinds. The share of account k is proportional to 1 / (k + 1). For
 * a given seed, the arrivals of a kind do not depend on the rates of the other kinds.
 */
std::vector<planned_request> MakePlan(const plan_options& options);

std::string_view ToString(request_kind kind);

}  // namespace tarragon::load

#endif  // TARRAGON_TOOLS_TARRAGON_LOAD_LOAD_PLAN_H_
