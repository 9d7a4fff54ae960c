#ifndef TARRAGON_TESTS_EMULATOR_EXECUTION_RECORD_H_
#define TARRAGON_TESTS_EMULATOR_EXECUTION_RECORD_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tarragon/base/clock.h"

namespace tarragon::emulator {

/** A request that has reached an endpoint. */
struct request_arrival {
  std::string endpoint;
  std::string request;
  time_point at;
};

/** A pause that an endpoint has stated when it turned a request away. */
struct stated_pause {
  std::string endpoint;
  std::string request;
  time_point at;
  std::chrono::milliseconds pause{0};
};

/** Runs of each request at the endpoints, by request id; used to check the gateway's guarantees. */
class execution_record final {
 public:
  explicit execution_record(const clock& time) : time_(time) {}

  /** @param continued whether the run resumes an earlier one. */
  void RecordStart(const std::string& request, const std::string& endpoint, bool continued);
  void RecordEnd(const std::string& request, const std::string& endpoint);

  /** Records that an endpoint has got a request, whether it runs it or not. */
  void RecordArrival(const std::string& endpoint, const std::string& request);
  /** Records that an endpoint turns a request away and wants no others for `pause`. */
  void RecordPause(const std::string& endpoint,
                   const std::string& request,
                   std::chrono::milliseconds pause);

  const std::vector<request_arrival>& request_arrivals() const { return request_arrivals_; }
  const std::vector<stated_pause>& pauses() const { return pauses_; }

  /** @return the most requests that an endpoint has got within `window`, from `start` on. */
  std::size_t MaxArrivals(const std::string& endpoint, time_point start, duration window) const;

  /** @return number of runs that did not continue an earlier one. */
  int RunCount(const std::string& request) const;

  /** @return requests that ran at two endpoints at once for longer than a handover may overlap. */
  std::vector<std::string> ConcurrentRuns() const;

 private:
  /** The platform allows two runs of one generation to overlap for this long. */
  static constexpr std::chrono::milliseconds kMaxHandoverOverlap{400};

  const clock& time_;
  std::map<std::string, int> runs_;
  /** By endpoint, the earliest first. */
  std::map<std::string, std::vector<time_point>> arrivals_;
  std::vector<request_arrival> request_arrivals_;
  std::vector<stated_pause> pauses_;
  std::map<std::string, std::map<std::string, time_point>> running_;
  std::set<std::string> concurrent_;
};

}  // namespace tarragon::emulator

#endif  // TARRAGON_TESTS_EMULATOR_EXECUTION_RECORD_H_
