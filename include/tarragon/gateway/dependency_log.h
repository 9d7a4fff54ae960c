#ifndef TARRAGON_GATEWAY_DEPENDENCY_LOG_H_
#define TARRAGON_GATEWAY_DEPENDENCY_LOG_H_

#include <cstdint>
#include <string_view>

#include "tarragon/base/clock.h"
#include "tarragon/gateway/event_log.h"
#include "tarragon/gateway/table_listener.h"

namespace tarragon::gateway {

/** Logs when a table of the store is lost and regained. */
class dependency_log final {
 public:
  /** @param dependency name of the table in log lines; must outlive the object. */
  dependency_log(event_log& log, const clock& time, std::string_view dependency)
      : log_(log), time_(time), dependency_(dependency) {}

  void LogLost(std::string_view reason);
  void LogStaleRead(const routing::store_version& known, const routing::store_version& read);
  void LogRegained(const store_outage& outage);

 private:
  event_log& log_;
  const clock& time_;
  std::string_view dependency_;
  time_point lost_at_;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_DEPENDENCY_LOG_H_
