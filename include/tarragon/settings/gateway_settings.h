#ifndef TARRAGON_SETTINGS_GATEWAY_SETTINGS_H_
#define TARRAGON_SETTINGS_GATEWAY_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::settings {

/** Settings of one gateway process. */
struct gateway_settings {
  std::string vm_name;
  std::string failure_domain;
  /** `ip:port` for callers. */
  std::string callers_address;
  /** `ip:port` for the load balancer's readiness checks. */
  std::string readiness_address;
  /** `ip:port` for metrics; empty disables them. */
  std::string metrics_address;
  /** `ip:port` for UDP and TCP messages between gateways; empty disables them. */
  std::string peer_address;
  /** `ip:port` of the platform's store. */
  std::string store_address;

  /** The whole fleet starts for the first time: the other gateways register at the same time. */
  bool first_start = false;
  /** Time from SIGTERM until the platform kills the process. */
  std::chrono::milliseconds grace_period{8000};
  /**
   * Extra sends allowed per service in `retry_window`: `retry_share` per request of this process,
   * plus `retry_slack` for all gateways together.
   */
  double retry_share = 0.2;
  double retry_slack = 0;
  std::chrono::milliseconds retry_window{10000};

  /** Memory of the VM in bytes, of which callers may use a share; 0 for no limit. */
  std::size_t memory_bytes = 0;
  /** File descriptors that the VM allows, including those that are not sockets; 0 for no limit. */
  std::size_t descriptors = 0;
  /** Maximum number of header lines of a message; 0 for as many as its bytes allow. */
  std::size_t header_lines = 0;

  /**
   * Parses and validates settings.
   * @param file file name for error messages.
   * @param errors receives `file:line: key: expected ...` for each error; may be null.
   * @return empty if there is any error.
   */
  static std::optional<gateway_settings> Make(std::string_view text,
                                              const std::string& file,
                                              std::vector<std::string>* errors);

  /** Like `Make`, with the contents of a file. */
  static std::optional<gateway_settings> Load(const std::string& file,
                                              std::vector<std::string>* errors);
};

}  // namespace tarragon::settings

#endif  // TARRAGON_SETTINGS_GATEWAY_SETTINGS_H_
