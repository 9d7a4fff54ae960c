#include "fakes/fake_endpoint/fault_state.h"

#include <chrono>
#include <thread>

namespace tarragon::fakes {

namespace {

using std::chrono::milliseconds;

double Number(const nlohmann::json& body, const char* key, double fallback) {
  const auto found = body.find(key);
  return found != body.end() && found->is_number() ? found->get<double>() : fallback;
}

duration Milliseconds(double count) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(count));
}

time_point End(const nlohmann::json& body, time_point now) {
  const double for_ms = Number(body, "for_ms", 0);
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
    const double factor = Number(fault, "factor", 5);
    if (factor < 1) {
      return "expected a factor of at least 1";
    }
    faults_.slow = {factor, End(fault, now)};
  } else if (kind == "late") {
    faults_.late_ms = {Number(fault, "ms", 1000), End(fault, now)};
  } else if (kind == "freeze") {
    faults_.frozen_until = now + Milliseconds(Number(fault, "ms", 1000));
  } else if (kind == "leave") {
    faults_.leaving = true;
    faults_.closes_at = now + Milliseconds(Number(fault, "grace_ms", 3000));
  } else if (kind == "die_on_prompt") {
    if (!fault.contains("text") || !fault["text"].is_string() || fault["text"].empty()) {
      return "expected a text that is part of the prompt";
    }
    faults_.lethal_text = fault["text"].get<std::string>();
  } else if (kind == "crossed") {
    faults_.crossed = static_cast<int>(Number(fault, "count", 1));
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
  // In short sleeps, because the fault `none` may end a freeze early.
  while (IsFrozen(time.Now())) {
    std::this_thread::sleep_for(milliseconds(1));
  }
}

bool fault_state::IsFrozen(time_point now) const {
  std::lock_guard lock(mutex_);
  return now < faults_.frozen_until;
}

duration fault_state::AnswerDelay(time_point now) const {
  std::lock_guard lock(mutex_);
  return now < faults_.late_ms.until ? Milliseconds(faults_.late_ms.value) : duration::zero();
}

bool fault_state::IsLeaving() const {
  std::lock_guard lock(mutex_);
  return faults_.leaving;
}

bool fault_state::IsClosedForLeaving(time_point now) const {
  std::lock_guard lock(mutex_);
  return faults_.leaving && now >= faults_.closes_at;
}

bool fault_state::IsLethal(std::string_view prompt) const {
  std::lock_guard lock(mutex_);
  return !faults_.lethal_text.empty() && prompt.find(faults_.lethal_text) != std::string_view::npos;
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
