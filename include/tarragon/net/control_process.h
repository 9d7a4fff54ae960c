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
 * Runs the threads of a control process. One renews the lease, one polls the document, and one
 * plans polls of engines and orders while the lease is held; a pool of workers carries these out.
 */
class control_process final {
 public:
  control_process(settings::control_settings settings, const clock& time);
  /** Calls `Stop`. */
  ~control_process();

  /** @return false if the health address cannot be bound or the platform address is invalid. */
  bool Start();

  /** @return whether this process may send orders now. */
  bool HoldsLease() const;

  /** @return port that serves health checks and metrics. */
  int health_port() const;

  /** Releases the lease if the platform is reachable, then joins all threads. Idempotent. */
  void Stop();

  metrics& counters();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_CONTROL_PROCESS_H_
