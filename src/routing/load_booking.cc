#include "tarragon/routing/load_booking.h"

#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::routing {

load_booking::load_booking(endpoint_ptr target, endpoint_load load)
    : target_(std::move(target)), load_(load) {
  target_->own += load_;
}

load_booking::load_booking(load_booking&& other) noexcept
    : target_(std::move(other.target_)), load_(std::exchange(other.load_, {})) {}

load_booking& load_booking::operator=(load_booking&& other) noexcept {
  if (this != &other) {
    Release();
    target_ = std::move(other.target_);
    load_ = std::exchange(other.load_, {});
  }
  return *this;
}

load_booking::~load_booking() {
  Release();
}

void load_booking::PromptRead() {
  if (target_) {
    target_->own.unread_tokens -= std::exchange(load_.unread_tokens, 0U);
  }
}

void load_booking::Release() {
  if (!target_) {
    return;
  }
  endpoint_load& own = target_->own;
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
