#include "tarragon/document/document_replica.h"

#include <algorithm>
#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::document {

namespace {

/** @return whether `after` has every section of `before`, none at a lower version. */
bool SectionVersionsNeverDecrease(const operating_document& before,
                                  const operating_document& after) {
  return std::ranges::all_of(before.sections(), [&after](const section& entry) {
    const section* next = after.FindSection(entry.name);
    return next != nullptr && next->version >= entry.version;
  });
}

}  // namespace

void document_replica::AddListener(listener callback) {
  listeners_.push_back(std::move(callback));
}

offer_outcome document_replica::Offer(time_point now, const document_ptr& candidate) {
  TARRAGON_INVARIANT(candidate != nullptr, "offered document must not be null");
  std::lock_guard notify_lock(notify_mutex_);
  {
    std::lock_guard lock(mutex_);
    if (current_ != nullptr) {
      if (candidate->version() == current_->version()) {
        return offer_outcome::kSame;
      }
      if (candidate->version() < current_->version()) {
        return offer_outcome::kOlder;
      }
      if (!SectionVersionsNeverDecrease(*current_, *candidate)) {
        return offer_outcome::kInconsistent;
      }
    }
    current_ = candidate;
    in_force_since_ = now;
    confirmed_at_.reset();
    Validate();
  }
  for (const listener& callback : listeners_) {
    callback(candidate);
  }
  return offer_outcome::kAdopted;
}

void document_replica::Confirm(time_point now, std::uint64_t version) {
  std::lock_guard lock(mutex_);
  if (current_ != nullptr && current_->version() == version) {
    confirmed_at_ = now;
  }
}

document_ptr document_replica::Current() const {
  std::lock_guard lock(mutex_);
  return current_;
}

std::uint64_t document_replica::Version() const {
  std::lock_guard lock(mutex_);
  return current_ == nullptr ? 0 : current_->version();
}

std::optional<time_point> document_replica::InForceSince() const {
  std::lock_guard lock(mutex_);
  return in_force_since_;
}

std::optional<time_point> document_replica::ConfirmedAt() const {
  std::lock_guard lock(mutex_);
  return confirmed_at_;
}

void document_replica::Validate() const {
  TARRAGON_INVARIANT((current_ != nullptr) == in_force_since_.has_value(),
                     "adoption time must be set if and only if a document is in force");
  TARRAGON_INVARIANT(current_ != nullptr || !confirmed_at_,
                     "confirmation time requires a document in force");
}

}  // namespace tarragon::document
