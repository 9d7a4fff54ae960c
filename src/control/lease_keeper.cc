#include "tarragon/control/lease_keeper.h"

#include <algorithm>
#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::control {

using store::store_error;

lease_keeper::lease_keeper(std::string holder, lease_options options)
    : holder_(std::move(holder)), options_(options) {
  TARRAGON_INVARIANT(!holder_.empty(),
                     "holder name must not be empty: an empty name marks a released lease");
  TARRAGON_INVARIANT(options_.renew_interval * 2 <= options_.term,
                     "renew_interval must be at most half the term, so that one failed renewal "
                     "does not lose the lease");
}

std::optional<lease_call> lease_keeper::NextCall(time_point now) {
  if (call_in_flight_ || now < next_call_at_) {
    return std::nullopt;
  }
  const bool row_known = observed_row_ && !unresolved_write_;
  if (row_known && IsRowHeldBySelf()) {
    return StartWrite(now, {resigning_ ? std::string() : holder_,
                            observed_row_->record.fencing_number, ++write_number_, options_.term});
  }
  if (row_known && resigning_) {
    return std::nullopt;
  }
  if (row_known && CanAcquire(now)) {
    return StartWrite(
        now, {holder_, observed_row_->record.fencing_number + 1, ++write_number_, options_.term});
  }
  call_in_flight_ = true;
  return read_lease{};
}

void lease_keeper::OnRead(time_point now, const store::store_result<store::row>& answer) {
  TARRAGON_INVARIANT(call_in_flight_, "received an answer to a read that is not in flight");
  call_in_flight_ = false;
  next_call_at_ = now + options_.poll_interval;
  if (answer.has_error() && answer.error() != store_error::kNotFound) {
    return;
  }
  const std::optional<write_lease> written = std::exchange(unresolved_write_, std::nullopt);
  if (answer.has_error()) {
    RecordObservedRow(now, 0, lease_record{});
    next_call_at_ = now;
    return;
  }
  const std::optional<lease_record> record = lease_record::Decode(answer.value().value);
  if (!record) {
    // Operators must repair a row that cannot be decoded: acquiring the lease over it could reuse a
    // fencing number.
    observed_row_.reset();
    return;
  }
  RecordObservedRow(now, answer.value().version, *record);
  if (IsRowHeldBySelf()) {
    // The row may come from an earlier write of unknown outcome. Only the send time of the last
    // write is known.
    ExtendValidity(written && written->record == *record ? write_sent_at_ + options_.term
                                                         : time_point());
    next_call_at_ = now;
  } else if (CanAcquire(now)) {
    next_call_at_ = now;
  }
  Validate();
}

void lease_keeper::OnWritten(time_point now, const store::store_result<std::uint64_t>& answer) {
  TARRAGON_INVARIANT(call_in_flight_ && unresolved_write_,
                     "received an answer to a write that is not in flight");
  call_in_flight_ = false;
  next_call_at_ = now;
  if (answer.has_value()) {
    RecordObservedRow(now, answer.value(), unresolved_write_->record);
    unresolved_write_.reset();
    if (IsRowHeldBySelf()) {
      ExtendValidity(write_sent_at_ + options_.term);
    }
    next_call_at_ = write_sent_at_ + options_.renew_interval;
    Validate();
    return;
  }
  switch (answer.error()) {
    case store_error::kUnknownOutcome:
    case store_error::kBadAnswer:
      break;  // The unresolved write makes the next call a read.
    case store_error::kConflict:
      // The row has changed since it was last read, so it must be read again.
      unresolved_write_.reset();
      observed_row_.reset();
      break;
    case store_error::kUnavailable:
    case store_error::kNotFound:
    case store_error::kRateLimited:
      unresolved_write_.reset();
      next_call_at_ = now + options_.poll_interval / 2;
      break;
  }
  Validate();
}

void lease_keeper::Resign() {
  resigning_ = true;
  if (!call_in_flight_) {
    next_call_at_ = time_point();
  }
}

bool lease_keeper::IsHeldFor(time_point now, duration work) const {
  return !resigning_ && now + work < valid_until_;
}

bool lease_keeper::HasResigned() const {
  return resigning_ && !call_in_flight_ && !unresolved_write_ && observed_row_ &&
         !IsRowHeldBySelf();
}

void lease_keeper::Validate() const {
  TARRAGON_INVARIANT(valid_until_ == time_point() || fencing_number_ > 0,
                     "a lease holder must have a fencing number");
  TARRAGON_INVARIANT(!unresolved_write_ || unresolved_write_->record.write_number == write_number_,
                     "the unresolved write must be the last write");
  TARRAGON_INVARIANT(!observed_row_ || !IsRowHeldBySelf() ||
                         observed_row_->record.fencing_number >= fencing_number_,
                     "fencing number must not decrease");
}

void lease_keeper::RecordObservedRow(time_point now,
                                     std::uint64_t version,
                                     const lease_record& record) {
  const bool is_unchanged = observed_row_ && observed_row_->version == version;
  if (!is_unchanged) {
    observed_row_ = observed_row{version, record, now};
  }
}

void lease_keeper::ExtendValidity(time_point until) {
  // `until` counts from before the write was sent, so it passes before a successor may acquire.
  const std::uint64_t fencing = observed_row_->record.fencing_number;
  valid_until_ = fencing == fencing_number_ ? std::max(valid_until_, until) : until;
  fencing_number_ = fencing;
}

lease_call lease_keeper::StartWrite(time_point now, lease_record record) {
  call_in_flight_ = true;
  write_sent_at_ = now;
  unresolved_write_ = write_lease{observed_row_->version, std::move(record)};
  return *unresolved_write_;
}

bool lease_keeper::CanAcquire(time_point now) const {
  if (observed_row_->version == 0 || observed_row_->record.holder.empty()) {
    return true;
  }
  // The term in the row applies as well: the holder may run an earlier version of this program
  // with a longer term.
  const auto wait = std::max(options_.term, observed_row_->record.term) + options_.successor_margin;
  return now >= observed_row_->first_seen + wait;
}

bool lease_keeper::IsRowHeldBySelf() const {
  return observed_row_ && observed_row_->record.holder == holder_;
}

}  // namespace tarragon::control
