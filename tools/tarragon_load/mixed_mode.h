#ifndef TARRAGON_TOOLS_TARRAGON_LOAD_MIXED_MODE_H_
#define TARRAGON_TOOLS_TARRAGON_LOAD_MIXED_MODE_H_

namespace tarragon::load {

/**
 * Sends mixed requests at scheduled times, as the flags say, and writes a report.
 * @return exit code: 1 if an answer was wrong or lost, or a stand-in contradicts a verdict.
 */
int RunMixed();

}  // namespace tarragon::load

#endif  // TARRAGON_TOOLS_TARRAGON_LOAD_MIXED_MODE_H_
