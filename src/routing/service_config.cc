#include "tarragon/routing/service_config.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>
#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::routing {

namespace {

bool IsValid(const route& rule) {
  return !rule.services.empty() && rule.prefix.starts_with('/') && rule.prefix.ends_with('/');
}

}  // namespace

std::shared_ptr<const service_config> service_config::Make(service_config_parts parts) {
  if (!std::ranges::all_of(parts.routes, IsValid)) {
    return nullptr;
  }
  return std::shared_ptr<const service_config>(new service_config(std::move(parts)));
}

service_config::service_config(service_config_parts parts) : parts_(std::move(parts)) {
  for (std::size_t i = 0; i < parts_.routes.size(); ++i) {
    routes_by_host_[parts_.routes[i].host].push_back(i);
  }
  for (auto& [host, indices] : routes_by_host_) {
    std::ranges::stable_sort(indices, std::greater{},
                             [this](std::size_t i) { return parts_.routes[i].prefix.size(); });
  }
  for (std::size_t i = 0; i < parts_.accounts.size(); ++i) {
    for (const std::string& key : parts_.accounts[i].api_keys) {
      accounts_by_key_.emplace(key, i);
    }
  }
  for (std::size_t i = 0; i < parts_.services.size(); ++i) {
    services_by_name_.emplace(parts_.services[i].name, i);
  }
  Validate();
}

std::set<std::string, std::less<>> service_config::ResumableServices() const {
  std::set<std::string, std::less<>> names;
  for (const route& rule : parts_.routes) {
    if (rule.kind == repeat_kind::kStream && rule.resumable) {
      std::ranges::transform(rule.services, std::inserter(names, names.end()),
                             &weighted_service::service);
    }
  }
  return names;
}

const route* service_config::FindRoute(std::string_view host, std::string_view path) const {
  const auto found = routes_by_host_.find(host);
  if (found == routes_by_host_.end()) {
    return nullptr;
  }
  const auto match = std::ranges::find_if(
      found->second, [&](std::size_t i) { return path.starts_with(parts_.routes[i].prefix); });
  return match == found->second.end() ? nullptr : &parts_.routes[*match];
}

const client_account* service_config::FindAccount(std::string_view api_key) const {
  const auto found = accounts_by_key_.find(std::string(api_key));
  return found == accounts_by_key_.end() ? nullptr : &parts_.accounts[found->second];
}

const service* service_config::FindService(std::string_view name) const {
  const auto found = services_by_name_.find(name);
  return found == services_by_name_.end() ? nullptr : &parts_.services[found->second];
}

void service_config::Validate() const {
  TARRAGON_INVARIANT(std::ranges::all_of(parts_.routes, IsValid),
                     "a route has no service or an invalid prefix");
}

const std::string& PickService(const route& rule, double point) {
  TARRAGON_INVARIANT(!rule.services.empty(), "the route has no service");
  const double total = std::accumulate(
      rule.services.begin(), rule.services.end(), 0.0,
      [](double sum, const weighted_service& s) { return sum + std::max(0.0, s.weight); });
  double left = point * total;
  for (const weighted_service& candidate : rule.services) {
    left -= std::max(0.0, candidate.weight);
    if (left < 0) {
      return candidate.service;
    }
  }
  return rule.services.front().service;
}

}  // namespace tarragon::routing
