#ifndef TARRAGON_GATEWAY_READINESS_LOG_H_
#define TARRAGON_GATEWAY_READINESS_LOG_H_

#include "tarragon/gateway/gateway_state.h"
#include "tarragon/gateway/table_replica.h"

namespace tarragon::gateway {

/** Logs when the daemon begins and ceases to be ready, and how old the rows are that it has. */
class readiness_log final {
 public:
  readiness_log(gateway_state& gateway, const table_replica& config, const table_replica& endpoints)
      : gateway_(gateway), config_(config), endpoints_(endpoints) {}

  void Update(bool is_ready);

 private:
  gateway_state& gateway_;
  const table_replica& config_;
  const table_replica& endpoints_;
  bool was_ready_ = false;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_READINESS_LOG_H_
