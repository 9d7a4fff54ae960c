#ifndef TARRAGON_NET_ENGINE_CLIENT_H_
#define TARRAGON_NET_ENGINE_CLIENT_H_

#include <chrono>
#include <optional>
#include <string>

#include "tarragon/control/engine_order.h"

namespace tarragon::net {

/** Reads the state of model engines and sends them orders over HTTP. Thread-safe. */
class engine_client final {
 public:
  /** @param timeout limit on connecting, and on each wait to read or write. */
  explicit engine_client(std::chrono::milliseconds timeout) : timeout_(timeout) {}

  /**
   * @param address `ip:port`.
   * @return empty if the engine cannot be reached or its response cannot be parsed.
   */
  std::optional<control::engine_report> ReadReport(const endpoint_name& endpoint,
                                                   const std::string& address) const;

  control::order_result SendOrder(const control::engine_order& order,
                                  const std::string& address) const;

 private:
  const std::chrono::milliseconds timeout_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_ENGINE_CLIENT_H_
