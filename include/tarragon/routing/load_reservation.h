#ifndef TARRAGON_ROUTING_LOAD_RESERVATION_H_
#define TARRAGON_ROUTING_LOAD_RESERVATION_H_

#include "tarragon/routing/endpoint_registry.h"

namespace tarragon::routing {

/** Adds the load of a request to an endpoint's `own_load` until destroyed or released. */
class load_reservation final {
 public:
  load_reservation() = default;
  load_reservation(endpoint_ptr target, endpoint_load load);
  load_reservation(load_reservation&& other) noexcept;
  load_reservation& operator=(load_reservation&& other) noexcept;
  ~load_reservation();

  /** Removes the prompt tokens from the load: the prefill is done and delays no other request. */
  void OnPrefillDone();

  /** Removes the load. Later calls have no effect. */
  void Release();

 private:
  endpoint_ptr target_;
  endpoint_load load_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_LOAD_RESERVATION_H_
