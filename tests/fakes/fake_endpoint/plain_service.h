#ifndef TARRAGON_FAKES_FAKE_ENDPOINT_PLAIN_SERVICE_H_
#define TARRAGON_FAKES_FAKE_ENDPOINT_PLAIN_SERVICE_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <thread>

#include "fakes/common/stand_in_server.h"
#include "fakes/fake_endpoint/execution_log.h"
#include "fakes/fake_endpoint/fault_state.h"
#include "fakes/fake_endpoint/load_reporter.h"
#include "tarragon/base/clock.h"

namespace tarragon::fakes {

struct plain_options {
  std::string name;
  /** Maximum number of concurrent executions; other requests wait. */
  std::size_t slots = 16;
  /** Requests are declined while this many wait. */
  std::size_t max_waiting = 64;
  std::chrono::milliseconds service_time{5};
  /** Maximum addition to the service time, uniformly distributed. */
  std::chrono::milliseconds jitter{0};
  std::chrono::milliseconds report_lag{0};
  std::uint64_t seed = 1;
};

/** A plain service that echoes each request and counts how often it was executed. */
class plain_service final {
 public:
  /** @param time, faults outlive the service. */
  plain_service(plain_options options, const clock& time, fault_state& faults);
  ~plain_service();
  plain_service(const plain_service&) = delete;
  plain_service& operator=(const plain_service&) = delete;

  void Register(stand_in_server& server);

 private:
  void HandleCall(const httplib::Request& request, httplib::Response& response);
  bool AcquireSlot();
  void ReleaseSlot();
  duration DrawServiceTime();
  nlohmann::json CurrentLoad() const;
  void RunReports();

  const plain_options options_;
  const clock& clock_;
  fault_state& faults_;
  execution_log log_;
  load_reporter reporter_;
  mutable std::mutex mutex_;
  std::condition_variable slot_free_;
  std::mt19937_64 random_;
  std::size_t running_ = 0;
  std::size_t waiting_ = 0;
  std::uint64_t declined_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread report_thread_;
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_ENDPOINT_PLAIN_SERVICE_H_
