#ifndef TARRAGON_FAKES_FAKE_ENDPOINT_FAULT_STATE_H_
#define TARRAGON_FAKES_FAKE_ENDPOINT_FAULT_STATE_H_

#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "tarragon/base/clock.h"

namespace tarragon::fakes {

/** Lasting faults of an endpoint; several may be active at once. Thread-safe. */
class fault_state final {
 public:
  /**
   * Sets the fault that a `POST /fault` body describes. The caller carries out `die` and `silent`,
   * which act at once.
   * @return the error in the body; empty if the fault is active.
   */
  std::string Set(const nlohmann::json& fault, time_point now);

  /** @return factor by which steps and executions take longer; 1 without a fault. */
  double SlowFactor(time_point now) const;
  /** Sleeps while a freeze is active. */
  void WaitWhileFrozen(const clock& time) const;
  /** @return delay of each response. */
  duration ResponseDelay(time_point now) const;
  bool IsLeaving() const;
  /** @return whether the endpoint is leaving and now declines new requests. */
  bool IsLeaveGraceOver(time_point now) const;
  /** @return whether the endpoint must exit because of the prompt. */
  bool ShouldCrashOn(std::string_view prompt) const;
  /** @return whether the next response is to carry the tokens of another generation; decrements the
   * count. */
  bool TakeCrossed();

 private:
  bool IsFrozen(time_point now) const;

  struct timed_fault {
    double value = 0;
    time_point until{};
  };
  struct faults {
    timed_fault slow;
    timed_fault late_ms;
    time_point frozen_until{};
    bool leaving = false;
    time_point leave_grace_end{};
    std::string crash_text;
    int crossed = 0;
  };

  mutable std::mutex mutex_;
  faults faults_;
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_ENDPOINT_FAULT_STATE_H_
