#include "tarragon/gateway/path_monitor.h"

#include <fmt/format.h>

#include <algorithm>

namespace tarragon::gateway {

path_monitor::path_monitor(gateway_state& gateway) : gateway_(gateway) {}

void path_monitor::SetMembers(const std::vector<routing::relay_member>& others,
                              const routing::relay_member& self) {
  peers_.SetMembers(others, self);
}

routing::endpoint_ptr path_monitor::FindListed(const std::string& address) const {
  const auto& all = gateway_.endpoints.all();
  const auto listed = std::ranges::find_if(
      all, [&](const auto& known) { return known.second->entry.address == address; });
  return listed == all.end() ? nullptr : listed->second;
}

std::string path_monitor::ServiceOf(const std::string& address) const {
  const routing::endpoint_ptr listed = FindListed(address);
  return listed ? listed->entry.service : std::string();
}

bool path_monitor::IsCutOff(const std::string& address) const {
  const auto is_cut = [](const auto& path) { return path.second.state.is_cut(); };
  if (std::ranges::none_of(paths_, is_cut)) {
    return false;
  }
  const auto found = paths_.find(ServiceOf(address));
  return found != paths_.end() && is_cut(*found);
}

void path_monitor::CountCutOff() const {
  gateway_.counters.Gauge("tarragon_gateway_endpoint_path_cut")
      .Set(std::ranges::count_if(paths_,
                                 [](const auto& path) { return path.second.state.is_cut(); }));
}

void path_monitor::OnConnected(const std::string& address, time_point started_at) {
  if (paths_.empty()) {
    return;
  }
  const std::string service = ServiceOf(address);
  const auto found = paths_.find(service);
  if (found == paths_.end() || !found->second.state.OnConnected(started_at)) {
    return;
  }
  found->second.probe_timer.cancel();
  CountCutOff();
  gateway_.log.LogState("endpoint_path_regained",
                        {{"service", service},
                         {"lost_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                                         Now() - found->second.cut_at)
                                         .count()}});
}

void path_monitor::OnConnectFailed(const std::string& address) {
  const std::string service = ServiceOf(address);
  if (service.empty()) {
    // An endpoint that is not listed any more says nothing about the others.
    return;
  }
  service_path& path = paths_.try_emplace(service, gateway_.loop).first->second;
  const bool is_first =
      path.state.OnConnectFailed(Now(), address, gateway_.endpoints.FindByService(service).size());
  path.state.Validate();
  if (!is_first) {
    return;
  }
  path.cut_at = Now();
  CountCutOff();
  gateway_.log.LogState("endpoint_path_lost", {{"service", service}, {"address", address}});
  Probe(service, path);
}

std::optional<std::string> path_monitor::ChooseProbed(const std::string& service,
                                                      const service_path& path) {
  std::vector<std::string> untried;
  std::vector<std::string> all;
  for (const routing::endpoint_ptr& known : gateway_.endpoints.FindByService(service)) {
    all.push_back(known->entry.address);
    if (!path.state.HasFailed(known->entry.address)) {
      untried.push_back(known->entry.address);
    }
  }
  const std::vector<std::string>& candidates = untried.empty() ? all : untried;
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[gateway_.random() % candidates.size()];
}

void path_monitor::Probe(const std::string& service, service_path& path) {
  const std::optional<std::string> address = ChooseProbed(service, path);
  if (!address) {
    ScheduleProbe(service, path);
    return;
  }
  path.probe = std::make_shared<connection_attempt>(gateway_.loop, this);
  // The attempt itself records the outcome.
  path.probe->StartDirectly(*address, [this, service, &path](const connect_result&) {
    if (path.state.is_cut()) {
      ScheduleProbe(service, path);
    }
  });
}

void path_monitor::ScheduleProbe(const std::string& service, service_path& path) {
  path.probe_timer.expires_after(kProbeInterval);
  path.probe_timer.async_wait([this, service, &path](const asio::error_code& error) {
    if (!error && path.state.is_cut()) {
      gateway_.RunGuarded("path_probe", [&] { Probe(service, path); });
    }
  });
}

std::optional<tunnel_request> path_monitor::MakeRequest(const std::string& address) const {
  const routing::endpoint_ptr listed = FindListed(address);
  return listed ? std::optional(tunnel_request{listed->entry.id, /*accepts_chunks=*/true})
                : std::nullopt;
}

std::optional<std::string> path_monitor::ChoosePeer() {
  return peers_.Choose(Now(), gateway_.random());
}

void path_monitor::OnPeerFailed(const std::string& peer) {
  peers_.OnFailed(Now(), peer);
  gateway_.counters.Counter("tarragon_gateway_tunnel_requests_total", R"(status="no_response")")
      .Add();
  gateway_.log.LogRequest("tunnel_failed", {{"daemon", peer}, {"status", "no_response"}});
}

void path_monitor::OnPeerStatus(const std::string& peer,
                                const std::string& address,
                                tunnel_status status) {
  const bool is_open = status == tunnel_status::kOpen || status == tunnel_status::kOpenChunked;
  if (is_open) {
    peers_.OnOpened(peer);
  } else if (status != tunnel_status::kUnknownEndpoint) {
    peers_.OnFailed(Now(), peer);
  }
  gateway_.counters
      .Counter("tarragon_gateway_tunnel_requests_total",
               fmt::format("status=\"{}\"", ToString(status)))
      .Add();
  gateway_.log.LogRequest(is_open ? "tunnel_opened" : "tunnel_failed",
                          {{"daemon", peer}, {"address", address}, {"status", ToString(status)}});
}

}  // namespace tarragon::gateway
