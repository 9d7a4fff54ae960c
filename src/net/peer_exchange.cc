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
        callbacks callers,
        const document::document_replica& replica,
        const clock& source)
      : options(std::move(exchange_options)),
        handlers(std::move(callers)),
        documents(replica),
        time(source) {}

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
        {.on_state = [this](const auto& received) { KeepState(received); },
         .on_change = [this](const auto& change) { KeepChange(change); },
         .on_newer_document = [this](const auto& newer) { handlers.newer_document(newer); }});
    if (!gossip) {
      return false;
    }
    gossip->SetDocumentVersion(documents.Version());
    publisher = std::thread([this] { Publish(); });
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

  // The I/O thread answers probes, so that waiting for the engine there would look like a death.
  // Events are kept here, the newest state of each VM only, and handed over by the publisher.
  void KeepState(const decision::peer_state_received& received) {
    {
      std::lock_guard lock(mutex);
      states[received.vm] = received;
    }
    changed.notify_all();
  }

  void KeepChange(const membership::member_change& change) {
    if (change.state != wire::member_state::kDead && change.state != wire::member_state::kLeft) {
      return;
    }
    {
      std::lock_guard lock(mutex);
      states.erase(change.name);
      lost.insert(change.name);
    }
    changed.notify_all();
  }

  void Publish() {
    time_point next = time.Now();
    std::unique_lock lock(mutex);
    while (!stopped) {
      changed.wait_for(lock, std::max(next - time.Now(), duration::zero()),
                       [this] { return stopped || !states.empty() || !lost.empty(); });
      const auto received = std::exchange(states, {});
      const auto gone = std::exchange(lost, {});
      lock.unlock();
      // A loss is reported first: a state in the same round is of the VM's next process.
      for (const std::string& vm : gone) {
        handlers.events(decision::peer_lost{vm});
      }
      for (const auto& [vm, counts] : received) {
        handlers.events(counts);
      }
      if (time.Now() >= next) {
        next = time.Now() + options.publish_interval;
        gossip->SetState(handlers.local_state());
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
  std::map<std::string, decision::peer_state_received> states;
  std::set<std::string> lost;
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
