#include <fmt/format.h>
#include <gflags/gflags.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "member_host.h"
#include "tarragon/base/bounded_ring.h"
#include "tarragon/base/real_clock.h"
#include "tarragon/net/document_client.h"
#include "tarragon/net/io_thread.h"
#include "tarragon/net/peer_address.h"

DEFINE_int32(members, 8, "number of members to run on loopback");
DEFINE_int32(base_port,
             23000,
             "first UDP port of gossip; the TCP ports of documents start 1000 higher");
DEFINE_int32(io_threads, 4, "number of I/O threads");
DEFINE_int32(fetch_threads, 8, "number of threads that fetch documents");
DEFINE_int32(idle_seconds, 20, "seconds for which the cost without edits is measured");
DEFINE_int32(edits, 100, "number of document versions to propagate");
DEFINE_int32(edit_pause_ms, 200, "pause between two edits");
DEFINE_double(loss, 0, "share of datagrams dropped by the sender");
DEFINE_uint64(seed, 1, "seed of the random number generators");
DEFINE_string(document, "examples/document/lanhai", "folder with the sections of the document");

namespace tarragon::members {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kKey = "measurement";
constexpr int kDocumentPortOffset = 1000;
constexpr milliseconds kFetchTimeout{500};
constexpr seconds kFormationTimeout{180};
constexpr seconds kPropagationTimeout{30};
constexpr milliseconds kPollInterval{2};
constexpr std::size_t kMaxFetches = 65536;

struct fetch_job {
  member_host* host = nullptr;
  membership::newer_document newer;
};

std::vector<document::section> ReadSections(const std::string& folder, std::uint64_t version) {
  std::vector<document::section> sections;
  for (const std::string& name : document::SectionNames()) {
    std::ifstream file(std::filesystem::path(folder) / (name + ".toml"));
    sections.push_back({.name = name,
                        .version = version,
                        .edit_id = fmt::format("{}-{}", name, version),
                        .author = "tarragon-members",
                        .text = {std::istreambuf_iterator<char>(file), {}}});
  }
  return sections;
}

/** Resource usage of the process since its start, and the sum of the members' counters. */
struct resource_usage {
  double cpu_seconds = 0;
  double max_rss_mb = 0;
  membership::swim_counters counters;
};

class measurement final {
 public:
  bool Run();

 private:
  bool StartHosts();
  void RunFetches();
  bool WaitForFullMembership();
  resource_usage SampleUsage() const;
  void ReportIdle(const resource_usage& before, const resource_usage& after, duration time) const;
  bool MeasurePropagation(std::uint64_t version);
  void ReportPropagation();

  real_clock time_;
  std::mt19937_64 random_{FLAGS_seed};
  bounded_ring<fetch_job> fetches_{kMaxFetches};
  std::vector<std::unique_ptr<net::io_thread>> io_;
  std::vector<std::unique_ptr<member_host>> hosts_;
  std::vector<std::jthread> fetchers_;
  std::vector<milliseconds> propagation_times_;
};

bool measurement::StartHosts() {
  std::generate_n(std::back_inserter(io_), FLAGS_io_threads,
                  [] { return std::make_unique<net::io_thread>(); });
  const auto address = [](int port) {
    return *net::MakePeerAddress("127.0.0.1", static_cast<std::uint16_t>(port));
  };
  for (int i = 0; i < FLAGS_members; ++i) {
    const host_options options{
        .name = fmt::format("vm-{}", i),
        .gossip = address(FLAGS_base_port + i),
        .documents = address(FLAGS_base_port + kDocumentPortOffset + i),
        .seeds = {address(FLAGS_base_port), address(FLAGS_base_port + 1)},
        .key = kKey,
        .loss = FLAGS_loss,
        .seed = random_(),
    };
    auto host =
        member_host::Make(*io_[static_cast<std::size_t>(i) % io_.size()], time_, options,
                          [this](member_host& host, const membership::newer_document& newer) {
                            // If the queue is full, the next datagram announces the version again.
                            static_cast<void>(fetches_.TryPush({.host = &host, .newer = newer}));
                          });
    if (host == nullptr) {
      fmt::print(stderr, "cannot bind the UDP or TCP port of member {}\n", i);
      return false;
    }
    hosts_.push_back(std::move(host));
  }
  for (int i = 0; i < FLAGS_fetch_threads; ++i) {
    fetchers_.emplace_back([this] { RunFetches(); });
  }
  return true;
}

void measurement::RunFetches() {
  while (!fetches_.IsClosed()) {
    const auto job = fetches_.Pop(milliseconds(100));
    if (!job || job->newer.version <= job->host->Replica().Version()) {
      continue;
    }
    const document::document_ptr fetched = net::FetchDocument(
        job->newer.document_address, kKey, job->host->Replica().Current(), kFetchTimeout);
    if (fetched != nullptr) {
      job->host->Replica().Offer(time_.Now(), fetched);
    }
  }
}

bool measurement::WaitForFullMembership() {
  const time_point start = time_.Now();
  const auto all_alive = [this] {
    return std::ranges::all_of(hosts_, [this](const auto& host) {
      return host->Gossip().AliveCount() + 1 == hosts_.size();
    });
  };
  while (!all_alive()) {
    if (time_.Now() - start > kFormationTimeout) {
      fmt::print("formed=no\n");
      return false;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  fmt::print("formed_s={:.1f}\n", std::chrono::duration<double>(time_.Now() - start).count());
  return true;
}

resource_usage measurement::SampleUsage() const {
  rusage raw{};
  getrusage(RUSAGE_SELF, &raw);
  const auto to_seconds = [](const timeval& value) {
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_usec) / 1e6;
  };
  resource_usage sample{.cpu_seconds = to_seconds(raw.ru_utime) + to_seconds(raw.ru_stime),
                        .max_rss_mb = static_cast<double>(raw.ru_maxrss) / 1024,
                        .counters = {}};
  for (const auto& host : hosts_) {
    const membership::swim_counters one = host->Gossip().Counters();
    sample.counters.bytes_sent += one.bytes_sent;
    sample.counters.bytes_received += one.bytes_received;
    sample.counters.datagrams_sent += one.datagrams_sent;
    sample.counters.suspicions += one.suspicions;
    sample.counters.deaths_declared += one.deaths_declared;
    sample.counters.datagrams_malformed += one.datagrams_malformed;
    sample.counters.stalls += one.stalls;
  }
  return sample;
}

void measurement::ReportIdle(const resource_usage& before,
                             const resource_usage& after,
                             duration time) const {
  const double member_seconds =
      std::chrono::duration<double>(time).count() * static_cast<double>(hosts_.size());
  const auto rate = [member_seconds](std::uint64_t from, std::uint64_t to) {
    return static_cast<double>(to - from) / member_seconds;
  };
  const auto& first = before.counters;
  const auto& last = after.counters;
  fmt::print("cpu_percent_of_core_per_member={:.3f}\n",
             100 * (after.cpu_seconds - before.cpu_seconds) / member_seconds);
  fmt::print("max_rss_mb_process={:.1f} max_rss_mb_per_member={:.2f}\n", after.max_rss_mb,
             after.max_rss_mb / static_cast<double>(hosts_.size()));
  fmt::print("bytes_per_s_per_member sent={:.0f} received={:.0f}\n",
             rate(first.bytes_sent, last.bytes_sent),
             rate(first.bytes_received, last.bytes_received));
  fmt::print("datagrams_per_s_per_member sent={:.2f}\n",
             rate(first.datagrams_sent, last.datagrams_sent));
}

bool measurement::MeasurePropagation(std::uint64_t version) {
  const document::document_ptr next =
      document::operating_document::Make(version, ReadSections(FLAGS_document, version), nullptr);
  if (next == nullptr) {
    fmt::print(stderr, "the document in {} is invalid\n", FLAGS_document);
    return false;
  }
  std::uniform_int_distribution<std::size_t> random_member(0, hosts_.size() - 1);
  const time_point start = time_.Now();
  hosts_[random_member(random_)]->Replica().Offer(start, next);
  // The replicas record when they adopt a version, so polling does not limit the precision.
  const auto in_force = [this, version] {
    return std::ranges::all_of(
        hosts_, [version](const auto& host) { return host->Replica().Version() >= version; });
  };
  while (!in_force() && time_.Now() - start < kPropagationTimeout) {
    std::this_thread::sleep_for(kPollInterval);
  }
  time_point last = start;
  for (const auto& host : hosts_) {
    last = std::max(last, host->Replica().Version() >= version ? *host->Replica().InForceSince()
                                                               : start + kPropagationTimeout);
  }
  propagation_times_.push_back(std::chrono::ceil<milliseconds>(last - start));
  return true;
}

void measurement::ReportPropagation() {
  if (propagation_times_.empty()) {
    return;
  }
  std::ranges::sort(propagation_times_);
  const auto at = [this](double quantile) {
    const auto index =
        static_cast<std::size_t>(quantile * static_cast<double>(propagation_times_.size()));
    return propagation_times_[std::min(index, propagation_times_.size() - 1)].count();
  };
  fmt::print("in_force_everywhere_ms edits={} p50={} p99={} max={}\n", propagation_times_.size(),
             at(0.5), at(0.99), propagation_times_.back().count());
}

bool measurement::Run() {
  fmt::print("members={} loss={} seed={}\n", FLAGS_members, FLAGS_loss, FLAGS_seed);
  const time_point start = time_.Now();
  bool done = StartHosts() && WaitForFullMembership();
  if (done) {
    const resource_usage before = SampleUsage();
    const time_point idle_start = time_.Now();
    std::this_thread::sleep_for(seconds(FLAGS_idle_seconds));
    ReportIdle(before, SampleUsage(), time_.Now() - idle_start);
    for (int edit = 1; done && edit <= FLAGS_edits; ++edit) {
      done = MeasurePropagation(static_cast<std::uint64_t>(edit));
      std::this_thread::sleep_for(milliseconds(FLAGS_edit_pause_ms));
    }
    ReportPropagation();
    const resource_usage all = SampleUsage();
    const double member_hours = std::chrono::duration<double>(time_.Now() - start).count() *
                                static_cast<double>(hosts_.size()) / 3600;
    fmt::print(
        "member_hours={:.3f} suspicion_records={} deaths_declared={} stalls={} "
        "malformed={}\n",
        member_hours, all.counters.suspicions, all.counters.deaths_declared, all.counters.stalls,
        all.counters.datagrams_malformed);
  }
  fetches_.Close();
  fetchers_.clear();
  // Handlers on the I/O threads use the hosts, so the threads must stop first.
  for (const auto& thread : io_) {
    thread->Stop();
  }
  hosts_.clear();
  return done;
}

}  // namespace
}  // namespace tarragon::members

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  return tarragon::members::measurement().Run() ? 0 : 1;
}
