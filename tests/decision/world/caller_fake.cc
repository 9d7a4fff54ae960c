#include "decision/world/caller_fake.h"

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace tarragon::decision {

caller_fake caller_fake::MakeReconnected() const {
  caller_fake next = *this;
  next.connected_ = true;
  next.finished_ = false;
  return next;
}

std::string caller_fake::TokenText(const generation_id& generation, std::uint32_t index) {
  return fmt::format("{}:{}", std::string_view(generation).substr(0, 8), index);
}

void caller_fake::OnAction(const start_stream& message) {
  if (!connected_) {
    return;
  }
  if (next_index_ > 0 && message.generation != generation_) {
    oracle_->AddViolation(
        fmt::format("caller {}: generation changed after tokens were delivered", number_));
  }
  endpoint_ = message.endpoint;
  generation_ = message.generation;
}

void caller_fake::OnAction(const restart_stream& message) {
  if (!connected_) {
    return;
  }
  if (plan_->profile == request_profile::kEnd && !plan_->buffered_response) {
    oracle_->AddViolation(
        fmt::format("caller {}: stream restarted although its class forbids it", number_));
  }
  endpoint_ = message.endpoint;
  generation_ = message.generation;
  next_index_ = 0;
}

void caller_fake::OnAction(const deliver_token& message) {
  if (!connected_) {
    return;
  }
  if (finished_) {
    oracle_->AddViolation(
        fmt::format("caller {}: token delivered after the request finished", number_));
  }
  if (message.generation != generation_ || message.index != next_index_ ||
      message.text != TokenText(generation_, next_index_)) {
    oracle_->AddViolation(fmt::format("caller {}: expected token {} of {}, got {} of {}: {}",
                                      number_, next_index_, generation_, message.index,
                                      message.generation, message.text));
  }
  ++next_index_;
}

void caller_fake::OnAction(const deliver_response& message) {
  if (!connected_) {
    return;
  }
  const bool repeatable = plan_->profile != request_profile::kUnrepeatable;
  const std::string expected = repeatable ? fmt::format("caller {}", number_) : key_;
  if (std::exchange(responded_, true) || message.body != expected) {
    oracle_->AddViolation(
        fmt::format("caller {}: wrong or second response {}", number_, message.body));
  }
}

void caller_fake::OnAction(const finish_request& message) {
  // The verdict must be true even if the caller has disconnected.
  oracle_->RecordVerdict(number_, key_, message.verdict);
  if (std::exchange(finished_, true)) {
    oracle_->AddViolation(fmt::format("caller {}: finished twice", number_));
  }
  if (!connected_) {
    return;
  }
  if (message.reason == finish_reason::kCompleted) {
    CheckCompleted(message);
    return;
  }
  const bool must_complete = plan_->profile == request_profile::kHold ||
                             plan_->profile == request_profile::kRestart ||
                             plan_->profile == request_profile::kUrgent || plan_->buffered_response;
  const bool generation = plan_->profile < request_profile::kRead;
  // A deadline may end a request that no endpoint has accepted, but not a started generation.
  const bool allowed = message.verdict == run_verdict::kNotRun ||
                       message.reason == finish_reason::kCancelled ||
                       message.reason == finish_reason::kSuspectRefused ||
                       (message.reason == finish_reason::kDeadline && !has_ticket());
  if (generation && must_complete && !plan_->crashes_endpoint && !allowed) {
    oracle_->AddViolation(fmt::format("caller {}: request lost, finish reason {}", number_,
                                      static_cast<int>(message.reason)));
  }
}

void caller_fake::CheckCompleted(const finish_request& message) {
  if (message.verdict != run_verdict::kRan) {
    oracle_->AddViolation(
        fmt::format("caller {}: completed, but the verdict is not `ran`", number_));
  }
  if (plan_->profile >= request_profile::kRead) {
    if (!responded_) {
      oracle_->AddViolation(fmt::format("caller {}: completed without a response", number_));
    }
  } else if (!oracle_->IsComplete(number_, generation_, next_index_)) {
    oracle_->AddViolation(
        fmt::format("caller {}: completed with {} tokens of {}, which is not the complete output",
                    number_, next_index_, generation_));
  }
}

}  // namespace tarragon::decision
