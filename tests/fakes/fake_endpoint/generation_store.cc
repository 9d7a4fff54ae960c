#include "fakes/fake_endpoint/generation_store.h"

#include <fmt/format.h>

#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::fakes {

std::string_view ToString(generation_state state) {
  switch (state) {
    case generation_state::kActive:
      return "active";
    case generation_state::kFinished:
      return "finished";
    case generation_state::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

std::string TokenText(const generation_id& id, std::uint32_t index) {
  return fmt::format(" w{}.{}", index, std::string_view(id).substr(0, 4));
}

generation::generation(generation_id id, std::uint32_t prompt_tokens, int priority, time_point now)
    : id_(std::move(id)),
      prompt_tokens_(prompt_tokens),
      priority_(priority),
      attachment_changed_at_(now) {}

void generation::Append(time_point now, std::string finish_reason) {
  std::lock_guard lock(mutex_);
  // A cancel may arrive before the tokens of the step that was in progress.
  if (state_ != generation_state::kActive) {
    return;
  }
  produced_at_.push_back(now);
  ++tokens_;
  if (!finish_reason.empty()) {
    state_ = generation_state::kFinished;
    finish_reason_ = std::move(finish_reason);
    ended_at_ = now;
  }
  changed_.notify_all();
}

void generation::End(generation_state state, std::string finish_reason, time_point now) {
  TARRAGON_INVARIANT(state != generation_state::kActive,
                     "a generation cannot end in the active state");
  std::lock_guard lock(mutex_);
  if (state_ != generation_state::kActive) {
    return;
  }
  state_ = state;
  finish_reason_ = std::move(finish_reason);
  ended_at_ = now;
  changed_.notify_all();
}

void generation::Attach() {
  std::lock_guard lock(mutex_);
  ++attached_;
}

void generation::Detach(time_point now) {
  std::lock_guard lock(mutex_);
  TARRAGON_INVARIANT(attached_ > 0, "Detach() without a matching Attach()");
  --attached_;
  attachment_changed_at_ = now;
}

generation_progress generation::WaitFor(std::uint32_t from, duration wait) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, wait, [this, from] {
    return produced_at_.size() > from || state_ != generation_state::kActive;
  });
  generation_progress progress{.produced_at = {}, .state = state_, .finish_reason = finish_reason_};
  if (produced_at_.size() > from) {
    progress.produced_at.assign(produced_at_.begin() + from, produced_at_.end());
  }
  return progress;
}

bool generation::IsOrphan(time_point now, duration limit) const {
  std::lock_guard lock(mutex_);
  return state_ == generation_state::kActive && attached_ == 0 &&
         now - attachment_changed_at_ >= limit;
}

bool generation::IsExpired(time_point now, duration limit) const {
  std::lock_guard lock(mutex_);
  return state_ != generation_state::kActive && now - ended_at_ > limit;
}

bool generation::IsActive() const {
  std::lock_guard lock(mutex_);
  return state_ == generation_state::kActive;
}

void generation::ReleaseTokens() {
  std::lock_guard lock(mutex_);
  // A reader that is still attached may finish reading.
  if (attached_ == 0) {
    std::vector<time_point>().swap(produced_at_);
  }
}

generation_summary generation::Summary() const {
  std::lock_guard lock(mutex_);
  return {id_, tokens_, prompt_tokens_, priority_, attached_, state_};
}

generation_store::generation_store(duration retention) : retention_(retention) {}

generation_ptr generation_store::Add(const generation_id& id,
                                     std::uint32_t prompt_tokens,
                                     int priority,
                                     time_point now) {
  std::lock_guard lock(mutex_);
  generation_ptr& entry = generations_[id];
  if (entry) {
    return nullptr;
  }
  entry = std::make_shared<generation>(id, prompt_tokens, priority, now);
  return entry;
}

void generation_store::Remove(const generation_id& id) {
  std::lock_guard lock(mutex_);
  generations_.erase(id);
}

generation_ptr generation_store::Find(const generation_id& id, time_point now) const {
  std::lock_guard lock(mutex_);
  const auto found = generations_.find(id);
  if (found == generations_.end() || found->second->IsExpired(now, retention_)) {
    return nullptr;
  }
  return found->second;
}

std::vector<generation_ptr> generation_store::Sweep(time_point now, duration orphan_limit) {
  std::lock_guard lock(mutex_);
  std::vector<generation_ptr> orphans;
  for (const auto& [id, item] : generations_) {
    if (item->IsExpired(now, retention_)) {
      item->ReleaseTokens();
    } else if (item->IsOrphan(now, orphan_limit)) {
      orphans.push_back(item);
    }
  }
  return orphans;
}

std::vector<generation_summary> generation_store::Summaries() const {
  std::lock_guard lock(mutex_);
  std::vector<generation_summary> all;
  all.reserve(generations_.size());
  for (const auto& [id, item] : generations_) {
    all.push_back(item->Summary());
  }
  return all;
}

}  // namespace tarragon::fakes
