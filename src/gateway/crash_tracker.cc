#include "tarragon/gateway/crash_tracker.h"

#include <fmt/format.h>

#include <utility>

#include "tarragon/base/hash.h"

namespace tarragon::gateway {

void crash_tracker::OnAdmitted(std::string_view request_id, const admitted_request& admitted) {
  request_id_ = request_id;
  shared_parts_ = admitted.shared_parts;
  traits_ = admitted.traits;
}

void crash_tracker::OnSent(const routing::endpoint_ptr& target) {
  target_ = target;
  sent_at_ = gateway_.time.Now();
  answer_begun_at_.reset();
  has_event_ = false;
  answered_ = false;
}

void crash_tracker::OnAnswerBegun() {
  answer_begun_at_ = gateway_.time.Now();
}

void crash_tracker::OnEvent() {
  has_event_ = true;
  if (!answered_ && HasRunForLong()) {
    RecordAnswered();
  }
}

void crash_tracker::OnAnswered() {
  if (!answered_) {
    RecordAnswered();
  }
}

void crash_tracker::RecordAnswered() {
  answered_ = true;
  gateway_.quarantine.RecordAnswered(gateway_.time.Now(), traits_, sent_at_);
}

void crash_tracker::OnConnectionLost() {
  if (target_->leaving || HasRunForLong()) {
    return;
  }
  const std::optional<duration> age = AnswerAge();
  // An endpoint may start again under its id.
  const std::uint64_t endpoint_hash =
      Hash64(target_->entry.id, static_cast<std::uint64_t>(target_->entry.started_unix_ms));
  gateway_.quarantine.RecordCrash(gateway_.time.Now(), traits_, endpoint_hash, age.has_value());
  gateway_.counters.Counter("tarragon_gateway_suspected_crashes_total").Add();
  constexpr std::chrono::milliseconds kNotBegun{-1};
  gateway_.log.LogRequest(
      "crash_suspected",
      {{"request", request_id_},
       {"endpoint", target_->entry.id},
       {"parts", fmt::format("{}", fmt::join(shared_parts_, "/"))},
       {"answer_ms",
        (age ? std::chrono::floor<std::chrono::milliseconds>(*age) : kNotBegun).count()},
       {"records", gateway_.quarantine.record_count()},
       {"quarantined", IsQuarantined()}});
}

bool crash_tracker::IsQuarantined() const {
  return gateway_.quarantine.FindQuarantined(traits_).has_value();
}

bool crash_tracker::HasRunForLong() const {
  return has_event_ && AnswerAge().value_or(duration::zero()) > kMaxTimeToCrash;
}

std::optional<duration> crash_tracker::AnswerAge() const {
  return answer_begun_at_ ? std::optional(gateway_.time.Now() - *answer_begun_at_) : std::nullopt;
}

}  // namespace tarragon::gateway
