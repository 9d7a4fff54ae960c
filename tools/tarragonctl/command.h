#ifndef TARRAGON_TOOLS_TARRAGONCTL_COMMAND_H_
#define TARRAGON_TOOLS_TARRAGONCTL_COMMAND_H_

#include <chrono>
#include <string>
#include <vector>

#include "admin_client.h"

namespace tarragon::ctl {

/** Exit codes of the program. */
enum exit_code : int {
  kExitOk = 0,
  /** The request was rejected; nothing changed. */
  kExitRefused = 1,
  /** The arguments are invalid. */
  kExitUsage = 2,
  /** The section has changed since the base version; the edit was not applied. */
  kExitConflict = 3,
  /** No response, or a 503. An edit may have been applied if the message says so. */
  kExitUnavailable = 4,
  /** The change was not in force on every VM before the timeout. */
  kExitTimeout = 5,
};

/** Arguments, flags and client of a command. */
struct command_context {
  const admin_client& client;
  std::vector<std::string> arguments;
  bool json = false;
  bool wait = false;
  std::chrono::milliseconds timeout{30000};
  /** Section version that the edit is based on; 0 if not given. */
  std::uint64_t base_version = 0;
  std::string author;
};

/** Prints the error and a remedy to standard error. @return the exit code for `response`. */
int ReportFailure(const admin_response& response);

/** @return the version in the `ETag` header, or 0 if there is none. */
std::uint64_t ParseETagVersion(const admin_response& response);

/** Waits until `document_version` is in force on every live VM; prints its progress. */
int WaitInForce(const command_context& context, std::uint64_t document_version);

int RunSection(const command_context& context);
int RunInit(const command_context& context);
int RunFleet(const command_context& context);
int RunRollout(const command_context& context);
int RunStatus(const command_context& context);
/** Prints the log events of one request from log files or standard input, without a server. */
int RunExplain(const command_context& context);

}  // namespace tarragon::ctl

#endif  // TARRAGON_TOOLS_TARRAGONCTL_COMMAND_H_
