#ifndef TARRAGON_TOOLS_TARRAGON_LOAD_MIXED_MODE_H_
#define TARRAGON_TOOLS_TARRAGON_LOAD_MIXED_MODE_H_

namespace tarragon::load {

/**
 * Sends the mix of requests that the flags describe at scheduled times and writes a report.
 * @return exit code: 1 if an answer was wrong or lost, an endpoint's record contradicts a verdict,
 *         an unrepeatable call ran twice, or the generator could not start a request.
 */
int RunMixedMode();

}  // namespace tarragon::load

#endif  // TARRAGON_TOOLS_TARRAGON_LOAD_MIXED_MODE_H_
