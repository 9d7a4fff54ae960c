#ifndef TARRAGON_FAKES_FAKE_PLATFORM_PLATFORM_FAULT_STATE_H_
#define TARRAGON_FAKES_FAKE_PLATFORM_PLATFORM_FAULT_STATE_H_

#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "tarragon/base/clock.h"

namespace tarragon::fakes {

/** Faults of the platform that last; several may be in force at once. Safe from any thread. */
class platform_fault_state final {
 public:
  explicit platform_fault_state(std::uint64_t seed);

  /** @return what is wrong with a `POST /fault` body; empty if the fault is in force. */
  std::string Set(const nlohmann::json& fault, time_point now);

  /** @return whether a call is refused without effect. */
  bool DrawOutage(time_point now);
  /** @return whether the answer to a write that took effect is lost. */
  bool DrawLostAnswer(time_point now);
  /** @return delay of a call before it takes effect. */
  duration DrawDelay(time_point now);

 private:
  struct fault {
    /** Share of the calls that the fault hits. */
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
