#include "decision/endpoint_table.h"

#include <algorithm>
#include <utility>

#include "decision/peer_counts.h"

namespace tarragon::decision {

void endpoint_table::Apply(const document::operating_document& document) {
  for (auto& [name, state] : endpoints_) {
    state.in_document = false;
  }
  for (const auto& settings : document.contents().endpoints) {
    const auto [place, added] = endpoints_.try_emplace(settings.name);
    endpoint_state& state = place->second;
    if (added) {
      state.name = settings.name;
      state.gossip_hash = peer_counts::HashOf(settings.name);
      state.index = TakeIndex();
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
  SetLeavingInList(list_leaving_);
}

policy::endpoint_index endpoint_table::TakeIndex() {
  if (free_indices_.empty()) {
    return next_index_++;
  }
  const policy::endpoint_index index = free_indices_.back();
  free_indices_.pop_back();
  return index;
}

std::vector<endpoint_state> endpoint_table::TakeUnused(
    const std::function<bool(const endpoint_state&)>& is_unused) {
  std::vector<endpoint_state> taken;
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    if (!it->second.in_document && is_unused(it->second)) {
      free_indices_.push_back(it->second.index);
      taken.push_back(std::move(it->second));
      it = endpoints_.erase(it);
    } else {
      ++it;
    }
  }
  return taken;
}

void endpoint_table::SetLeavingInList(const std::vector<endpoint_name>& leaving) {
  if (&leaving != &list_leaving_) {
    list_leaving_ = leaving;
  }
  for (auto& [name, state] : endpoints_) {
    state.leaving_in_list = std::ranges::find(list_leaving_, name) != list_leaving_.end();
  }
}

void endpoint_table::Report(time_point now, const load_reported& report) {
  const auto place = endpoints_.find(report.endpoint);
  if (place == endpoints_.end()) {
    return;
  }
  place->second.leaving_by_report = report.leaving;
  place->second.load = report;
  place->second.load_at = now - report.age;
}

void endpoint_table::Reached(const endpoint_name& name) {
  const auto place = endpoints_.find(name);
  if (place != endpoints_.end()) {
    place->second.failing_since.reset();
  }
}

void endpoint_table::ConnectFailed(time_point now,
                                   const endpoint_name& name,
                                   std::chrono::milliseconds loss_timeout,
                                   std::chrono::milliseconds backoff) {
  const auto place = endpoints_.find(name);
  if (place == endpoints_.end()) {
    return;
  }
  endpoint_state& state = place->second;
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

void endpoint_table::Block(const endpoint_name& name, time_point until) {
  const auto place = endpoints_.find(name);
  if (place != endpoints_.end()) {
    place->second.blocked_until = std::max(place->second.blocked_until, until);
  }
}

const endpoint_state* endpoint_table::Find(const endpoint_name& name) const {
  const auto place = endpoints_.find(name);
  return place == endpoints_.end() ? nullptr : &place->second;
}

const std::vector<const endpoint_state*>& endpoint_table::OfService(
    const std::string& service) const {
  static const std::vector<const endpoint_state*> kNone;
  const auto place = by_service_.find(service);
  return place == by_service_.end() ? kNone : place->second;
}

}  // namespace tarragon::decision
