#ifndef TARRAGON_TOOLS_TARRAGON_LOAD_LOAD_PLAN_H_
#define TARRAGON_TOOLS_TARRAGON_LOAD_LOAD_PLAN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace tarragon::load {

using offset = std::chrono::nanoseconds;

enum class work_kind : std::uint8_t { kRead, kShort, kLong, kOnce };
inline constexpr std::size_t kWorkKinds = 4;

/** Requests of one kind. */
struct kind_load {
  /** Arrivals per second at a demand of 1. */
  double rate = 0;
  /** Median output length; 0 for calls to plain services. */
  std::uint32_t tokens = 0;
};

/** Demand over time: `base`, risen to `peak` from `start` to `start + rise`, until the hold ends.
 */
struct demand_shape {
  double base = 1;
  double peak = 1;
  offset start{0};
  offset rise{0};
  offset hold{0};

  double At(offset time) const;
};

struct plan_options {
  std::uint64_t seed = 1;
  offset length{0};
  kind_load kinds[kWorkKinds];
  demand_shape demand;
  /** Spread of the output lengths (log-normal); lengths are at most twice the median. */
  double sigma = 0.3;
  std::uint32_t accounts = 10;
  std::uint32_t entries = 1;
};

struct planned_request {
  std::uint32_t number = 0;
  offset due{0};
  work_kind kind = work_kind::kRead;
  std::uint32_t account = 0;
  /** Entry of the first try; a load balancer takes them in turn. */
  std::uint32_t entry = 0;
  std::uint32_t tokens = 0;
};

/**
 * Draws Poisson arrivals of all kinds. Account k gets a share proportional to 1 / (k + 1). The
 * same seed gives each kind the same arrivals whatever the rates of the other kinds are.
 */
std::vector<planned_request> MakePlan(const plan_options& options);

std::string_view ToString(work_kind kind);

}  // namespace tarragon::load

#endif  // TARRAGON_TOOLS_TARRAGON_LOAD_LOAD_PLAN_H_
