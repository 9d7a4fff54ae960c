#include "tarragon/net/document_server.h"

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <atomic>
#include <utility>

#include "peer_endpoint.h"
#include "tarragon/net/io_thread.h"
#include "tarragon/wire/document_message.h"

namespace tarragon::net {

namespace {

// All peers of 64 VMs may ask at once after an edit; a later one asks again or elsewhere.
constexpr int kMaxConnections = 64;
constexpr std::chrono::seconds kConnectionTimeout{5};
// A request holds the versions of six sections; a longer one is not ours.
constexpr std::size_t kMaxRequestFrame = 2048;

bool IsKnown(const wire::document_request& request, const document::section& entry) {
  return std::ranges::any_of(request.known, [&entry](const wire::known_section& known) {
    return known.name == entry.name && known.version == entry.version;
  });
}

wire::document_response ToAnswer(const document::document_ptr& document,
                                 const wire::document_request& request) {
  wire::document_response answer;
  if (document == nullptr || document->version() <= request.newer_than) {
    return answer;
  }
  answer.version = document->version();
  for (const document::section& entry : document->sections()) {
    if (IsKnown(request, entry)) {
      answer.unchanged.push_back(entry.name);
      continue;
    }
    answer.sections.push_back({.name = entry.name,
                               .version = entry.version,
                               .edit_id = entry.edit_id,
                               .author = entry.author,
                               .text = entry.text});
  }
  return answer;
}

}  // namespace

struct document_server::state : std::enable_shared_from_this<state> {
  state(asio::io_context& context, std::string fleet_key, const document::document_replica& source)
      : acceptor(context), key(std::move(fleet_key)), replica(source) {}

  /** One request and its answer. */
  struct connection : std::enable_shared_from_this<connection> {
    connection(std::shared_ptr<state> server, asio::ip::tcp::socket accepted)
        : owner(std::move(server)), socket(std::move(accepted)), timer(socket.get_executor()) {
      ++owner->connections;
    }
    ~connection() { --owner->connections; }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void Start() {
      timer.expires_after(kConnectionTimeout);
      timer.async_wait([weak = weak_from_this()](const asio::error_code& fault) {
        if (const auto self = weak.lock(); self != nullptr && !fault) {
          asio::error_code ignored;
          self->socket.close(ignored);
        }
      });
      asio::async_read(socket, asio::buffer(header),
                       [self = shared_from_this()](const asio::error_code& fault, std::size_t) {
                         if (!fault) {
                           self->ReadRequest();
                         }
                       });
    }

    void ReadRequest() {
      const auto length = wire::FrameLength(std::string_view(header.data(), header.size()));
      if (!length || *length > kMaxRequestFrame) {
        return;
      }
      frame.resize(*length);
      asio::async_read(socket, asio::buffer(frame),
                       [self = shared_from_this()](const asio::error_code& fault, std::size_t) {
                         if (!fault) {
                           self->Answer();
                         }
                       });
    }

    void Answer() {
      const auto request = wire::DecodeRequest(frame, owner->key);
      if (!request || owner->closed) {
        return;
      }
      frame = wire::EncodeFrame(ToAnswer(owner->replica.Current(), *request), owner->key);
      asio::async_write(socket, asio::buffer(frame),
                        [self = shared_from_this()](const asio::error_code&, std::size_t) {
                          self->timer.cancel();
                        });
    }

    std::shared_ptr<state> owner;
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, wire::kFrameHeaderSize> header{};
    std::string frame;
  };

  void Accept() {
    acceptor.async_accept(
        [self = shared_from_this()](const asio::error_code& fault, asio::ip::tcp::socket socket) {
          if (self->closed || fault == asio::error::operation_aborted) {
            return;
          }
          if (!fault && self->connections < kMaxConnections) {
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
  asio::error_code fault;
  shared->acceptor.open(local.protocol(), fault);
  if (!fault) {
    shared->acceptor.set_option(asio::socket_base::reuse_address(true), fault);
  }
  if (!fault) {
    shared->acceptor.bind(local, fault);
  }
  if (!fault) {
    shared->acceptor.listen(asio::socket_base::max_listen_connections, fault);
  }
  if (fault) {
    return nullptr;
  }
  shared->Accept();
  return std::unique_ptr<document_server>(new document_server(std::move(shared)));
}

document_server::document_server(std::shared_ptr<state> shared) : state_(std::move(shared)) {}

document_server::~document_server() {
  state_->closed = true;
  asio::post(state_->acceptor.get_executor(), [shared = state_] {
    asio::error_code ignored;
    shared->acceptor.close(ignored);
  });
}

}  // namespace tarragon::net
