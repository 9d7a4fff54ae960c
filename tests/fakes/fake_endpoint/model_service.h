#ifndef TARRAGON_FAKES_FAKE_ENDPOINT_MODEL_SERVICE_H_
#define TARRAGON_FAKES_FAKE_ENDPOINT_MODEL_SERVICE_H_

#include <mutex>
#include <random>
#include <string>

#include "fakes/common/stand_in_server.h"
#include "fakes/fake_endpoint/desired_state.h"
#include "fakes/fake_endpoint/engine.h"
#include "fakes/fake_endpoint/fault_state.h"
#include "tarragon/base/clock.h"

namespace tarragon::fakes {

/** HTTP interface of a model engine: section 11 of the design page. */
class model_service final {
 public:
  /** All references must outlive the service. */
  model_service(engine& served,
                desired_state& desired,
                fault_state& faults,
                const clock& time,
                duration link_delay,
                std::uint64_t seed);

  void Register(stand_in_server& server);

 private:
  void HandleCompletion(const httplib::Request& request, httplib::Response& response);
  void HandleResume(const httplib::Request& request, httplib::Response& response);
  void HandleCancel(const httplib::Request& request, httplib::Response& response);
  void HandleDesired(const httplib::Request& request, httplib::Response& response);
  void HandleCacheEvents(const httplib::Request& request, httplib::Response& response);
  void RespondWithStream(httplib::Response& response,
                         const generation_ptr& source,
                         const generation_id& reported_id,
                         std::uint32_t from);
  void RespondWhenComplete(httplib::Response& response,
                           const generation_ptr& source,
                           const generation_id& reported_id);
  generation_id MakeId();

  engine& engine_;
  desired_state& desired_;
  fault_state& faults_;
  const clock& clock_;
  const duration link_delay_;
  std::mutex mutex_;
  std::mt19937_64 random_;
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_ENDPOINT_MODEL_SERVICE_H_
