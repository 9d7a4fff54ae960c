#include "tarragon/gateway/path_monitor.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <ranges>

namespace tarragon::gateway {

path_monitor::path_monitor(gateway_state& gateway)
    : gateway_(gateway), probe_timer_(gateway.loop) {}

void path_monitor::SetMembers(const std::vector<routing::relay_member>& others,
                              const routing::relay_member& self) {
  peers_.SetMembers(others, self);
}

void path_monitor::OnConnected(time_point started_at) {
  if (!paths_.OnConnected(started_at)) {
    return;
  }
  probe_timer_.cancel();
  gateway_.counters.Gauge("tarragon_gateway_endpoint_path_cut").Set(0);
  gateway_.log.LogState(
      "endpoint_path_regained",
      {{"lost_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(Now() - cut_at_).count()}});
}

void path_monitor::OnConnectFailed(const std::string& address) {
  const bool is_first = paths_.OnConnectFailed(Now(), address, gateway_.endpoints.all().size());
  paths_.Validate();
  if (!is_first) {
    return;
  }
  cut_at_ = Now();
  gateway_.counters.Gauge("tarragon_gateway_endpoint_path_cut").Set(1);
  gateway_.log.LogState("endpoint_path_lost", {{"endpoint", address}});
  Probe();
}

std::optional<std::string> path_monitor::ChooseProbed() {
  std::vector<std::string> untried;
  std::vector<std::string> all;
  for (const routing::endpoint_ptr& known : gateway_.endpoints.all() | std::views::values) {
    all.push_back(known->entry.address);
    if (!paths_.HasFailed(known->entry.address)) {
      untried.push_back(known->entry.address);
    }
  }
  const std::vector<std::string>& candidates = untried.empty() ? all : untried;
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[gateway_.random() % candidates.size()];
}

void path_monitor::Probe() {
  const std::optional<std::string> address = ChooseProbed();
  if (!address) {
    ScheduleProbe();
    return;
  }
  probe_ = std::make_shared<connection_attempt>(gateway_.loop, this);
  // The attempt itself records the outcome.
  probe_->StartDirectly(*address, [this](const connect_result&) {
    if (is_cut()) {
      ScheduleProbe();
    }
  });
}

void path_monitor::ScheduleProbe() {
  probe_timer_.expires_after(kProbeInterval);
  probe_timer_.async_wait([this](const asio::error_code& error) {
    if (!error && is_cut()) {
      gateway_.RunGuarded("path_probe", [this] { Probe(); });
    }
  });
}

std::optional<tunnel_request> path_monitor::MakeRequest(const std::string& address) const {
  const auto listed =
      std::ranges::find(gateway_.endpoints.all() | std::views::values, address,
                        [](const routing::endpoint_ptr& known) { return known->entry.address; });
  if (listed.base() == gateway_.endpoints.all().end()) {
    return std::nullopt;
  }
  return tunnel_request{(*listed)->entry.id};
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
  if (status == tunnel_status::kOpen) {
    peers_.OnOpened(peer);
  } else if (status != tunnel_status::kUnknownEndpoint) {
    peers_.OnFailed(Now(), peer);
  }
  gateway_.counters
      .Counter("tarragon_gateway_tunnel_requests_total",
               fmt::format("status=\"{}\"", ToString(status)))
      .Add();
  gateway_.log.LogRequest(status == tunnel_status::kOpen ? "tunnel_opened" : "tunnel_failed",
                          {{"daemon", peer}, {"address", address}, {"status", ToString(status)}});
}

}  // namespace tarragon::gateway
