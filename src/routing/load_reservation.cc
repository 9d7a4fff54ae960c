#include "tarragon/routing/load_reservation.h"

#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::routing {

load_reservation::load_reservation(endpoint_ptr target, endpoint_load load)
    : target_(std::move(target)), load_(load) {
  target_->own_load += load_;
}

load_reservation::load_reservation(load_reservation&& other) noexcept
    : target_(std::move(other.target_)), load_(std::exchange(other.load_, {})) {}

load_reservation& load_reservation::operator=(load_reservation&& other) noexcept {
  if (this != &other) {
    Release();
    target_ = std::move(other.target_);
    load_ = std::exchange(other.load_, {});
  }
  return *this;
}

load_reservation::~load_reservation() {
  Release();
}

void load_reservation::OnPrefillDone() {
  if (target_) {
    target_->own_load.unread_tokens -= std::exchange(load_.unread_tokens, 0);
  }
}

void load_reservation::Release() {
  if (!target_) {
    return;
  }
  endpoint_load& own = target_->own_load;
  TARRAGON_INVARIANT(own.requests >= load_.requests && own.tokens >= load_.tokens &&
                         own.unread_tokens >= load_.unread_tokens &&
                         own.long_streams >= load_.long_streams,
                     "the endpoint's own load is less than the reservation to release");
  own.requests -= load_.requests;
  own.tokens -= load_.tokens;
  own.unread_tokens -= load_.unread_tokens;
  own.long_streams -= load_.long_streams;
  target_.reset();
  load_ = {};
}

}  // namespace tarragon::routing
