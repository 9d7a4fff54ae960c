#ifndef TARRAGON_NET_CONTROL_PROCESS_H_
#define TARRAGON_NET_CONTROL_PROCESS_H_

#include <memory>

#include "tarragon/base/clock.h"
#include "tarragon/settings/control_settings.h"

namespace tarragon {
class metrics;
}

namespace tarragon::net {

/**
 * All threads of one control process: one keeps the lease, one reads the document, some read the
 * engines and send orders while the lease is held.
 */
class control_process final {
 public:
  control_process(settings::control_settings settings, const clock& time);
  /** Stops as `Stop` does. */
  ~control_process();

  /** @return false if the health address cannot be bound or the platform's is invalid. */
  bool Start();

  /** @return whether this process may send orders now. */
  bool HoldsLease() const;

  /** @return port of health and metrics. */
  int health_port() const;

  /** Gives the lease back if the platform can be reached, then ends all threads. Idempotent. */
  void Stop();

  metrics& counters();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_CONTROL_PROCESS_H_
