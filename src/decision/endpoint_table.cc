#include "decision/endpoint_table.h"

#include <algorithm>

namespace tarragon::decision {

void endpoint_table::Apply(const document::operating_document& document) {
  for (auto& [name, state] : endpoints_) {
    state.in_document = false;
  }
  for (const auto& settings : document.contents().endpoints) {
    auto& state = endpoints_[settings.name];
    state.name = settings.name;
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

bool endpoint_table::IsLost(time_point now,
                            const endpoint_name& name,
                            std::chrono::milliseconds loss_timeout) const {
  const endpoint_state* state = Find(name);
  return state == nullptr || (state->failing_since && now - *state->failing_since >= loss_timeout);
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
