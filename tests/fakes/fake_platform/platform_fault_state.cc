#include "fakes/fake_platform/platform_fault_state.h"

#include <chrono>

namespace tarragon::fakes {

namespace {

double NumberOr(const nlohmann::json& body, const char* key, double fallback) {
  const auto found = body.find(key);
  return found != body.end() && found->is_number() ? found->get<double>() : fallback;
}

duration Milliseconds(double count) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(count));
}

}  // namespace

platform_fault_state::platform_fault_state(std::uint64_t seed) : random_(seed) {}

std::string platform_fault_state::Set(const nlohmann::json& fault_body, time_point now) {
  const nlohmann::json kind = fault_body.value("kind", nlohmann::json());
  const double for_ms = NumberOr(fault_body, "for_ms", 0);
  const fault set{.share = NumberOr(fault_body, "share", 1),
                  .until = for_ms > 0 ? now + Milliseconds(for_ms) : time_point::max(),
                  .delay = Milliseconds(NumberOr(fault_body, "delay_ms", 1000))};
  if (set.share < 0 || set.share > 1) {
    return "expected a share from 0 to 1";
  }
  std::lock_guard lock(mutex_);
  if (kind == "none") {
    outage_ = slow_ = lose_answers_ = {};
  } else if (kind == "outage") {
    outage_ = set;
  } else if (kind == "slow") {
    slow_ = set;
  } else if (kind == "lose_answers") {
    lose_answers_ = set;
  } else {
    return "expected a kind: outage, slow, lose_answers, none";
  }
  return {};
}

bool platform_fault_state::DrawOutage(time_point now) {
  std::lock_guard lock(mutex_);
  return Draw(outage_, now);
}

bool platform_fault_state::DrawLostResponse(time_point now) {
  std::lock_guard lock(mutex_);
  return Draw(lose_answers_, now);
}

duration platform_fault_state::DrawDelay(time_point now) {
  std::lock_guard lock(mutex_);
  return Draw(slow_, now) ? slow_.delay : duration::zero();
}

bool platform_fault_state::Draw(const fault& drawn, time_point now) {
  return now < drawn.until && std::bernoulli_distribution(drawn.share)(random_);
}

}  // namespace tarragon::fakes
