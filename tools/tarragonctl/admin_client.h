#ifndef TARRAGON_TOOLS_TARRAGONCTL_ADMIN_CLIENT_H_
#define TARRAGON_TOOLS_TARRAGONCTL_ADMIN_CLIENT_H_

#include <map>
#include <optional>
#include <string>

namespace tarragon::ctl {

/** Answer of an entry's admin API; `status` 0 means that there was none. */
struct admin_answer {
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
};

/** One call to the admin API. */
struct admin_call {
  std::string method = "GET";
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
};

/** Calls the admin API of one entry with a team's token. */
class admin_client final {
 public:
  /** @param server `ip:port` of an entry or of the load balancer. @return empty if it is neither.
   */
  static std::optional<admin_client> Make(const std::string& server, std::string token);

  /**
   * Repeats a call that the platform did not answer: reads, and writes that carry an `Edit-Id`,
   * have no further effect when repeated.
   */
  admin_answer Call(const admin_call& call) const;

  /** As `Call` with `GET`. */
  admin_answer Get(const std::string& path) const;

 private:
  admin_client(std::string ip, int port, std::string token);
  admin_answer CallOnce(const admin_call& call) const;

  std::string ip_;
  int port_;
  std::string token_;
};

}  // namespace tarragon::ctl

#endif  // TARRAGON_TOOLS_TARRAGONCTL_ADMIN_CLIENT_H_
