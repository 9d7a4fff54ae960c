#include "tarragon/net/peer_exchange.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <thread>
#include <utility>

#include "tarragon/net/document_server.h"
#include "tarragon/net/gossip_node.h"
#include "tarragon/net/io_thread.h"

namespace tarragon::net {

struct peer_exchange::state {
  state(peer_exchange_options exchange_options,
        callbacks exchange_callbacks,
        const document::document_replica& replica,
        const clock& time_source)
      : options(std::move(exchange_options)),
        handlers(std::move(exchange_callbacks)),
        documents(replica),
        time(time_source) {}

  bool Start() {
    io = std::make_unique<io_thread>();
    gossip_options gossip_settings;
    gossip_settings.swim.name = options.vm;
    gossip_settings.swim.gossip = options.address;
    gossip_settings.swim.document_port = options.address.port;
    gossip_settings.swim.incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time.WallNow().time_since_epoch())
            .count());
    gossip_settings.swim.seeds = options.seeds;
    gossip_settings.swim.key = options.keys.gossip;
    server = document_server::Make(*io, options.address, options.keys.documents, documents);
    if (!server) {
      return false;
    }
    gossip = gossip_node::Make(
        *io, time, gossip_settings, std::random_device{}(),
        {.on_state = [this](const auto& received) { StoreState(received); },
         .on_change = [this](const auto& change) { StoreLoss(change); },
         .on_newer_document = [this](const auto& newer) { handlers.on_newer_document(newer); }});
    if (!gossip) {
      return false;
    }
    gossip->SetDocumentVersion(documents.Version());
    publisher = std::thread([this] { RunPublisher(); });
    return true;
  }

  void Stop() {
    {
      std::lock_guard lock(mutex);
      stopped = true;
    }
    changed.notify_all();
    if (publisher.joinable()) {
      publisher.join();
    }
    gossip.reset();
    server.reset();
    io.reset();
  }

  // The I/O thread answers probes; if it blocked on the event queue, other members would take this
  // VM for dead. It only stores the events, with the newest state of each VM, and the publisher
  // thread delivers them.
  void StoreState(const decision::peer_state_received& received) {
    {
      std::lock_guard lock(mutex);
      pending_states[received.vm] = received;
    }
    changed.notify_all();
  }

  void StoreLoss(const membership::member_change& change) {
    if (change.state != wire::member_state::kDead && change.state != wire::member_state::kLeft) {
      return;
    }
    {
      std::lock_guard lock(mutex);
      pending_states.erase(change.name);
      pending_losses.insert(change.name);
    }
    changed.notify_all();
  }

  void RunPublisher() {
    time_point next_publish = time.Now();
    std::unique_lock lock(mutex);
    while (!stopped) {
      changed.wait_for(lock, std::max(next_publish - time.Now(), duration::zero()), [this] {
        return stopped || !pending_states.empty() || !pending_losses.empty();
      });
      const auto received = std::exchange(pending_states, {});
      const auto lost_vms = std::exchange(pending_losses, {});
      lock.unlock();
      // Losses are delivered first: a state stored after a loss comes from the restarted VM.
      for (const std::string& vm : lost_vms) {
        handlers.on_event(decision::peer_lost{vm});
      }
      for (const auto& [vm, received_state] : received) {
        handlers.on_event(received_state);
      }
      if (time.Now() >= next_publish) {
        next_publish = time.Now() + options.publish_interval;
        gossip->SetState(handlers.get_local_state());
      }
      lock.lock();
    }
  }

  const peer_exchange_options options;
  const callbacks handlers;
  const document::document_replica& documents;
  const clock& time;

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, decision::peer_state_received> pending_states;
  std::set<std::string> pending_losses;
  bool stopped = false;

  std::unique_ptr<io_thread> io;
  std::unique_ptr<document_server> server;
  std::unique_ptr<gossip_node> gossip;
  std::thread publisher;
};

peer_exchange::peer_exchange(peer_exchange_options options,
                             callbacks handlers,
                             const document::document_replica& replica,
                             const clock& time)
    : state_(std::make_unique<state>(std::move(options), std::move(handlers), replica, time)) {}

peer_exchange::~peer_exchange() {
  Stop();
}

bool peer_exchange::Start() {
  return state_->Start();
}

void peer_exchange::Stop() {
  state_->Stop();
}

void peer_exchange::SetDocumentVersion(std::uint64_t version) {
  if (state_->gossip) {
    state_->gossip->SetDocumentVersion(version);
  }
}

void peer_exchange::SetListedSeeds(const std::vector<wire::peer_address>& listed) {
  if (state_->gossip) {
    std::vector<wire::peer_address> seeds = state_->options.seeds;
    seeds.insert(seeds.end(), listed.begin(), listed.end());
    state_->gossip->SetSeeds(std::move(seeds));
  }
}

void peer_exchange::Leave() {
  if (state_->gossip) {
    state_->gossip->Leave();
  }
}

std::vector<membership::member_view> peer_exchange::Members() const {
  return state_->gossip ? state_->gossip->Members() : std::vector<membership::member_view>();
}

}  // namespace tarragon::net
