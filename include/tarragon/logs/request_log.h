#ifndef TARRAGON_LOGS_REQUEST_LOG_H_
#define TARRAGON_LOGS_REQUEST_LOG_H_

#include <string>
#include <string_view>
#include <vector>

namespace tarragon::logs {

/** @return the value of `key` in a log line of `key=value` pairs, unquoted; empty if absent. */
std::string LogFieldValue(std::string_view line, std::string_view key);

/**
 * Selects the lines that explain one request from the logs of any number of processes: the lines of
 * the request and, up to its last line, events of the endpoints to which it was sent, configuration
 * changes, process starts and stops, and lost or regained dependencies.
 * @param lines in any order; each holds `time=` and `event=`. Text before these is kept.
 * @return the lines in order of time; empty if no line names the request.
 */
std::vector<std::string> SelectRequestLines(const std::vector<std::string>& lines,
                                            std::string_view request_id);

}  // namespace tarragon::logs

#endif  // TARRAGON_LOGS_REQUEST_LOG_H_
