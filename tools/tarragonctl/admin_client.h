#ifndef TARRAGON_TOOLS_TARRAGONCTL_ADMIN_CLIENT_H_
#define TARRAGON_TOOLS_TARRAGONCTL_ADMIN_CLIENT_H_

#include <map>
#include <optional>
#include <string>

namespace tarragon::ctl {

/** Response of an entry's admin API; `status` is 0 if there was no response. */
struct admin_response {
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
};

/** Request to the admin API. */
struct admin_request {
  std::string method = "GET";
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
};

/** Client of an entry's admin API, authenticated by a team's token. */
class admin_client final {
 public:
  /** @param server `ip:port` of an entry or of the load balancer. @return empty if malformed. */
  static std::optional<admin_client> Make(const std::string& server, std::string token);

  /**
   * Retries after no response or a 503. Retries are safe, because reads and writes that carry an
   * `Edit-Id` are idempotent.
   */
  admin_response Call(const admin_request& request) const;

  /** Sends a `GET` request, with the same retries as `Call`. */
  admin_response Get(const std::string& path) const;

 private:
  admin_client(std::string ip, int port, std::string token);
  admin_response CallOnce(const admin_request& request) const;

  std::string ip_;
  int port_;
  std::string token_;
};

}  // namespace tarragon::ctl

#endif  // TARRAGON_TOOLS_TARRAGONCTL_ADMIN_CLIENT_H_
