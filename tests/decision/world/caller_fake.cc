#include "decision/world/caller_fake.h"

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace tarragon::decision {

caller_fake caller_fake::Return() const {
  caller_fake next = *this;
  next.connected_ = true;
  next.finished_ = false;
  return next;
}

std::string caller_fake::Text(const generation_id& generation, std::uint32_t index) {
  return fmt::format("{}:{}", std::string_view(generation).substr(0, 8), index);
}

void caller_fake::On(const start_stream& what) {
  if (!connected_) {
    return;
  }
  if (next_index_ > 0 && what.generation != generation_) {
    truth_->Violate(fmt::format("caller {}: generation changed after tokens", number_));
  }
  endpoint_ = what.endpoint;
  generation_ = what.generation;
}

void caller_fake::On(const restart_stream& what) {
  if (!connected_) {
    return;
  }
  if (plan_->wish == caller_wish::kEnd && !plan_->whole_answer) {
    truth_->Violate(fmt::format("caller {}: restarted against its class", number_));
  }
  endpoint_ = what.endpoint;
  generation_ = what.generation;
  next_index_ = 0;
}

void caller_fake::On(const deliver_token& what) {
  if (!connected_) {
    return;
  }
  if (finished_) {
    truth_->Violate(fmt::format("caller {}: token after the end", number_));
  }
  if (what.generation != generation_ || what.index != next_index_ ||
      what.text != Text(generation_, next_index_)) {
    truth_->Violate(fmt::format("caller {}: wanted token {} of {}, got {} of {}: {}", number_,
                                next_index_, generation_, what.index, what.generation, what.text));
  }
  ++next_index_;
}

void caller_fake::On(const deliver_response& what) {
  if (!connected_) {
    return;
  }
  const bool repeatable = plan_->wish != caller_wish::kUnrepeatable;
  const std::string wanted = repeatable ? fmt::format("caller {}", number_) : key_;
  if (std::exchange(responded_, true) || what.body != wanted) {
    truth_->Violate(fmt::format("caller {}: wrong or second response {}", number_, what.body));
  }
}

void caller_fake::On(const finish_request& what) {
  // The verdict binds even if nobody is there to hear it.
  truth_->Told(number_, key_, what.verdict);
  if (std::exchange(finished_, true)) {
    truth_->Violate(fmt::format("caller {}: finished twice", number_));
  }
  if (!connected_) {
    return;
  }
  if (what.reason == finish_reason::kCompleted) {
    CheckCompleted(what);
    return;
  }
  const bool must_complete = plan_->wish == caller_wish::kHold ||
                             plan_->wish == caller_wish::kRestart ||
                             plan_->wish == caller_wish::kUrgent || plan_->whole_answer;
  const bool generation = plan_->wish < caller_wish::kRead;
  // A deadline may end a request that no endpoint accepted, but not a generation.
  const bool allowed = what.verdict == run_verdict::kNotRun ||
                       what.reason == finish_reason::kCancelled ||
                       what.reason == finish_reason::kSuspectRefused ||
                       (what.reason == finish_reason::kDeadline && !has_ticket());
  if (generation && must_complete && !plan_->crashes && !allowed) {
    truth_->Violate(
        fmt::format("caller {}: lost with reason {}", number_, static_cast<int>(what.reason)));
  }
}

void caller_fake::CheckCompleted(const finish_request& what) {
  if (what.verdict != run_verdict::kRan) {
    truth_->Violate(fmt::format("caller {}: completed but not ran", number_));
  }
  if (plan_->wish >= caller_wish::kRead) {
    if (!responded_) {
      truth_->Violate(fmt::format("caller {}: completed without a response", number_));
    }
  } else if (!truth_->IsWhole(number_, generation_, next_index_)) {
    truth_->Violate(fmt::format("caller {}: completed with {} tokens of {}, which is not whole",
                                number_, next_index_, generation_));
  }
}

}  // namespace tarragon::decision
