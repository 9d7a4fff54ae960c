#include "tarragon/gateway/tunnel_server.h"

#include <fmt/format.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <functional>
#include <utility>

#include "tarragon/gateway/socket_options.h"

namespace tarragon::gateway {

/** A request whose endpoint is being connected to. */
struct tunnel_server::pending_tunnel {
  explicit pending_tunnel(asio::ip::tcp::socket socket)
      : daemon(std::move(socket)), endpoint(daemon.get_executor()) {}

  asio::ip::tcp::socket daemon;
  asio::ip::tcp::socket endpoint;
  routing::endpoint_ptr target;
  tunnel_framing framing = tunnel_framing::kPlain;
  std::array<char, 1> status{};
  /** Counted in `pending_` until the status has been sent. */
  bool is_counted = false;
};

tunnel_server::tunnel_server(gateway_state& gateway, path_monitor& paths)
    : gateway_(gateway), paths_(paths) {}

tunnel_server::~tunnel_server() {
  for (const std::shared_ptr<tunnel>& open : tunnels_) {
    open->Close();
  }
}

void tunnel_server::Open(asio::ip::tcp::socket daemon, const tunnel_request& request) {
  const auto pending = std::make_shared<pending_tunnel>(std::move(daemon));
  pending->target = gateway_.endpoints.Find(request.endpoint_id);
  pending->framing = request.accepts_chunks ? tunnel_framing::kChunked : tunnel_framing::kPlain;
  if (gateway_.draining || tunnels_.size() + pending_ >= kMaxTunnels) {
    Reply(pending, tunnel_status::kBusy);
  } else if (pending->target == nullptr) {
    Reply(pending, tunnel_status::kUnknownEndpoint);
  } else if (paths_.IsCutOff(pending->target->entry.address)) {
    Reply(pending, tunnel_status::kNoPath);
  } else {
    pending->is_counted = true;
    ++pending_;
    OnCountChanged();
    const auto attempt = std::make_shared<connection_attempt>(gateway_.loop, &paths_);
    attempt->StartDirectly(pending->target->entry.address, [this, pending](connect_result result) {
      gateway_.RunGuarded("tunnel", [&] { OnConnected(pending, std::move(result)); });
    });
  }
}

void tunnel_server::OnConnected(const std::shared_ptr<pending_tunnel>& pending,
                                connect_result result) {
  if (auto* const connection = std::get_if<endpoint_connection>(&result)) {
    pending->endpoint = std::move(connection->socket);
    Reply(pending, pending->framing == tunnel_framing::kChunked ? tunnel_status::kOpenChunked
                                                                : tunnel_status::kOpen);
    return;
  }
  if (paths_.IsCutOff(pending->target->entry.address)) {
    Reply(pending, tunnel_status::kNoPath);
    return;
  }
  if (std::get<connect_failure>(result) == connect_failure::kRefused) {
    gateway_.RecordRefused(*pending->target);
  }
  Reply(pending, tunnel_status::kUnreachable);
}

void tunnel_server::Reply(const std::shared_ptr<pending_tunnel>& pending, tunnel_status status) {
  gateway_.counters
      .Counter("tarragon_gateway_tunnels_total", fmt::format("status=\"{}\"", ToString(status)))
      .Add();
  pending->status = {static_cast<char>(status)};
  asio::async_write(pending->daemon, asio::buffer(pending->status),
                    [this, pending](const asio::error_code& error, std::size_t) {
                      if (std::exchange(pending->is_counted, false)) {
                        --pending_;
                      }
                      if (!error && pending->endpoint.is_open()) {
                        Begin(pending);
                      } else {
                        OnCountChanged();
                      }
                    });
}

void tunnel_server::Begin(const std::shared_ptr<pending_tunnel>& pending) {
  const auto added = std::make_shared<tunnel>(std::move(pending->daemon),
                                              std::move(pending->endpoint), pending->framing);
  tunnels_.insert(added);
  OnCountChanged();
  added->Start([this, weak = std::weak_ptr<tunnel>(added)] {
    if (const auto ended = weak.lock()) {
      OnEnded(ended);
    }
  });
}

void tunnel_server::OnEnded(const std::shared_ptr<tunnel>& ended) {
  tunnels_.erase(ended);
  OnCountChanged();
}

void tunnel_server::OnCountChanged() {
  gateway_.open_tunnels = tunnels_.size() + pending_;
  gateway_.counters.Gauge("tarragon_gateway_open_tunnels")
      .Set(static_cast<std::int64_t>(gateway_.open_tunnels));
  if (gateway_.open_tunnels == 0 && gateway_.on_work_done) {
    gateway_.on_work_done();
  }
}

}  // namespace tarragon::gateway
