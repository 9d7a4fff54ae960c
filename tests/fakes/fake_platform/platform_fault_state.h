#ifndef TARRAGON_FAKES_FAKE_PLATFORM_PLATFORM_FAULT_STATE_H_
#define TARRAGON_FAKES_FAKE_PLATFORM_PLATFORM_FAULT_STATE_H_

#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "tarragon/base/clock.h"

namespace tarragon::fakes {

/** Lasting faults of the platform; several may be active at once. Thread-safe. */
class platform_fault_state final {
 public:
  explicit platform_fault_state(std::uint64_t seed);

  /** @return the error in a `POST /fault` body; empty if the fault is active. */
  std::string Set(const nlohmann::json& fault, time_point now);

  /** @return whether a call is refused and has no effect. */
  bool DrawOutage(time_point now);
  /** @return whether the response to a write that took effect is lost. */
  bool DrawLostResponse(time_point now);
  /** @return delay of a call before it takes effect. */
  duration DrawDelay(time_point now);

 private:
  struct fault {
    /** Probability that the fault affects a call. */
    double share = 0;
    time_point until{};
    duration delay = duration::zero();
  };

  bool Draw(const fault& drawn, time_point now);

  std::mutex mutex_;
  std::mt19937_64 random_;
  fault outage_;
  fault slow_;
  fault lose_answers_;
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_PLATFORM_PLATFORM_FAULT_STATE_H_
