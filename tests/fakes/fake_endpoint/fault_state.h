#ifndef TARRAGON_FAKES_FAKE_ENDPOINT_FAULT_STATE_H_
#define TARRAGON_FAKES_FAKE_ENDPOINT_FAULT_STATE_H_

#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "tarragon/base/clock.h"

namespace tarragon::fakes {

/** Faults of an endpoint that last; several may be in force at once. Safe from any thread. */
class fault_state final {
 public:
  /**
   * Sets the fault that a `POST /fault` body describes. `die` and `silent` act at once and are
   * left to the caller.
   * @return what is wrong with the body; empty if the fault is in force.
   */
  std::string Set(const nlohmann::json& fault, time_point now);

  /** @return factor by which everything takes longer; 1 without a fault. */
  double SlowFactor(time_point now) const;
  /** Sleeps while a freeze is in force. */
  void WaitWhileFrozen(const clock& time) const;
  /** @return delay of each answer. */
  duration AnswerDelay(time_point now) const;
  bool IsLeaving() const;
  /** @return whether new work is declined because the endpoint leaves. */
  bool IsClosedForLeaving(time_point now) const;
  bool IsLethal(std::string_view prompt) const;
  /** @return whether the next answer is to carry another generation's tokens; true only once. */
  bool TakeCrossed();

 private:
  bool IsFrozen(time_point now) const;

  struct timed {
    double value = 0;
    time_point until{};
  };
  struct faults {
    timed slow;
    timed late_ms;
    time_point frozen_until{};
    bool leaving = false;
    time_point closes_at{};
    std::string lethal_text;
    int crossed = 0;
  };

  mutable std::mutex mutex_;
  faults faults_;
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_ENDPOINT_FAULT_STATE_H_
