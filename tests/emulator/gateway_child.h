#ifndef TARRAGON_TESTS_EMULATOR_GATEWAY_CHILD_H_
#define TARRAGON_TESTS_EMULATOR_GATEWAY_CHILD_H_

#include <sys/types.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace tarragon::emulator {

struct gateway_options {
  std::string name;
  std::string failure_domain;
  std::string store_address;
  /** Folder for the settings file and the log. */
  std::string folder;
  /** Further tables of the settings file. */
  std::string further_settings = {};
};

/** Which build of the gateway a process runs. */
enum class gateway_build : std::uint8_t {
  kCurrent,
  /** The version in production, from which an upgrade begins. */
  kProduction,
};

/** @return whether the version in production could be built from this checkout's history. */
bool HasProductionBuild();

/** A real `tarragon-gateway` process, killed when this object is destroyed. */
class gateway_child final {
 public:
  explicit gateway_child(gateway_options options);
  ~gateway_child();
  gateway_child(const gateway_child&) = delete;
  gateway_child& operator=(const gateway_child&) = delete;

  /** Starts the process; may be called again, and with another build, once it has exited. */
  void Start(gateway_build build = gateway_build::kCurrent);
  /** Sends a signal to the process if it is running. */
  void SendSignal(int signal) const;
  /** Kills the process and waits until it has exited. */
  void Kill();
  /** @return whether the process has exited; `exit_status` is then valid. */
  bool HasExited();
  /** @return id of the process; 0 if it is not running. */
  pid_t process() const { return process_; }
  int exit_status() const { return exit_status_; }

  const std::string& callers_address() const { return callers_address_; }
  const std::string& readiness_address() const { return readiness_address_; }
  const std::string& peer_address() const { return peer_address_; }
  std::string log_file() const { return options_.folder + "/" + options_.name + ".log"; }

 private:
  gateway_options options_;
  asio::io_context loop_;
  /** Keep other processes from binding the ports while the gateway does not run. */
  std::vector<asio::ip::tcp::acceptor> reserved_;
  std::string callers_address_;
  std::string readiness_address_;
  std::string peer_address_;
  std::string settings_file_;
  pid_t process_ = 0;
  int exit_status_ = -1;
};

}  // namespace tarragon::emulator

#endif  // TARRAGON_TESTS_EMULATOR_GATEWAY_CHILD_H_
