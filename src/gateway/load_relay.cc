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

load_relay::load_relay(gateway_state& gateway)
    : gateway_(gateway),
      batch_timer_(gateway.loop),
      refresh_timer_(gateway.loop),
      root_timer_(gateway.loop),
      link_timer_(gateway.loop) {}

load_relay::~load_relay() {
  for (const link& known : links_ | std::views::values) {
    if (!known.root_address.empty()) {
      known.connection->Close();
    }
  }
  DropCandidate();
  if (parent_) {
    parent_->connection->Close();
  }
}

void load_relay::Start() {
  ScheduleRefresh();
  ScheduleRootRetry();
  ScheduleLinkCheck();
}

load_relay::link& load_relay::Add(const std::shared_ptr<relay_connection>& connection,
                                  routing::neighbor_kind kind) {
  link& added = links_[connection.get()];
  added.id = ++last_id_;
  added.connection = connection;
  added.heard_at = gateway_.time.Now();
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
  found->second.heard_at = gateway_.time.Now();
  if (message.changes.empty()) {
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

void load_relay::SetParents(std::vector<std::string> addresses) {
  if (std::exchange(parents_, std::move(addresses)) == parents_) {
    return;
  }
  failed_candidates_ = 0;
  DropCandidate();
  if (parent_ && std::ranges::find(parents_, parent_->address) == parents_.end()) {
    parent_->connection->Fail();
  }
  UpdateParent();
}

void load_relay::UpdateParent() {
  const time_point now = gateway_.time.Now();
  if (candidate_ && now >= candidate_->since + kCandidateTimeout) {
    DropCandidate();
    ++failed_candidates_;
  }
  if (parents_.empty() || candidate_) {
    return;
  }
  const bool is_nearest = parent_ && parent_->address == parents_.front();
  const bool may_return = !parent_ || now >= parent_->since + kReturnInterval;
  if (is_nearest || !may_return) {
    return;
  }
  const std::string& address = parents_[parent_ ? 0 : failed_candidates_ % parents_.size()];
  if (parent_) {
    parent_->since = now;
  }
  const auto target = ParseAddress(address);
  if (!target) {
    ++failed_candidates_;
    return;
  }
  candidate_ = {std::make_shared<relay_connection>(asio::ip::tcp::socket(gateway_.loop), *this),
                address, now};
  candidate_->connection->Connect(
      *target, relay_subscription{gateway_.own_vm, subscription_kind::kTreeLoads, {}});
}

void load_relay::DropCandidate() {
  if (candidate_) {
    candidate_->connection->Close();
    candidate_.reset();
  }
}

void load_relay::PromoteCandidate() {
  if (parent_) {
    parent_->connection->Close();
    RemoveConnection(*parent_->connection);
  }
  parent_ = std::exchange(candidate_, std::nullopt);
  parent_->since = gateway_.time.Now();
  failed_candidates_ = 0;
  Add(parent_->connection, routing::neighbor_kind::kTree);
  gateway_.log.LogState("load_parent", {{"address", parent_->address}});
}

void load_relay::ScheduleLinkCheck() {
  link_timer_.expires_after(kLinkCheckInterval);
  link_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      gateway_.RunGuarded("load_links", [this] {
        CloseSilentLinks();
        SendKeepAlives();
        UpdateParent();
      });
      ScheduleLinkCheck();
    }
  });
}

void load_relay::CloseSilentLinks() {
  const time_point now = gateway_.time.Now();
  std::vector<std::shared_ptr<relay_connection>> silent;
  for (const link& known : links_ | std::views::values) {
    if (now >= known.heard_at + kLinkLifetime) {
      silent.push_back(known.connection);
    }
  }
  std::ranges::for_each(silent, [](const auto& connection) { connection->Fail(); });
}

void load_relay::SendKeepAlives() {
  const time_point now = gateway_.time.Now();
  for (link& known : links_ | std::views::values) {
    if (now >= known.sent_at + kLinkCheckInterval && known.connection->is_open() &&
        !known.connection->is_writing()) {
      known.sent_at = now;
      known.connection->Send(relay_loads{});
    }
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
    connection->Connect(*target,
                        relay_subscription{gateway_.own_vm, subscription_kind::kRootLoads, {}});
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
  for (const routing::endpoint_ptr& known :
       gateway_.used_endpoints.Collect(now, gateway_.endpoints)) {
    if (!routing::HasOwnReport(now, *known)) {
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
  for (link& target : links_ | std::views::values) {
    SendChanges(target);
  }
}

void load_relay::SendChanges(link& target) {
  if (!target.connection->is_open() || target.connection->is_writing() ||
      !exchange_.HasChanges(target.id)) {
    return;
  }
  std::vector<routing::endpoint_load_report> changes =
      exchange_.TakeChanges(target.id, kMaxLoadsPerMessage);
  if (!changes.empty()) {
    target.sent_at = gateway_.time.Now();
    target.connection->Send(relay_loads{std::move(changes)});
  }
}

void load_relay::OnRelayMessage(relay_connection& connection, relay_message message) {
  if (const auto* loads = std::get_if<relay_loads>(&message)) {
    if (candidate_ && candidate_->connection.get() == &connection) {
      PromoteCandidate();
    }
    OnLoads(connection, *loads);
  }
}

void load_relay::OnRelayWritten(relay_connection& connection) {
  OnWritable(connection);
}

void load_relay::OnRelayClosed(relay_connection& connection) {
  if (candidate_ && candidate_->connection.get() == &connection) {
    candidate_.reset();
    ++failed_candidates_;
    return;
  }
  RemoveConnection(connection);
  if (parent_ && parent_->connection.get() == &connection) {
    parent_.reset();
    UpdateParent();
  }
}

}  // namespace tarragon::gateway
