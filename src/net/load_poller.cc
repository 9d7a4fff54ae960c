#include "tarragon/net/load_poller.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include <httplib.h>
#include "tarragon/base/metrics.h"
#include "tarragon/document/document_replica.h"
#include "tarragon/net/socket_address.h"
#include "tarragon/net/thread_pool.h"

namespace tarragon::net {

namespace {

constexpr int kHttpOk = 200;

std::optional<decision::load_reported> ParseReport(const endpoint_name& endpoint,
                                                   const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  decision::load_reported report;
  report.endpoint = endpoint;
  try {
    report.age = std::chrono::milliseconds(json.value("age_ms", std::int64_t{0}));
    report.running = json.value("running", std::uint32_t{0});
    report.waiting = json.value("waiting", std::uint32_t{0});
    report.slots = json.value("slots", std::uint32_t{0});
    report.memory_tokens_total = json.value("kv_tokens_total", std::uint64_t{0});
    report.memory_tokens_used = json.value("kv_tokens_used", std::uint64_t{0});
    report.preemptions = json.value("preemptions", std::uint64_t{0});
    report.model = json.value("model", std::string());
    report.model_version = json.value("version", std::string());
    report.leaving = json.value("leaving", false);
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
  return report;
}

}  // namespace

struct load_poller::state {
  state(load_poller_options poll_options,
        const document::document_replica& replica,
        report_sink report_target,
        const clock& clock_source,
        metrics& counters)
      : options(poll_options),
        documents(replica),
        sink(std::move(report_target)),
        time(clock_source),
        polls(counters.Counter("tarragon_load_polls_total")),
        failures(counters.Counter("tarragon_load_poll_failures_total")),
        bytes(counters.Counter("tarragon_load_poll_bytes_total")),
        workers(poll_options.max_concurrent_polls) {}

  void Run() {
    std::size_t next = 0;
    while (true) {
      const document::document_ptr document = documents.Current();
      const std::size_t count = document ? document->contents().endpoints.size() : 0;
      {
        std::unique_lock lock(mutex);
        if (stop_or_timeout.wait_for(lock, PollInterval(options, count),
                                     [this] { return stopped; })) {
          return;
        }
      }
      if (count > 0) {
        const document::endpoint_settings& endpoint =
            document->contents().endpoints[next++ % count];
        const document::service_settings* service = document->FindService(endpoint.service);
        const bool is_plain = service != nullptr && service->kind == document::service_kind::kPlain;
        StartPoll(endpoint, is_plain ? "/load" : "/v1/load");
      }
    }
  }

  void StartPoll(const document::endpoint_settings& endpoint, const char* path) {
    const auto address = socket_address::Make(endpoint.address);
    if (!address) {
      return;
    }
    client_ptr client;
    {
      std::lock_guard lock(mutex);
      if (active_polls.contains(endpoint.name)) {
        return;
      }
      if (auto idle_client = idle_clients.extract(endpoint.address)) {
        client = std::move(idle_client.mapped());
      }
    }
    if (!client) {
      client = std::make_shared<httplib::ClientImpl>(address->ip, address->port);
      client->set_keep_alive(true);
      client->set_connection_timeout(options.timeout);
      client->set_read_timeout(options.timeout);
      client->set_write_timeout(options.timeout);
    }
    {
      std::lock_guard lock(mutex);
      active_polls[endpoint.name] = client;
    }
    const auto poll = [this, client, name = endpoint.name, client_key = endpoint.address, path] {
      const bool succeeded = Poll(*client, name, path);
      std::lock_guard lock(mutex);
      active_polls.erase(name);
      // Only a connection whose poll succeeded is reused.
      if (succeeded) {
        idle_clients[client_key] = client;
      }
    };
    if (!workers.TryRun(poll)) {
      std::lock_guard lock(mutex);
      active_polls.erase(endpoint.name);
    }
  }

  bool Poll(httplib::ClientImpl& client, const endpoint_name& endpoint, const char* path) {
    polls.Add();
    // A GET is safe to repeat, so a dead kept-alive connection costs at most one report.
    const auto result = client.Get(path);
    std::optional<decision::load_reported> report;
    if (result && result->status == kHttpOk) {
      bytes.Add(static_cast<std::int64_t>(options.bytes_per_poll));
      report = ParseReport(endpoint, result->body);
    }
    if (!report) {
      failures.Add();
      return false;
    }
    sink(*std::move(report));
    return true;
  }

  using client_ptr = std::shared_ptr<httplib::ClientImpl>;

  const load_poller_options options;
  const document::document_replica& documents;
  const report_sink sink;
  const clock& time;
  counter& polls;
  counter& failures;
  counter& bytes;
  std::mutex mutex;
  /** Idle connections by endpoint address. A running poll owns its connection. */
  std::map<std::string, client_ptr> idle_clients;
  std::map<endpoint_name, client_ptr> active_polls;
  std::condition_variable stop_or_timeout;
  bool stopped = false;
  thread_pool workers;
  std::thread thread;
};

load_poller::load_poller(load_poller_options options,
                         const document::document_replica& documents,
                         report_sink sink,
                         const clock& time,
                         metrics& counters)
    : state_(std::make_unique<state>(options, documents, std::move(sink), time, counters)) {}

load_poller::~load_poller() {
  Stop();
}

void load_poller::Start() {
  state_->thread = std::thread([this] { state_->Run(); });
}

void load_poller::Stop() {
  {
    std::lock_guard lock(state_->mutex);
    state_->stopped = true;
  }
  state_->stop_or_timeout.notify_all();
  if (state_->thread.joinable()) {
    state_->thread.join();
  }
  {
    std::lock_guard lock(state_->mutex);
    for (const auto& [endpoint, client] : state_->active_polls) {
      client->stop();
    }
  }
  state_->workers.Stop();
}

duration load_poller::PollInterval(const load_poller_options& options, std::size_t endpoints) {
  const std::chrono::duration<double> by_budget(options.bytes_per_poll / options.bytes_per_second);
  const duration by_interval =
      options.min_interval / static_cast<std::int64_t>(std::max<std::size_t>(endpoints, 1));
  return std::max(std::chrono::duration_cast<duration>(by_budget), by_interval);
}

}  // namespace tarragon::net
