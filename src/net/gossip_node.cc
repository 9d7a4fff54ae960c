#include "tarragon/net/gossip_node.h"

#include <array>
#include <asio.hpp>
#include <mutex>
#include <random>
#include <utility>

#include "peer_address_conversion.h"
#include "tarragon/net/io_thread.h"

namespace tarragon::net {

namespace {

using membership::swim_output;

// Larger than any valid datagram, so that an oversized one is detected as malformed.
constexpr std::size_t kReceiveBufferBytes = 2048;
constexpr std::chrono::milliseconds kTickInterval{50};

}  // namespace

struct gossip_node::state : std::enable_shared_from_this<state> {
  state(asio::io_context& context,
        const clock& time_source,
        const gossip_options& node_options,
        std::uint64_t seed,
        gossip_callbacks handlers)
      : time(time_source),
        socket(context),
        timer(context),
        member(node_options.swim, seed),
        callbacks(std::move(handlers)),
        loss_probability(node_options.injected_loss),
        random(seed + 1) {}

  void Receive() {
    std::lock_guard lock(mutex);
    if (closed) {
      return;
    }
    socket.async_receive_from(
        asio::buffer(buffer), sender,
        [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
          if (error == asio::error::operation_aborted) {
            return;
          }
          // Other errors report that a host refused an earlier datagram; receiving goes on.
          if (!error) {
            self->UpdateMember([&](time_point now, swim_output& output) {
              self->member.HandleDatagram(
                  now, ToPeerAddress(self->sender.address(), self->sender.port()),
                  std::string_view(self->buffer.data(), size), output);
            });
          }
          self->Receive();
        });
  }

  void ScheduleTick() {
    std::lock_guard lock(mutex);
    if (closed) {
      return;
    }
    timer.expires_after(kTickInterval);
    timer.async_wait([self = shared_from_this()](const asio::error_code& error) {
      if (error) {
        return;
      }
      self->UpdateMember(
          [&](time_point now, swim_output& output) { self->member.Tick(now, output); });
      self->ScheduleTick();
    });
  }

  /** Calls `update` under the lock, sends the resulting datagrams, then runs the callbacks. */
  template <typename Update>
  void UpdateMember(Update update) {
    swim_output output;
    {
      std::lock_guard lock(mutex);
      if (closed) {
        return;
      }
      update(time.Now(), output);
      for (const membership::outgoing_datagram& datagram : output.datagrams) {
        Send(datagram);
      }
    }
    for (const auto& received : output.peer_states) {
      if (callbacks.on_state) {
        callbacks.on_state(received);
      }
    }
    for (const auto& change : output.changes) {
      if (callbacks.on_change) {
        callbacks.on_change(change);
      }
    }
    for (const auto& newer : output.newer_documents) {
      if (callbacks.on_newer_document) {
        callbacks.on_newer_document(newer);
      }
    }
  }

  void Send(const membership::outgoing_datagram& datagram) {
    if (loss_probability > 0 && std::uniform_real_distribution<>(0, 1)(random) < loss_probability) {
      return;
    }
    // A failed send counts as packet loss, which the protocol tolerates.
    asio::error_code ignored;
    socket.send_to(asio::buffer(datagram.bytes),
                   asio::ip::udp::endpoint(ToIp(datagram.to), datagram.to.port), 0, ignored);
  }

  const clock& time;
  mutable std::mutex mutex;
  bool closed = false;
  asio::ip::udp::socket socket;
  asio::steady_timer timer;
  membership::swim_member member;
  gossip_callbacks callbacks;
  double loss_probability;
  std::mt19937_64 random;
  std::array<char, kReceiveBufferBytes> buffer{};
  asio::ip::udp::endpoint sender;
};

std::unique_ptr<gossip_node> gossip_node::Make(io_thread& io,
                                               const clock& time,
                                               const gossip_options& options,
                                               std::uint64_t seed,
                                               gossip_callbacks callbacks) {
  const asio::ip::udp::endpoint local(ToIp(options.swim.gossip), options.swim.gossip.port);
  auto shared = std::make_shared<state>(io.Context(), time, options, seed, std::move(callbacks));
  asio::error_code error;
  shared->socket.open(local.protocol(), error);
  if (!error) {
    shared->socket.bind(local, error);
  }
  if (!error) {
    shared->socket.non_blocking(true, error);
  }
  if (error) {
    return nullptr;
  }
  shared->Receive();
  shared->ScheduleTick();
  return std::unique_ptr<gossip_node>(new gossip_node(std::move(shared)));
}

gossip_node::gossip_node(std::shared_ptr<state> shared_state) : state_(std::move(shared_state)) {}

gossip_node::~gossip_node() {
  std::lock_guard lock(state_->mutex);
  state_->closed = true;
  asio::error_code ignored;
  state_->socket.close(ignored);
  state_->timer.cancel();
}

void gossip_node::SetDocumentVersion(std::uint64_t version) {
  state_->UpdateMember([this, version](time_point now, swim_output& output) {
    if (version > state_->member.DocumentVersion()) {
      state_->member.SetDocumentVersion(now, version, output);
    }
  });
}

void gossip_node::SetState(const decision::peer_state& state) {
  std::lock_guard lock(state_->mutex);
  state_->member.SetLocalState(state);
}

void gossip_node::SetSeeds(std::vector<wire::peer_address> seeds) {
  std::lock_guard lock(state_->mutex);
  state_->member.SetSeeds(std::move(seeds));
}

void gossip_node::SetLeaseHint(const membership::lease_hint& hint) {
  std::lock_guard lock(state_->mutex);
  state_->member.SetLeaseHint(hint);
}

void gossip_node::Leave() {
  state_->UpdateMember(
      [this](time_point now, swim_output& output) { state_->member.Leave(now, output); });
}

membership::lease_hint gossip_node::LeaseHint() const {
  std::lock_guard lock(state_->mutex);
  return state_->member.LeaseHint();
}

std::vector<membership::member_view> gossip_node::Members() const {
  std::lock_guard lock(state_->mutex);
  return state_->member.Members();
}

std::size_t gossip_node::AliveCount() const {
  std::lock_guard lock(state_->mutex);
  return state_->member.AliveCount();
}

membership::swim_counters gossip_node::Counters() const {
  std::lock_guard lock(state_->mutex);
  return state_->member.Counters();
}

}  // namespace tarragon::net
