#include "tarragon/gateway/readiness_log.h"

#include <chrono>
#include <cstdint>
#include <utility>

namespace tarragon::gateway {

namespace {

/** @return age of the store's last confirmation of the rows; 0 without rows. */
std::int64_t AgeMs(const table_replica& replica) {
  const duration age = replica.Age().value_or(duration::zero());
  return std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
}

}  // namespace

void readiness_log::Update(bool is_ready) {
  if (std::exchange(was_ready_, is_ready) == is_ready) {
    return;
  }
  gateway_.log.LogState("readiness", {{"ready", is_ready},
                                      {"config", gateway_.config ? gateway_.config->version() : 0},
                                      {"config_age_ms", AgeMs(config_)},
                                      {"endpoints", gateway_.endpoints.all().size()},
                                      {"endpoints_age_ms", AgeMs(endpoints_)}});
}

}  // namespace tarragon::gateway
