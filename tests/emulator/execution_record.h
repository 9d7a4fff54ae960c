#ifndef TARRAGON_TESTS_EMULATOR_EXECUTION_RECORD_H_
#define TARRAGON_TESTS_EMULATOR_EXECUTION_RECORD_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "tarragon/base/clock.h"

namespace tarragon::emulator {

/** What the endpoints ran, by the id of the request. Against it the promises are checked. */
class execution_record final {
 public:
  explicit execution_record(const clock& time) : time_(time) {}

  /** @param continued whether the run goes on from a copy of the one before. */
  void Began(const std::string& request, const std::string& endpoint, bool continued);
  void Ended(const std::string& request, const std::string& endpoint);

  /** @return runs that did not continue another one. */
  int Runs(const std::string& request) const;

  /** @return requests that ran at two endpoints at once for longer than a hand-over may take. */
  std::vector<std::string> RunningTwice() const;

 private:
  /** Time for which the platform lets two runs of one generation overlap. */
  static constexpr std::chrono::milliseconds kHandOver{400};

  const clock& time_;
  std::map<std::string, int> runs_;
  std::map<std::string, std::map<std::string, time_point>> running_;
  std::set<std::string> twice_;
};

}  // namespace tarragon::emulator

#endif  // TARRAGON_TESTS_EMULATOR_EXECUTION_RECORD_H_
