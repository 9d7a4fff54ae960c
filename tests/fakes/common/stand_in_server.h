#ifndef TARRAGON_FAKES_COMMON_STAND_IN_SERVER_H_
#define TARRAGON_FAKES_COMMON_STAND_IN_SERVER_H_

#include <httplib.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "tarragon/base/clock.h"

namespace tarragon::fakes {

class connection_stream;

/** HTTP server with one thread per connection, whose connections can be dropped or silenced. */
class stand_in_server final : public httplib::Server {
 public:
  /**
   * Blocks SIGTERM and SIGINT in the calling thread and in those that it starts later.
   * @param link_delay added to each request and again to each response.
   */
  explicit stand_in_server(duration link_delay);

  /** Listens on `address` (`ip:port`). @return false if the address is invalid or in use. */
  bool Bind(const std::string& address);

  /** Serves until SIGTERM or SIGINT arrives, then exits the process with status 0. */
  void Serve();

  /**
   * Permanently stops all open connections, except that of the calling handler, from carrying
   * bytes. Later connections work.
   */
  void SilenceOpenConnections();

  /** Closes the connection that the calling handler serves, without a response. */
  static void DropCurrentConnection();

  /** @return false once the caller of the request that this thread handles has disconnected. */
  static bool IsCallerPresent();

 private:
  // Overridden because only the stream of a connection gives access to its socket.
  bool process_and_close_socket(socket_t sock) override;
  void ServeConnection(connection_stream& stream);

  duration link_delay_;
  std::mutex mutex_;
  // Shared by the connections opened since the last call of SilenceOpenConnections.
  std::shared_ptr<std::atomic<bool>> silenced_ = std::make_shared<std::atomic<bool>>(false);
};

/** Sets the status and the JSON body of a response. */
void SetJsonResponse(httplib::Response& response, int status, const nlohmann::json& body);

/** Sets a response with the body `{"error":{"code","message"}}`. */
void SetErrorResponse(httplib::Response& response,
                      int status,
                      const std::string& code,
                      const std::string& message);

/** @return the request body, or a discarded value if it is not a JSON object. */
nlohmann::json ParseObject(const std::string& body);

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_COMMON_STAND_IN_SERVER_H_
