#include "tarragon/gateway/connection_attempt.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <optional>
#include <utility>

#include "tarragon/gateway/path_monitor.h"
#include "tarragon/gateway/relay_message.h"
#include "tarragon/gateway/socket_options.h"

namespace tarragon::gateway {

connection_attempt::connection_attempt(asio::io_context& loop, path_monitor* paths)
    : loop_(loop), paths_(paths), socket_(loop), timer_(loop) {}

void connection_attempt::Start(const std::string& address, handler on_result) {
  address_ = address;
  on_result_ = std::move(on_result);
  if (!direct_only_ && paths_ != nullptr && paths_->IsCutOff(address_)) {
    TryNextPeer();
  } else {
    ConnectDirectly();
  }
}

void connection_attempt::StartDirectly(const std::string& address, handler on_result) {
  direct_only_ = true;
  Start(address, std::move(on_result));
}

void connection_attempt::Cancel() {
  on_result_ = nullptr;
  Abandon();
}

void connection_attempt::ReportReset() {
  if (is_direct_ && paths_ != nullptr) {
    paths_->OnConnectFailed(address_);
  }
}

void connection_attempt::Abandon() {
  ++operation_;
  timer_.cancel();
  asio::error_code ignored;
  socket_.close(ignored);
  socket_ = asio::ip::tcp::socket(loop_);
}

void connection_attempt::Finish(connect_result result) {
  ++operation_;
  timer_.cancel();
  if (const handler on_result = std::exchange(on_result_, nullptr)) {
    on_result(std::move(result));
  }
}

void connection_attempt::ArmTimer(std::chrono::milliseconds timeout) {
  timer_.expires_after(timeout);
  timer_.async_wait(
      [self = shared_from_this(), operation = operation_](const asio::error_code& error) {
        // After a pause of the process, this handler may have been queued before the cancellation.
        if (error || operation != self->operation_) {
          return;
        }
        if (self->peer_.empty()) {
          self->OnDirectResult(asio::error::timed_out);
        } else {
          self->OnPeerFailed();
        }
      });
}

void connection_attempt::Connect(const std::string& address,
                                 std::chrono::milliseconds timeout,
                                 void (connection_attempt::*next)(const asio::error_code&)) {
  const auto target = ParseAddress(address);
  asio::error_code error;
  if (target) {
    socket_.open(target->protocol(), error);
  }
  if (!target || error) {
    asio::post(loop_, [self = shared_from_this(), next, operation = operation_] {
      if (operation == self->operation_) {
        (self.get()->*next)(asio::error::address_family_not_supported);
      }
    });
    return;
  }
  SetConnectionOptions(socket_);
  ArmTimer(timeout);
  socket_.async_connect(*target, [self = shared_from_this(), next,
                                  operation = operation_](const asio::error_code& code) {
    if (operation == self->operation_) {
      (self.get()->*next)(code);
    }
  });
}

void connection_attempt::ConnectDirectly() {
  if (paths_ != nullptr) {
    started_at_ = paths_->Now();
  }
  Connect(address_, kConnectTimeout, &connection_attempt::OnDirectResult);
}

void connection_attempt::OnDirectResult(const asio::error_code& error) {
  if (!error) {
    is_direct_ = true;
    if (paths_ != nullptr) {
      paths_->OnConnected(address_, started_at_);
    }
    Finish(endpoint_connection{std::move(socket_), endpoint_path::kDirect});
    return;
  }
  Abandon();
  if (paths_ != nullptr) {
    paths_->OnConnectFailed(address_);
  }
  if (!direct_only_ && paths_ != nullptr && paths_->IsCutOff(address_)) {
    TryNextPeer();
    return;
  }
  Finish(error == asio::error::connection_refused ? connect_failure::kRefused
                                                  : connect_failure::kUnreachable);
}

void connection_attempt::TryNextPeer() {
  const std::optional<tunnel_request> request = paths_->MakeRequest(address_);
  const std::optional<std::string> peer = paths_->ChoosePeer();
  if (!request || !peer || peers_tried_ == kMaxPeers || found_unreachable_ == kMaxUnreachable) {
    // The caller of this function may still use the attempt.
    asio::post(loop_, [self = shared_from_this()] { self->Finish(connect_failure::kUnreachable); });
    return;
  }
  ++peers_tried_;
  peer_ = *peer;
  request_ = EncodeFrame(*request);
  Connect(peer_, kPeerConnectTimeout, &connection_attempt::OnPeerConnected);
}

void connection_attempt::OnPeerConnected(const asio::error_code& error) {
  if (error) {
    OnPeerFailed();
    return;
  }
  ArmTimer(kPeerReplyTimeout);
  SendRequest();
}

void connection_attempt::SendRequest() {
  asio::async_write(socket_, asio::buffer(request_),
                    [self = shared_from_this(), operation = operation_](
                        const asio::error_code& error, std::size_t) {
                      if (operation != self->operation_) {
                        return;
                      }
                      if (error) {
                        self->OnPeerFailed();
                      } else {
                        self->ReadStatus();
                      }
                    });
}

void connection_attempt::ReadStatus() {
  // Reads one byte only: all further ones are the endpoint's.
  socket_.async_read_some(asio::buffer(status_),
                          [self = shared_from_this(), operation = operation_](
                              const asio::error_code& error, std::size_t) {
                            if (operation != self->operation_) {
                              return;
                            }
                            const auto status = ReadTunnelStatus(self->status_[0]);
                            if (error || !status) {
                              self->OnPeerFailed();
                            } else {
                              self->OnPeerStatus(*status);
                            }
                          });
}

void connection_attempt::OnPeerFailed() {
  Abandon();
  paths_->OnPeerFailed(peer_);
  TryNextPeer();
}

void connection_attempt::OnPeerStatus(tunnel_status status) {
  paths_->OnPeerStatus(peer_, address_, status);
  if (status == tunnel_status::kOpen || status == tunnel_status::kOpenChunked) {
    Finish(endpoint_connection{std::move(socket_), status == tunnel_status::kOpenChunked
                                                       ? endpoint_path::kChunkedTunnel
                                                       : endpoint_path::kPlainTunnel});
    return;
  }
  found_unreachable_ += status == tunnel_status::kUnreachable ? 1 : 0;
  Abandon();
  TryNextPeer();
}

}  // namespace tarragon::gateway
