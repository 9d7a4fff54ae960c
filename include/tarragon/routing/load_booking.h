#ifndef TARRAGON_ROUTING_LOAD_BOOKING_H_
#define TARRAGON_ROUTING_LOAD_BOOKING_H_

#include "tarragon/routing/endpoint_registry.h"

namespace tarragon::routing {

/** Adds the load of a request to an endpoint's `own` load until destroyed or released. */
class load_booking final {
 public:
  load_booking() = default;
  load_booking(endpoint_ptr target, endpoint_load load);
  load_booking(load_booking&& other) noexcept;
  load_booking& operator=(load_booking&& other) noexcept;
  ~load_booking();

  /** Removes the prompt tokens from the load: the prefill is done and delays no other request. */
  void PromptRead();

  /** Removes the load. Later calls have no effect. */
  void Release();

 private:
  endpoint_ptr target_;
  endpoint_load load_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_LOAD_BOOKING_H_
