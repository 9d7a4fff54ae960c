#include "fakes/fake_endpoint/fault_state.h"

#include <chrono>
#include <thread>

namespace tarragon::fakes {

namespace {

using std::chrono::milliseconds;

double NumberOr(const nlohmann::json& body, const char* key, double fallback) {
  const auto found = body.find(key);
  return found != body.end() && found->is_number() ? found->get<double>() : fallback;
}

duration Milliseconds(double count) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(count));
}

time_point FaultEnd(const nlohmann::json& body, time_point now) {
  const double for_ms = NumberOr(body, "for_ms", 0);
  return for_ms > 0 ? now + Milliseconds(for_ms) : time_point::max();
}

}  // namespace

std::string fault_state::Set(const nlohmann::json& fault, time_point now) {
  const std::string kind = fault.value("kind", nlohmann::json()).is_string()
                               ? fault["kind"].get<std::string>()
                               : std::string();
  std::lock_guard lock(mutex_);
  if (kind == "none") {
    faults_ = {};
  } else if (kind == "slow") {
    const double factor = NumberOr(fault, "factor", 5);
    if (factor < 1) {
      return "expected a factor of at least 1";
    }
    faults_.slow = {factor, FaultEnd(fault, now)};
  } else if (kind == "late") {
    faults_.late_ms = {NumberOr(fault, "ms", 1000), FaultEnd(fault, now)};
  } else if (kind == "freeze") {
    faults_.frozen_until = now + Milliseconds(NumberOr(fault, "ms", 1000));
  } else if (kind == "leave") {
    faults_.leaving = true;
    faults_.leave_grace_end = now + Milliseconds(NumberOr(fault, "grace_ms", 3000));
  } else if (kind == "die_on_prompt") {
    if (!fault.contains("text") || !fault["text"].is_string() || fault["text"].empty()) {
      return "expected a text that is part of the prompt";
    }
    faults_.crash_text = fault["text"].get<std::string>();
  } else if (kind == "crossed") {
    faults_.crossed = static_cast<int>(NumberOr(fault, "count", 1));
  } else if (kind != "die" && kind != "silent") {
    return "expected a kind: slow, freeze, die, die_on_prompt, silent, late, crossed, leave, none";
  }
  return {};
}

double fault_state::SlowFactor(time_point now) const {
  std::lock_guard lock(mutex_);
  return now < faults_.slow.until ? faults_.slow.value : 1;
}

void fault_state::WaitWhileFrozen(const clock& time) const {
  // Sleeps briefly each time, because the fault `none` may end a freeze early.
  while (IsFrozen(time.Now())) {
    std::this_thread::sleep_for(milliseconds(1));
  }
}

bool fault_state::IsFrozen(time_point now) const {
  std::lock_guard lock(mutex_);
  return now < faults_.frozen_until;
}

duration fault_state::ResponseDelay(time_point now) const {
  std::lock_guard lock(mutex_);
  return now < faults_.late_ms.until ? Milliseconds(faults_.late_ms.value) : duration::zero();
}

bool fault_state::IsLeaving() const {
  std::lock_guard lock(mutex_);
  return faults_.leaving;
}

bool fault_state::IsLeaveGraceOver(time_point now) const {
  std::lock_guard lock(mutex_);
  return faults_.leaving && now >= faults_.leave_grace_end;
}

bool fault_state::ShouldCrashOn(std::string_view prompt) const {
  std::lock_guard lock(mutex_);
  return !faults_.crash_text.empty() && prompt.find(faults_.crash_text) != std::string_view::npos;
}

bool fault_state::TakeCrossed() {
  std::lock_guard lock(mutex_);
  if (faults_.crossed <= 0) {
    return false;
  }
  --faults_.crossed;
  return true;
}

}  // namespace tarragon::fakes
