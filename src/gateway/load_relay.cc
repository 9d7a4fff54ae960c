#include "tarragon/gateway/load_relay.h"

#include <algorithm>
#include <cmath>
#include <ranges>
#include <utility>

#include "tarragon/gateway/socket_options.h"

namespace tarragon::gateway {

routing::endpoint_load_report MakeLoadReport(time_point now, const routing::endpoint& known) {
  constexpr double kPercent = 100;
  constexpr double kMaxPercent = 60'000;
  const duration event_interval = known.event_interval.OwnEstimate().value_or(duration(0));
  const double least = std::min(kMaxPercent, kPercent * known.slowness.OwnMinimum().value_or(0));
  return {known.id_hash,
          known.own_load,
          std::chrono::duration_cast<std::chrono::microseconds>(event_interval),
          static_cast<std::uint16_t>(std::lround(least)),
          known.limit.OwnSends(now),
          known.limit.statement()};
}

namespace {

/** @return whether this daemon has anything to tell; in a large fleet it uses few endpoints. */
bool HasOwnReport(time_point now, const routing::endpoint& known) {
  return known.own_load != routing::endpoint_load{} || known.event_interval.OwnEstimate() ||
         known.slowness.OwnMinimum() || known.limit.statement().revision > 0 ||
         known.limit.OwnSends(now) > 0;
}

}  // namespace

load_relay::load_relay(gateway_state& gateway)
    : gateway_(gateway),
      batch_timer_(gateway.loop),
      refresh_timer_(gateway.loop),
      root_timer_(gateway.loop) {}

load_relay::~load_relay() {
  for (const link& known : links_ | std::views::values) {
    if (!known.root_address.empty()) {
      known.connection->Close();
    }
  }
}

void load_relay::Start() {
  ScheduleRefresh();
  ScheduleRootRetry();
}

load_relay::link& load_relay::Add(const std::shared_ptr<relay_connection>& connection,
                                  routing::neighbor_kind kind) {
  link& added = links_[connection.get()];
  added.id = ++last_id_;
  added.connection = connection;
  exchange_.AddNeighbor(added.id, kind);
  ScheduleExchange();
  return added;
}

void load_relay::AddConnection(const std::shared_ptr<relay_connection>& connection,
                               routing::neighbor_kind kind) {
  if (!links_.contains(connection.get())) {
    Add(connection, kind);
  }
}

void load_relay::RemoveConnection(const relay_connection& connection) {
  const auto found = links_.find(&connection);
  if (found == links_.end()) {
    return;
  }
  exchange_.RemoveNeighbor(found->second.id);
  links_.erase(found);
  exchange_.Apply(gateway_.time.Now(), gateway_.endpoints);
  ScheduleExchange();
}

void load_relay::OnLoads(const relay_connection& connection, const relay_loads& message) {
  const auto found = links_.find(&connection);
  if (found == links_.end()) {
    return;
  }
  exchange_.Receive(found->second.id, message.changes);
  exchange_.Apply(gateway_.time.Now(), gateway_.endpoints);
  gateway_.counters.Counter("tarragon_gateway_load_messages_total").Add();
  ScheduleExchange();
}

void load_relay::OnWritable(const relay_connection& connection) {
  if (const auto found = links_.find(&connection); found != links_.end()) {
    SendChanges(found->second);
  }
}

void load_relay::SetRoots(std::vector<std::string> addresses) {
  roots_ = std::move(addresses);
  std::vector<std::shared_ptr<relay_connection>> obsolete;
  for (const link& known : links_ | std::views::values) {
    if (!known.root_address.empty() &&
        std::ranges::find(roots_, known.root_address) == roots_.end()) {
      obsolete.push_back(known.connection);
    }
  }
  for (const auto& connection : obsolete) {
    connection->Close();
    RemoveConnection(*connection);
  }
  ConnectToRoots();
}

void load_relay::ConnectToRoots() {
  for (const std::string& address : roots_) {
    const auto target = ParseAddress(address);
    const bool connected = std::ranges::any_of(links_ | std::views::values, [&](const link& known) {
      return known.root_address == address;
    });
    if (!target || connected) {
      continue;
    }
    const auto connection =
        std::make_shared<relay_connection>(asio::ip::tcp::socket(gateway_.loop), *this);
    Add(connection, routing::neighbor_kind::kRoot).root_address = address;
    connection->Connect(*target, relay_subscription{gateway_.own_vm, true, {}});
  }
}

void load_relay::ScheduleRootRetry() {
  root_timer_.expires_after(kRootRetryDelay);
  root_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      gateway_.RunGuarded("roots", [this] { ConnectToRoots(); });
      ScheduleRootRetry();
    }
  });
}

void load_relay::ScheduleRefresh() {
  refresh_timer_.expires_after(kRefreshInterval);
  refresh_timer_.async_wait([this](const asio::error_code& error) {
    if (error) {
      return;
    }
    if (!links_.empty()) {
      gateway_.RunGuarded("loads", [this] { Exchange(); });
    }
    ScheduleRefresh();
  });
}

void load_relay::ScheduleExchange() {
  if (links_.empty() || std::exchange(exchange_scheduled_, true)) {
    return;
  }
  batch_timer_.expires_after(kBatchDelay);
  batch_timer_.async_wait([this](const asio::error_code& error) {
    exchange_scheduled_ = false;
    if (!error) {
      Exchange();
    }
  });
}

void load_relay::UpdateOwnLoads() {
  const time_point now = gateway_.time.Now();
  std::vector<routing::endpoint_load_report> reports;
  for (const routing::endpoint_ptr& known : gateway_.endpoints.all() | std::views::values) {
    if (!HasOwnReport(now, *known)) {
      continue;
    }
    routing::endpoint_load_report report = MakeLoadReport(now, *known);
    // Each event changes the estimate a little; whole milliseconds are precise enough.
    report.event_interval = std::chrono::ceil<std::chrono::milliseconds>(report.event_interval);
    reports.push_back(report);
  }
  exchange_.SetOwnLoads(reports);
}

void load_relay::Exchange() {
  UpdateOwnLoads();
  for (const link& target : links_ | std::views::values) {
    SendChanges(target);
  }
}

void load_relay::SendChanges(const link& target) {
  if (!target.connection->is_open() || target.connection->is_writing() ||
      !exchange_.HasChanges(target.id)) {
    return;
  }
  std::vector<routing::endpoint_load_report> changes =
      exchange_.TakeChanges(target.id, kMaxLoadsPerMessage);
  if (!changes.empty()) {
    target.connection->Send(relay_loads{std::move(changes)});
  }
}

void load_relay::OnRelayMessage(relay_connection& connection, relay_message message) {
  if (const auto* loads = std::get_if<relay_loads>(&message)) {
    OnLoads(connection, *loads);
  }
}

void load_relay::OnRelayWritten(relay_connection& connection) {
  OnWritable(connection);
}

void load_relay::OnRelayClosed(relay_connection& connection) {
  RemoveConnection(connection);
}

}  // namespace tarragon::gateway
