#include "tarragon/routing/store_clock.h"

#include <algorithm>

namespace tarragon::routing {

void store_clock::Record(time_point now, std::uint64_t era, std::chrono::milliseconds store_time) {
  if (era < era_) {
    return;
  }
  if (era > era_) {
    era_ = era;
    era_known_since_ = now;
    current_.reset();
    previous_.reset();
  }
  const std::int64_t number = now.time_since_epoch() / kWindow;
  const duration offset = store_time - now.time_since_epoch();
  if (!current_ || current_->number != number) {
    previous_ = current_;
    current_ = window{number, offset};
    return;
  }
  current_->offset = std::max(current_->offset, offset);
}

duration store_clock::Age(time_point now,
                          std::uint64_t era,
                          std::chrono::milliseconds store_time) const {
  if (era < era_) {
    return now - era_known_since_;
  }
  if (!current_) {
    return duration::zero();
  }
  const duration offset =
      previous_ ? std::max(current_->offset, previous_->offset) : current_->offset;
  return std::max(duration::zero(), now.time_since_epoch() + offset - store_time);
}

}  // namespace tarragon::routing
