#include "tarragon/routing/load_booking.h"

#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::routing {

load_booking::load_booking(endpoint_ptr where, endpoint_load load)
    : where_(std::move(where)), load_(load) {
  where_->own += load_;
}

load_booking::load_booking(load_booking&& other) noexcept
    : where_(std::move(other.where_)), load_(std::exchange(other.load_, {})) {}

load_booking& load_booking::operator=(load_booking&& other) noexcept {
  if (this != &other) {
    Release();
    where_ = std::move(other.where_);
    load_ = std::exchange(other.load_, {});
  }
  return *this;
}

load_booking::~load_booking() {
  Release();
}

void load_booking::PromptRead() {
  if (where_) {
    where_->own.unread_tokens -= std::exchange(load_.unread_tokens, 0U);
  }
}

void load_booking::Release() {
  if (!where_) {
    return;
  }
  endpoint_load& own = where_->own;
  TARRAGON_INVARIANT(own.requests >= load_.requests && own.tokens >= load_.tokens &&
                         own.unread_tokens >= load_.unread_tokens &&
                         own.long_streams >= load_.long_streams,
                     "a booking was released twice");
  own.requests -= load_.requests;
  own.tokens -= load_.tokens;
  own.unread_tokens -= load_.unread_tokens;
  own.long_streams -= load_.long_streams;
  where_.reset();
  load_ = {};
}

}  // namespace tarragon::routing
