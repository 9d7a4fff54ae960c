#ifndef TARRAGON_GATEWAY_GATEWAY_PROCESS_H_
#define TARRAGON_GATEWAY_GATEWAY_PROCESS_H_

#include <memory>

#include "tarragon/base/clock.h"
#include "tarragon/gateway/platform_adapter.h"
#include "tarragon/settings/gateway_settings.h"

namespace tarragon::gateway {

/** A gateway process; runs on one event loop. */
class gateway_process final {
 public:
  /** `adapter` and `time` must outlive the object. */
  gateway_process(settings::gateway_settings settings,
                  const platform_adapter& adapter,
                  const clock& time);
  ~gateway_process();

  /**
   * @param settings_file reloaded on SIGHUP.
   * @return false if one of the addresses cannot be listened on.
   */
  bool Start(const std::string& settings_file);

  /** Runs the event loop until a shutdown has completed. */
  void Run();

  /** Starts a graceful shutdown, as SIGTERM does. May be called from any thread. */
  void Shutdown();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_GATEWAY_PROCESS_H_
