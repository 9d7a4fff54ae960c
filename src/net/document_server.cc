#include "tarragon/net/document_server.h"

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <atomic>
#include <utility>

#include "peer_address_conversion.h"
#include "tarragon/net/io_thread.h"
#include "tarragon/wire/document_message.h"

namespace tarragon::net {

namespace {

// After an edit, all peers in a fleet of 64 VMs may connect at once. A rejected peer retries here
// or fetches elsewhere.
constexpr int kMaxConnections = 64;
constexpr std::chrono::seconds kConnectionTimeout{5};
// A request holds the versions of six sections; a longer frame does not come from a peer.
constexpr std::size_t kMaxRequestFrameBytes = 2048;

bool PeerHasSection(const wire::document_request& request, const document::section& section) {
  return std::ranges::any_of(request.known, [&section](const wire::known_section& known) {
    return known.name == section.name && known.version == section.version;
  });
}

wire::document_response MakeResponse(const document::document_ptr& document,
                                     const wire::document_request& request) {
  wire::document_response response;
  if (document == nullptr || document->version() <= request.newer_than) {
    return response;
  }
  response.version = document->version();
  for (const document::section& section : document->sections()) {
    if (PeerHasSection(request, section)) {
      response.unchanged.push_back(section.name);
      continue;
    }
    response.sections.push_back({.name = section.name,
                                 .version = section.version,
                                 .edit_id = section.edit_id,
                                 .author = section.author,
                                 .text = section.text});
  }
  return response;
}

}  // namespace

struct document_server::state : std::enable_shared_from_this<state> {
  state(asio::io_context& context,
        std::string fleet_key,
        const document::document_replica& document_source)
      : acceptor(context), key(std::move(fleet_key)), replica(document_source) {}

  /** Reads one request and sends the response. */
  struct connection : std::enable_shared_from_this<connection> {
    connection(std::shared_ptr<state> server_state, asio::ip::tcp::socket accepted)
        : server(std::move(server_state)),
          socket(std::move(accepted)),
          timer(socket.get_executor()) {
      ++server->connections;
    }
    ~connection() { --server->connections; }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void Start() {
      timer.expires_after(kConnectionTimeout);
      timer.async_wait([weak = weak_from_this()](const asio::error_code& error) {
        if (const auto self = weak.lock(); self != nullptr && !error) {
          asio::error_code ignored;
          self->socket.close(ignored);
        }
      });
      asio::async_read(socket, asio::buffer(header),
                       [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                         if (!error) {
                           self->ReadRequest();
                         }
                       });
    }

    void ReadRequest() {
      const auto length = wire::FrameLength(std::string_view(header.data(), header.size()));
      if (!length || *length > kMaxRequestFrameBytes) {
        return;
      }
      frame.resize(*length);
      asio::async_read(socket, asio::buffer(frame),
                       [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                         if (!error) {
                           self->SendResponse();
                         }
                       });
    }

    void SendResponse() {
      const auto request = wire::DecodeRequest(frame, server->key);
      if (!request || server->closed) {
        return;
      }
      frame = wire::EncodeFrame(MakeResponse(server->replica.Current(), *request), server->key);
      asio::async_write(socket, asio::buffer(frame),
                        [self = shared_from_this()](const asio::error_code&, std::size_t) {
                          self->timer.cancel();
                        });
    }

    std::shared_ptr<state> server;
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, wire::kFrameHeaderSize> header{};
    std::string frame;
  };

  void Accept() {
    acceptor.async_accept(
        [self = shared_from_this()](const asio::error_code& error, asio::ip::tcp::socket socket) {
          if (self->closed || error == asio::error::operation_aborted) {
            return;
          }
          if (!error && self->connections < kMaxConnections) {
            std::make_shared<connection>(self, std::move(socket))->Start();
          }
          self->Accept();
        });
  }

  asio::ip::tcp::acceptor acceptor;
  std::string key;
  const document::document_replica& replica;
  std::atomic<int> connections = 0;
  std::atomic<bool> closed = false;
};

std::unique_ptr<document_server> document_server::Make(io_thread& io,
                                                       const wire::peer_address& address,
                                                       std::string key,
                                                       const document::document_replica& replica) {
  auto shared = std::make_shared<state>(io.Context(), std::move(key), replica);
  const asio::ip::tcp::endpoint local(ToIp(address), address.port);
  asio::error_code error;
  shared->acceptor.open(local.protocol(), error);
  if (!error) {
    shared->acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    shared->acceptor.bind(local, error);
  }
  if (!error) {
    shared->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return nullptr;
  }
  shared->Accept();
  return std::unique_ptr<document_server>(new document_server(std::move(shared)));
}

document_server::document_server(std::shared_ptr<state> shared_state)
    : state_(std::move(shared_state)) {}

document_server::~document_server() {
  state_->closed = true;
  asio::post(state_->acceptor.get_executor(), [shared = state_] {
    asio::error_code ignored;
    shared->acceptor.close(ignored);
  });
}

}  // namespace tarragon::net
