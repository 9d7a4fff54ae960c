#include "tarragon/gateway/memory_budget.h"

#include <algorithm>
#include <chrono>
#include <iterator>

#include "tarragon/base/invariant.h"

namespace tarragon::gateway {

memory_budget_options MakeBudgetOptions(std::size_t memory_bytes, std::size_t descriptors) {
  constexpr double kMemoryShare = 0.35;
  constexpr double kSocketShare = 0.75;
  /** The platform keeps these for files. */
  constexpr std::size_t kReservedDescriptors = 200;
  const std::size_t sockets = descriptors - std::min(descriptors, kReservedDescriptors);
  return {.bytes = static_cast<std::size_t>(kMemoryShare * static_cast<double>(memory_bytes)),
          .connections = static_cast<std::size_t>(kSocketShare * static_cast<double>(sockets))};
}

memory_budget::connection_id memory_budget::Open(time_point now) {
  const connection_id id = ++last_id_;
  accounts_.emplace(id, account{{}, now});
  held_bytes_ += kConnectionBytes;
  UpdateState();
  return id;
}

void memory_budget::Close(connection_id id) {
  const auto closed = accounts_.find(id);
  if (closed == accounts_.end()) {
    return;
  }
  held_bytes_ -= closed->second.held.total() + kConnectionBytes;
  accounts_.erase(closed);
  UpdateState();
}

void memory_budget::Update(connection_id id, const held_memory& held, time_point now) {
  const auto found = accounts_.find(id);
  if (found == accounts_.end()) {
    return;
  }
  account& changed = found->second;
  TARRAGON_INVARIANT(held_bytes_ >= changed.held.total() + kConnectionBytes,
                     "the sum of the memory budget is less than one of its parts");
  held_bytes_ = held_bytes_ - changed.held.total() + held.total();
  const bool was_empty = changed.held.reading + changed.held.unread == 0;
  const bool is_empty = held.reading + held.unread == 0;
  if (was_empty || is_empty) {
    changed.since = now;
  }
  changed.held = held;
  UpdateState();
}

void memory_budget::UpdateState() {
  const bool is_scarce = options_.bytes > 0 && held_bytes_ > LowBytes();
  state_ = is_scarce ? memory_state::kScarce : memory_state::kCalm;
}

bool memory_budget::MayRead(connection_id id) const {
  const auto found = accounts_.find(id);
  return state_ == memory_state::kCalm || found == accounts_.end() ||
         found->second.held.total() <= kAssuredBytes;
}

bool memory_budget::IsExceeded() const {
  return HasTooManyBytes() || (options_.connections > 0 && accounts_.size() > options_.connections);
}

std::vector<memory_budget::connection_id> memory_budget::ChooseToClose(time_point now) const {
  struct candidate {
    connection_id id;
    std::size_t bytes;
    double rank;
  };
  if (!IsExceeded()) {
    return {};
  }
  constexpr std::chrono::milliseconds kMinAge{1};
  std::vector<candidate> candidates;
  for (const auto& [id, open] : accounts_) {
    // A caller that reads slowly gives way only for its bytes, not for its descriptor.
    const bool may_close = open.held.serving == 0 || (HasTooManyBytes() && open.held.unread > 0);
    if (may_close) {
      const std::size_t bytes = open.held.total() + kConnectionBytes;
      const auto age = std::max<duration>(now - open.since, kMinAge);
      candidates.push_back(
          {id, bytes, static_cast<double>(bytes) * std::chrono::duration<double>(age).count()});
    }
  }
  std::ranges::sort(candidates, std::ranges::greater{}, &candidate::rank);
  const bool needs_bytes = HasTooManyBytes();
  std::size_t bytes = held_bytes_;
  std::size_t connections = accounts_.size();
  std::vector<connection_id> chosen;
  for (const candidate& next : candidates) {
    const bool has_room = !needs_bytes || bytes <= LowBytes();
    const bool has_descriptors = options_.connections == 0 || connections <= options_.connections;
    if (has_room && has_descriptors) {
      break;
    }
    chosen.push_back(next.id);
    bytes -= next.bytes;
    --connections;
  }
  return chosen;
}

}  // namespace tarragon::gateway
