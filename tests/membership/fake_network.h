#ifndef TARRAGON_TESTS_MEMBERSHIP_FAKE_NETWORK_H_
#define TARRAGON_TESTS_MEMBERSHIP_FAKE_NETWORK_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tarragon/membership/swim_member.h"

namespace tarragon::membership {

struct network_faults {
  double loss = 0;
  double duplication = 0;
  std::chrono::milliseconds min_delay{1};
  std::chrono::milliseconds max_delay{5};
};

/**
 * In-memory network of SWIM members with simulated time. A process adopts a newer document version
 * as soon as a peer reports one, without a fetch.
 */
class fake_network final {
 public:
  static constexpr std::chrono::milliseconds kStep{50};

  fake_network(std::size_t count, std::uint64_t seed) : random_(seed), nodes_(count) {
    for (std::size_t i = 0; i < count; ++i) {
      Start(i, 1000);
    }
  }

  /** Starts or restarts member `index` as a new process. */
  void Start(std::size_t index, std::uint64_t incarnation) {
    swim_options options;
    options.name = Name(index);
    options.gossip = Address(index);
    options.document_port = 1;
    options.incarnation = incarnation;
    options.seeds = {Address(0), Address(1)};
    options.key = "test";
    nodes_[index].process = std::make_unique<swim_member>(options, random_());
    nodes_[index].newest_version = 0;
  }
  void Stop(std::size_t index) { nodes_[index].process.reset(); }
  void SetPaused(std::size_t index, bool paused) { nodes_[index].paused = paused; }
  void SetFaults(network_faults faults) { faults_ = faults; }
  /** @param group only members of the same group reach each other; empty ends the partition. */
  void SetPartition(std::function<int(std::size_t)> group) { group_ = std::move(group); }

  void SetVersion(std::size_t index, std::uint64_t version) {
    swim_output output;
    nodes_[index].process->SetDocumentVersion(now_, version, output);
    Collect(index, output);
  }

  void Inject(std::size_t index, const std::string& bytes) {
    swim_output output;
    nodes_[index].process->HandleDatagram(now_, Address(index), bytes, output);
    Collect(index, output);
  }

  void Run(duration time) {
    const time_point end = now_ + time;
    while (now_ < end) {
      now_ += kStep;
      Deliver();
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i].process != nullptr && !nodes_[i].paused) {
          // After a pause, the timer may run before the backlog of datagrams is handled.
          swim_output output;
          nodes_[i].process->Tick(now_, output);
          Collect(i, output);
          DrainBacklog(i);
        }
      }
    }
    for (const node& entry : nodes_) {
      if (entry.process != nullptr) {
        entry.process->Validate();
      }
    }
  }

  const swim_member& Member(std::size_t index) const { return *nodes_[index].process; }
  time_point Now() const { return now_; }

  /** @return whether each running member sees as many members alive as are running. */
  bool MembersAgree() const {
    for (const node& entry : nodes_) {
      if (entry.process == nullptr) {
        continue;
      }
      std::size_t alive = 0;
      for (const member_view& view : entry.process->Members()) {
        alive += view.state == wire::member_state::kAlive ? 1 : 0;
      }
      if (alive + 1 != RunningCount()) {
        return false;
      }
    }
    return true;
  }

  std::uint64_t LowestVersion() const {
    std::uint64_t lowest = ~std::uint64_t{0};
    for (const node& entry : nodes_) {
      if (entry.process != nullptr) {
        lowest = std::min(lowest, entry.process->DocumentVersion());
      }
    }
    return lowest;
  }

  std::uint64_t HighestVersion() const {
    std::uint64_t highest = 0;
    for (const node& entry : nodes_) {
      if (entry.process != nullptr) {
        highest = std::max(highest, entry.process->DocumentVersion());
      }
    }
    return highest;
  }

  /** Number of times that a member reported a running member as dead. */
  int FalseDeaths() const { return false_deaths_; }
  /** Number of times that the document version of a running process decreased. */
  int VersionDecreases() const { return version_decreases_; }

  std::uint64_t SumCounter(std::uint64_t swim_counters::*counter) const {
    std::uint64_t sum = 0;
    for (const node& entry : nodes_) {
      sum += entry.process == nullptr ? 0 : entry.process->Counters().*counter;
    }
    return sum;
  }

  static std::string Name(std::size_t index) { return "vm-" + std::to_string(index); }
  static wire::peer_address Address(std::size_t index) {
    wire::peer_address address;
    address.ip[15] = 1;
    address.port = static_cast<std::uint16_t>(index + 1);
    return address;
  }

 private:
  struct node {
    std::unique_ptr<swim_member> process;
    bool paused = false;
    std::uint64_t newest_version = 0;
    std::vector<std::pair<wire::peer_address, std::string>> backlog;
  };
  struct delivery {
    time_point at;
    std::uint64_t sequence;
    std::size_t from;
    std::size_t to;
    std::string bytes;
    bool operator<(const delivery& other) const {
      return std::pair(at, sequence) > std::pair(other.at, other.sequence);
    }
  };

  std::size_t RunningCount() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(nodes_, [](const node& entry) { return entry.process != nullptr; }));
  }

  bool Chance(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }

  void Collect(std::size_t index, const swim_output& output) {
    for (const outgoing_datagram& datagram : output.datagrams) {
      const std::size_t to = datagram.to.port - 1U;
      if (to >= nodes_.size() || (group_ && group_(index) != group_(to)) || Chance(faults_.loss)) {
        continue;
      }
      for (int copies = Chance(faults_.duplication) ? 2 : 1; copies > 0; --copies) {
        const auto delay = std::uniform_int_distribution<std::int64_t>(
            faults_.min_delay.count(), faults_.max_delay.count())(random_);
        deliveries_.push(
            {now_ + std::chrono::milliseconds(delay), ++last_sequence_, index, to, datagram.bytes});
      }
    }
    for (const member_change& change : output.changes) {
      const auto subject = static_cast<std::size_t>(std::stoul(change.name.substr(3)));
      if (change.state == wire::member_state::kDead && nodes_[subject].process != nullptr &&
          !nodes_[subject].paused && !group_) {
        ++false_deaths_;
      }
    }
    std::uint64_t newest = nodes_[index].process->DocumentVersion();
    for (const newer_document& newer : output.newer_documents) {
      newest = std::max(newest, newer.version);
    }
    if (newest > nodes_[index].process->DocumentVersion()) {
      SetVersion(index, newest);
    }
    const std::uint64_t version = nodes_[index].process->DocumentVersion();
    version_decreases_ += version < nodes_[index].newest_version ? 1 : 0;
    nodes_[index].newest_version = version;
  }

  void Deliver() {
    while (!deliveries_.empty() && deliveries_.top().at <= now_) {
      const delivery next = deliveries_.top();
      deliveries_.pop();
      node& target = nodes_[next.to];
      if (target.process == nullptr) {
        continue;
      }
      target.backlog.emplace_back(Address(next.from), next.bytes);
      if (!target.paused) {
        DrainBacklog(next.to);
      }
    }
  }

  void DrainBacklog(std::size_t index) {
    for (const auto& [from, bytes] : std::exchange(nodes_[index].backlog, {})) {
      swim_output output;
      nodes_[index].process->HandleDatagram(now_, from, bytes, output);
      Collect(index, output);
    }
  }

  std::mt19937_64 random_;
  std::vector<node> nodes_;
  network_faults faults_;
  std::function<int(std::size_t)> group_;
  std::priority_queue<delivery> deliveries_;
  std::uint64_t last_sequence_ = 0;
  time_point now_{std::chrono::hours(1)};
  int false_deaths_ = 0;
  int version_decreases_ = 0;
};

}  // namespace tarragon::membership

#endif  // TARRAGON_TESTS_MEMBERSHIP_FAKE_NETWORK_H_
