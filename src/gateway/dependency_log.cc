#include "tarragon/gateway/dependency_log.h"

#include <chrono>

namespace tarragon::gateway {

void dependency_log::LogLost(std::string_view reason) {
  lost_at_ = time_.Now();
  log_.LogState("dependency_lost", {{"dependency", dependency_}, {"reason", reason}});
}

void dependency_log::LogStaleRead(const routing::store_version& known,
                                  const routing::store_version& read) {
  log_.LogState("table_read_stale",
                {{"dependency", dependency_}, {"known", known}, {"read", read}});
}

void dependency_log::LogRegained(const store_outage& outage) {
  const auto lost = std::chrono::duration_cast<std::chrono::milliseconds>(time_.Now() - lost_at_);
  log_.LogState("dependency_regained",
                {{"dependency", dependency_},
                 {"lost_ms", lost.count()},
                 {"failed_calls", outage.failed_calls},
                 {"last_wait_ms", outage.last_wait.count()},
                 {"max_back_ms", outage.max_time_back ? outage.max_time_back->count() : -1}});
}

}  // namespace tarragon::gateway
