#include "tarragon/gateway/relay_node.h"

#include <algorithm>
#include <asio/post.hpp>
#include <iterator>
#include <ranges>
#include <tuple>
#include <utility>

#include "tarragon/gateway/socket_options.h"
#include "tarragon/gateway/status_server.h"
#include "tarragon/routing/store_pace.h"

namespace tarragon::gateway {

namespace {

bool IsConfirmedBefore(const table_position& earlier, const table_position& later) {
  return std::tuple(earlier.version.era, earlier.store_time) <
         std::tuple(later.version.era, later.store_time);
}

}  // namespace

relay_node::relay_node(gateway_state& gateway,
                       std::vector<relayed_table> tables,
                       load_relay& loads,
                       std::uint64_t seed)
    : gateway_(gateway),
      tables_(std::move(tables)),
      loads_(loads),
      selector_(gateway.time.Now(), seed),
      acceptor_(gateway.loop),
      timer_(gateway.loop),
      accept_timer_(gateway.loop),
      link_positions_(tables_.size()),
      encoded_(tables_.size()) {
  for (const relayed_table& table : tables_) {
    table.watcher.SetRegainedListener(
        [this, regained = &table.watcher] { RetryOthers(*regained); });
  }
}

relay_node::~relay_node() {
  CloseLink();
  for (const follower& known : followers_ | std::views::values) {
    loads_.RemoveConnection(*known.connection);
    known.connection->Close();
  }
}

bool relay_node::Open(const std::string& address) {
  own_address_ = address;
  if (!OpenAcceptor(acceptor_, address)) {
    return false;
  }
  Accept();
  return true;
}

void relay_node::Start() {
  if (own_address_.empty()) {
    // Without peers there is nobody to follow.
    selector_.SetPlan(gateway_.time.Now(), routing::MakeRelayPlan({}, {}));
  }
  Update();
  ScheduleTick();
}

void relay_node::SetMembers(const std::vector<routing::relay_member>& members) {
  const routing::relay_plan plan =
      MakeRelayPlan(members, {own_address_, gateway_.own_failure_domain});
  if (plan == selector_.plan()) {
    return;
  }
  gateway_.log.LogState("relay_plan", {{"members", members.size()},
                                       {"reads_store", plan.reads_store},
                                       {"depth", plan.depth},
                                       {"sources", plan.sources.size()},
                                       {"alternates", plan.alternates.size()}});
  selector_.SetPlan(gateway_.time.Now(), plan);
  // The replica that reports the members is still being updated.
  asio::post(gateway_.loop, [this] {
    loads_.SetRoots(selector_.plan().peer_roots);
    loads_.SetParents(selector_.plan().sources);
    Update();
  });
}

void relay_node::Accept() {
  acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (!acceptor_.is_open() || error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      // Without free file descriptors an immediate retry would fail as well.
      accept_timer_.expires_after(kTickInterval);
      accept_timer_.async_wait([this](const asio::error_code& cancelled) {
        if (!cancelled) {
          Accept();
        }
      });
      return;
    }
    if (followers_.size() < kMaxFollowers) {
      const auto connection = std::make_shared<relay_connection>(std::move(socket), *this);
      followers_[connection.get()].connection = connection;
      connection->Accept();
    }
    Accept();
  });
}

void relay_node::ScheduleTick() {
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      gateway_.RunGuarded("relay", [this] {
        ReportRelayedOutage();
        Update();
      });
      ScheduleTick();
    }
  });
}

routing::source_view relay_node::View() const {
  routing::source_view view{
      .loaded = true, .age = duration::zero(), .source_age = duration::zero()};
  const time_point now = gateway_.time.Now();
  for (std::size_t table = 0; table < tables_.size(); ++table) {
    if (!tables_[table].essential) {
      continue;
    }
    // The replica's own view ends with recent rows of another daemon; this one must not.
    view.store_lost = view.store_lost || (reading_ && tables_[table].watcher.is_failing());
    const std::optional<duration> age = tables_[table].replica.Age();
    view.loaded = view.loaded && age.has_value();
    view.age = std::max(view.age, age.value_or(duration::zero()));
    const auto& received = link_positions_[table];
    if (!received) {
      view.source_age.reset();
    } else if (view.source_age) {
      view.source_age =
          std::max(*view.source_age,
                   gateway_.store_time.Age(now, received->version.era, received->store_time));
    }
  }
  return view;
}

bool relay_node::IsReceiving() {
  constexpr std::chrono::milliseconds kMaxGap{500};
  const std::uint64_t bytes = link_ ? link_->received_bytes() : 0;
  if (std::exchange(link_bytes_, bytes) != bytes) {
    link_progress_at_ = gateway_.time.Now();
  }
  return link_ && link_->has_partial_message() &&
         gateway_.time.Now() <= link_progress_at_ + kMaxGap;
}

void relay_node::Update() {
  routing::source_view view = View();
  view.source_sends = IsReceiving();
  selector_.Update(gateway_.time.Now(), view);
  selector_.Validate();
  if (view.loaded) {
    gateway_.counters.Latency("tarragon_gateway_table_age_seconds").Record(view.age);
  }
  Reconcile();
}

void relay_node::Reconcile() {
  const std::string wanted = selector_.source().value_or("");
  if (wanted != link_address_) {
    const duration age = View().age;
    gateway_.log.LogState(
        "relay_source",
        {{"source", wanted},
         {"before", link_address_},
         {"alternate", selector_.follows_alternate()},
         {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(age).count()}});
    CloseLink();
    if (!wanted.empty()) {
      OpenLink(wanted);
    }
  }
  SetReading(selector_.reads_store());
}

void relay_node::SetReading(bool reads_store) {
  for (const relayed_table& table : tables_) {
    if (reads_store) {
      table.watcher.SetPace(PaceOf(selector_.plan(), table.essential));
      const table_replica& replica = table.replica;
      table.watcher.Start(replica.is_loaded() ? replica.position().version
                                              : routing::store_version());
    } else if (table.essential || table.replica.is_loaded()) {
      table.watcher.Stop();
    }
  }
  if (std::exchange(reading_, reads_store) != reads_store) {
    gateway_.log.LogState("store_reading", {{"reads_store", reads_store},
                                            {"planned", selector_.plan().reads_store},
                                            {"source", link_address_}});
    gateway_.counters.Gauge("tarragon_gateway_reads_store").Set(reads_store ? 1 : 0);
  }
}

void relay_node::RetryOthers(const table_watcher& regained) {
  for (const relayed_table& table : tables_) {
    if (&table.watcher != &regained) {
      table.watcher.RetryNow();
    }
  }
}

void relay_node::OpenLink(const std::string& address) {
  link_address_ = address;
  const auto target = ParseAddress(address);
  if (!target) {
    selector_.OnSourceFailed(gateway_.time.Now());
    link_address_.clear();
    return;
  }
  relay_subscription subscription{
      .vm = gateway_.own_vm, .kind = subscription_kind::kRows, .versions = {}};
  std::ranges::transform(
      tables_, std::back_inserter(subscription.versions), [](const relayed_table& table) {
        const table_replica& replica = table.replica;
        return replica.is_loaded() ? replica.position().version : routing::store_version();
      });
  link_ = std::make_shared<relay_connection>(asio::ip::tcp::socket(gateway_.loop), *this);
  link_->Connect(*target, subscription);
}

void relay_node::CloseLink() {
  if (link_) {
    link_->Close();
    link_.reset();
  }
  link_address_.clear();
  source_lost_store_ = false;
  std::ranges::fill(link_positions_, std::nullopt);
}

void relay_node::OnRelayMessage(relay_connection& connection, relay_message message) {
  struct visitor {
    relay_node& node;
    relay_connection& connection;
    void operator()(relay_subscription subscription) const {
      node.OnSubscription(connection, std::move(subscription));
    }
    void operator()(relay_update update) const {
      if (&connection == node.link_.get()) {
        node.OnUpdate(std::move(update));
      }
    }
    void operator()(const relay_loads& loads) const { node.loads_.OnLoads(connection, loads); }
    void operator()(const tunnel_request& request) const {
      node.OnTunnelRequest(connection, request);
    }
  };
  std::visit(visitor{*this, connection}, std::move(message));
}

void relay_node::OnUpdate(relay_update message) {
  if (message.table >= tables_.size()) {
    return;
  }
  table_replica& replica = tables_[message.table].replica;
  source_lost_store_ = message.store_lost;
  const table_position& position = message.update.position;
  if (!replica.is_loaded()) {
    const duration age =
        gateway_.store_time.Age(gateway_.time.Now(), position.version.era, position.store_time);
    gateway_.log.LogState(
        "first_rows",
        {{"table", tables_[message.table].name},
         {"source", link_address_},
         {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(age).count()},
         {"rows", message.update.rows.size()}});
    if (tables_[message.table].essential && !selector_.AcceptsFirstRows(gateway_.time.Now(), age)) {
      selector_.OnSourceBehind(gateway_.time.Now());
      Update();
      return;
    }
  }
  if (!replica.Apply(message.update)) {
    gateway_.log.LogState("relay_gap", {{"table", tables_[message.table].name},
                                        {"source", link_address_},
                                        {"base", message.update.base_version},
                                        {"known", replica.position().version}});
    selector_.OnSourceFailed(gateway_.time.Now());
    Update();
    return;
  }
  std::optional<table_position>& received = link_positions_[message.table];
  const bool first = !received;
  if (first || IsConfirmedBefore(*received, position)) {
    received = position;
  }
  gateway_.counters.Counter("tarragon_gateway_relay_updates_total").Add();
  if (first) {
    // The first update may complete the tables that readiness waits for.
    Update();
  }
}

void relay_node::OnSubscription(relay_connection& connection, relay_subscription message) {
  const auto found = followers_.find(&connection);
  if (found == followers_.end()) {
    return;
  }
  follower& known = found->second;
  known.vm = std::move(message.vm);
  if (message.kind != subscription_kind::kRows) {
    loads_.AddConnection(known.connection, message.kind == subscription_kind::kRootLoads
                                               ? routing::neighbor_kind::kRoot
                                               : routing::neighbor_kind::kTree);
    return;
  }
  known.sent = std::move(message.versions);
  known.sent.resize(tables_.size());
  known.pending.assign(tables_.size(), true);
  gateway_.log.LogState("relay_follower", {{"vm", known.vm}, {"followers", followers_.size()}});
  gateway_.counters.Gauge("tarragon_gateway_relay_followers")
      .Set(static_cast<std::int64_t>(followers_.size()));
  PushPending(known);
}

void relay_node::OnTunnelRequest(relay_connection& connection, const tunnel_request& request) {
  if (followers_.erase(&connection) == 0) {
    return;
  }
  asio::ip::tcp::socket daemon = connection.Release();
  if (on_tunnel_request_) {
    on_tunnel_request_(std::move(daemon), request);
  }
}

void relay_node::OnReplicaChanged(std::size_t table) {
  for (follower& known : followers_ | std::views::values) {
    if (!known.sent.empty()) {
      known.pending[table] = true;
      PushPending(known);
    }
  }
}

void relay_node::PushPending(follower& target) {
  for (std::size_t table = 0; table < tables_.size(); ++table) {
    if (target.connection->is_writing()) {
      return;
    }
    if (target.pending[table]) {
      target.pending[table] = false;
      PushTo(target, table);
    }
  }
}

void relay_node::PushTo(follower& target, std::size_t table) {
  const table_replica& replica = tables_[table].replica;
  if (!replica.is_loaded() || replica.position().version < target.sent[table]) {
    // The follower is ahead; it needs nothing until this replica has caught up.
    return;
  }
  target.connection->SendFrame(EncodeUpdate(table, target.sent[table]));
  target.sent[table] = replica.position().version;
}

const std::string& relay_node::EncodeUpdate(std::size_t table, const routing::store_version& base) {
  const table_replica& replica = tables_[table].replica;
  const bool store_lost = replica.is_store_lost() || source_lost_store_;
  std::optional<encoded_update>& last = encoded_[table];
  if (!last || last->base != base || last->position != replica.position() ||
      last->store_lost != store_lost) {
    last = {.base = base, .position = replica.position(), .store_lost = store_lost, .frame = {}};
    last->frame = EncodeFrame(relay_update{.table = static_cast<std::uint8_t>(table),
                                           .store_lost = store_lost,
                                           .update = replica.ChangesSince(base)});
  }
  return last->frame;
}

void relay_node::OnRelayWritten(relay_connection& connection) {
  if (const auto found = followers_.find(&connection);
      found != followers_.end() && !found->second.sent.empty()) {
    PushPending(found->second);
  }
  loads_.OnWritable(connection);
}

void relay_node::OnRelayClosed(relay_connection& connection) {
  if (&connection == link_.get()) {
    gateway_.log.LogState("relay_source_lost", {{"source", link_address_}});
    selector_.OnSourceFailed(gateway_.time.Now());
    CloseLink();
    Update();
    return;
  }
  loads_.RemoveConnection(connection);
  followers_.erase(&connection);
  gateway_.counters.Gauge("tarragon_gateway_relay_followers")
      .Set(static_cast<std::int64_t>(followers_.size()));
}

void relay_node::ReportRelayedOutage() {
  if (reading_ || !source_lost_store_) {
    return;
  }
  for (const relayed_table& table : tables_) {
    if (table.essential && table.replica.Age().value_or(duration::zero()) > selector_.StaleAge()) {
      table.replica.OnStoreLost("the source has lost the store");
    }
  }
}

}  // namespace tarragon::gateway
