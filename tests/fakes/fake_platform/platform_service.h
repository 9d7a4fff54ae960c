#ifndef TARRAGON_FAKES_FAKE_PLATFORM_PLATFORM_SERVICE_H_
#define TARRAGON_FAKES_FAKE_PLATFORM_PLATFORM_SERVICE_H_

#include <atomic>
#include <cstdint>
#include <functional>

#include "fakes/common/stand_in_server.h"
#include "fakes/fake_platform/object_store.h"
#include "fakes/fake_platform/platform_fault_state.h"
#include "fakes/fake_platform/rate_limit.h"
#include "fakes/fake_platform/table.h"
#include "fakes/fake_platform/vm_list.h"
#include "tarragon/base/clock.h"

namespace tarragon::fakes {

struct platform_options {
  /** Rows and objects written per second; 0 for no limit. */
  double write_rate = 400;
  /** Reads per second; each call counts as one. 0 for no limit. */
  double read_rate = 2000;
  /** Weight fetches per second; 0 for no limit. */
  double weight_rate = 2;
  /** Time until a change appears in the list of VMs. */
  duration list_lag = duration::zero();
  std::uint64_t seed = 1;
};

/** HTTP interface of the platform: section 11 of the design page. */
class platform_service final {
 public:
  /** @param time outlives the service. */
  platform_service(platform_options options, const clock& time);

  void Register(stand_in_server& server);

 private:
  struct call_counts {
    std::atomic<std::uint64_t> reads = 0;
    std::atomic<std::uint64_t> writes = 0;
    std::atomic<std::uint64_t> conflicts = 0;
    std::atomic<std::uint64_t> rate_limited = 0;
    std::atomic<std::uint64_t> refused_in_outage = 0;
    std::atomic<std::uint64_t> answers_lost = 0;
    std::atomic<std::uint64_t> weight_fetches = 0;
  };
  using handler = std::function<void(const httplib::Request&, httplib::Response&)>;

  // Applies the faults and the read rate limit before a handler.
  handler WrapRead(handler inner);
  bool AdmitCall(rate_limit& limit, double tokens, httplib::Response& response);
  void FinishWrite();

  void RegisterTable(stand_in_server& server);
  void RegisterObjects(stand_in_server& server);
  void RegisterVms(stand_in_server& server);
  void RegisterControl(stand_in_server& server);

  void HandleTransaction(const httplib::Request& request, httplib::Response& response);
  void HandlePutObject(const httplib::Request& request, httplib::Response& response);
  void HandlePutVm(const httplib::Request& request, httplib::Response& response);

  const clock& clock_;
  platform_fault_state faults_;
  rate_limit write_limit_;
  rate_limit read_limit_;
  rate_limit weight_limit_;
  table table_;
  object_store objects_;
  vm_list vms_;
  call_counts counts_;
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_PLATFORM_PLATFORM_SERVICE_H_
