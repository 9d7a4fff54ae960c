#include "decision/endpoint_table.h"

#include <algorithm>
#include <utility>

#include "decision/peer_counts.h"

namespace tarragon::decision {

void endpoint_table::ApplyDocument(const document::operating_document& document) {
  for (auto& [name, state] : endpoints_) {
    state.in_document = false;
  }
  for (const auto& settings : document.contents().endpoints) {
    const auto [it, inserted] = endpoints_.try_emplace(settings.name);
    endpoint_state& state = it->second;
    if (inserted) {
      state.name = settings.name;
      state.gossip_hash = peer_counts::GossipHash(settings.name);
      state.index = AllocateIndex();
    }
    state.service = settings.service;
    state.failure_domain = settings.failure_domain;
    state.in_document = true;
    state.leaving_in_document = settings.state == document::serving_state::kLeaving;
  }
  by_service_.clear();
  for (const auto& [name, state] : endpoints_) {
    if (state.in_document) {
      by_service_[state.service].push_back(&state);
    }
  }
  SetLeavingInList(leaving_in_list_);
}

policy::endpoint_index endpoint_table::AllocateIndex() {
  if (free_indices_.empty()) {
    return next_index_++;
  }
  const policy::endpoint_index index = free_indices_.back();
  free_indices_.pop_back();
  return index;
}

std::vector<endpoint_state> endpoint_table::RemoveUnused(
    const std::function<bool(const endpoint_state&)>& is_unused) {
  std::vector<endpoint_state> removed;
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    if (!it->second.in_document && is_unused(it->second)) {
      free_indices_.push_back(it->second.index);
      removed.push_back(std::move(it->second));
      it = endpoints_.erase(it);
    } else {
      ++it;
    }
  }
  return removed;
}

void endpoint_table::SetLeavingInList(const std::vector<endpoint_name>& leaving) {
  if (&leaving != &leaving_in_list_) {
    leaving_in_list_ = leaving;
  }
  for (auto& [name, state] : endpoints_) {
    state.leaving_in_list = std::ranges::find(leaving_in_list_, name) != leaving_in_list_.end();
  }
}

void endpoint_table::RecordLoad(time_point now, const load_reported& report) {
  const auto it = endpoints_.find(report.endpoint);
  if (it == endpoints_.end()) {
    return;
  }
  it->second.leaving_by_report = report.leaving;
  it->second.load = report;
  it->second.load_measured_at = now - report.age;
}

void endpoint_table::RecordConnected(const endpoint_name& name) {
  const auto it = endpoints_.find(name);
  if (it != endpoints_.end()) {
    it->second.failing_since.reset();
  }
}

void endpoint_table::RecordConnectFailure(time_point now,
                                          const endpoint_name& name,
                                          std::chrono::milliseconds loss_timeout,
                                          std::chrono::milliseconds backoff) {
  const auto it = endpoints_.find(name);
  if (it == endpoints_.end()) {
    return;
  }
  endpoint_state& state = it->second;
  if (!state.failing_since || now - state.last_failure > loss_timeout) {
    state.failing_since = now;
  }
  state.last_failure = now;
  state.blocked_until = std::max(state.blocked_until, now + backoff);
}

duration endpoint_table::UnreachableFor(time_point now, const endpoint_name& name) const {
  const endpoint_state* state = Find(name);
  return state != nullptr && state->failing_since ? now - *state->failing_since : duration::zero();
}

void endpoint_table::BlockUntil(const endpoint_name& name, time_point until) {
  const auto it = endpoints_.find(name);
  if (it != endpoints_.end()) {
    it->second.blocked_until = std::max(it->second.blocked_until, until);
  }
}

const endpoint_state* endpoint_table::Find(const endpoint_name& name) const {
  const auto it = endpoints_.find(name);
  return it == endpoints_.end() ? nullptr : &it->second;
}

const std::vector<const endpoint_state*>& endpoint_table::FindByService(
    const std::string& service) const {
  static const std::vector<const endpoint_state*> kNone;
  const auto it = by_service_.find(service);
  return it == by_service_.end() ? kNone : it->second;
}

}  // namespace tarragon::decision
