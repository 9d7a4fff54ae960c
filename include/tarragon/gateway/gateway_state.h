#ifndef TARRAGON_GATEWAY_GATEWAY_STATE_H_
#define TARRAGON_GATEWAY_GATEWAY_STATE_H_

#include <asio/io_context.hpp>
#include <cstddef>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "tarragon/base/clock.h"
#include "tarragon/base/metrics.h"
#include "tarragon/gateway/event_log.h"
#include "tarragon/gateway/memory_budget.h"
#include "tarragon/gateway/platform_adapter.h"
#include "tarragon/gateway/upload_list.h"
#include "tarragon/routing/crash_quarantine.h"
#include "tarragon/routing/endpoint_evidence.h"
#include "tarragon/routing/endpoint_picker.h"
#include "tarragon/routing/endpoint_registry.h"
#include "tarragon/routing/generation_pace.h"
#include "tarragon/routing/send_budget.h"
#include "tarragon/routing/service_config.h"
#include "tarragon/routing/software_versions.h"
#include "tarragon/routing/store_clock.h"
#include "tarragon/routing/stream_origins.h"
#include "tarragon/routing/used_endpoints.h"

namespace tarragon::gateway {

class origin_finder;
class path_monitor;
class request_handler;

/** A connection that can be told to give up what it holds. */
class memory_holder {
 public:
  virtual ~memory_holder() = default;
  /** Refuses the request that is being read, or closes the connection. */
  virtual void GiveWay() = 0;
};

/** State shared by all requests of a process. Used only on the event loop's thread. */
struct gateway_state {
  gateway_state(asio::io_context& event_loop,
                const clock& clock_source,
                const platform_adapter& platform,
                event_log& event_logger,
                metrics& metrics_registry);

  /** Sets share and slack of all budgets. The window applies only to budgets created later. */
  void SetBudgetOptions(const routing::send_budget_options& options);

  /** @return the retry budget of a service; created at its first use. */
  routing::send_budget& Budget(const std::string& service);

  /** Takes one further send from the service's retry budget. @return false if it is spent. */
  bool TakeBudget(const std::string& service);
  bool HasBudget(const std::string& service);

  /**
   * Runs a part of a task that other parts or requests must survive: an exception is logged and
   * counted, and ends this part only.
   */
  template <typename F>
  void RunGuarded(std::string_view part, F&& run) {
    try {
      std::forward<F>(run)();
    } catch (const std::exception& error) {
      ReportUnexpectedError(part, error);
    }
  }
  void ReportUnexpectedError(std::string_view part, const std::exception& error);

  /** Records that the endpoint has refused a connection, and tells the other daemons. */
  void RecordRefused(const routing::endpoint& refusing);
  /** Records that the endpoint has sent a part of a response. */
  void RecordAnswer(routing::endpoint& responding);
  /** Adds what another daemon has learned about endpoints. */
  void MergeEvidence(std::span<const routing::endpoint_statement> statements);

  /**
   * Applies what is known of software versions to the endpoints, and lets the store have what other
   * daemons need of it. Called after each change of the endpoints, versions or streams.
   */
  void UpdateOrigins();
  /** @return whether streams of the service may have begun at several software versions. */
  bool IsMixed(const std::string& service) const { return mixed_services_.contains(service); }
  bool HasMixedServices() const { return !mixed_services_.empty(); }
  /** Records that a stream which its caller may take up is sent to an endpoint. */
  void RecordOrigin(const routing::stream_origin& origin, time_point keep_until);

  /** Drops what has expired and sets the gauges; called several times a second. */
  void KeepHouse();
  /** @return when to call `KeepHouse` next: after `interval`, or when an endpoint must go. */
  time_point NextHousekeeping(std::chrono::milliseconds interval) const;

  /** Opens the account of a connection in the memory budget. `holder` is used until it is closed.
   */
  memory_budget::connection_id OpenAccount(memory_holder& holder);
  void CloseAccount(memory_budget::connection_id id);
  void UpdateAccount(memory_budget::connection_id id, const held_memory& held);

  /** @return the pace of a service's generations that this daemon has seen. */
  const routing::generation_pace& PaceOf(const std::string& service) const;

  /** @return time until the latest exit time of a draining process. */
  std::chrono::milliseconds TimeUntilExit() const;

  asio::io_context& loop;
  const clock& time;
  const platform_adapter& adapter;
  event_log& log;
  metrics& counters;

  std::string own_vm;
  std::string own_failure_domain;
  /** Upper bound on the daemons that share the retry budgets, from the daemon table. */
  std::size_t daemons = kAssumedDaemons;

  /** Null until the first configuration has been read. */
  routing::service_config_ptr config;
  routing::endpoint_registry endpoints;
  /** Each endpoint at which load is reserved must be added. */
  routing::used_endpoints used_endpoints;
  routing::store_clock store_time;
  routing::endpoint_evidence evidence;
  routing::endpoint_picker picker;
  routing::crash_quarantine quarantine;
  /** Software versions at which streams of each service may have begun. */
  routing::software_versions versions;
  /** Streams of this daemon that their callers may take up. */
  routing::stream_origins origins;
  /** Null without a store: then only this daemon's own streams can be taken up. */
  origin_finder* origin_lookup = nullptr;
  /** Null without peers: endpoints are then only reached directly. */
  path_monitor* paths = nullptr;
  std::mt19937_64 random;
  /** Bytes of responses that are being received and are not relayed yet. */
  std::size_t buffered_response_bytes = 0;
  /** Pace of the generations, by service. */
  std::unordered_map<std::string, routing::generation_pace> paces;
  /** Requests that wait for an endpoint with capacity or room, by service. */
  std::unordered_map<std::string, std::size_t> waiting_requests;
  bool draining = false;
  /** The process writes its last responses and rejects new requests. */
  bool closing = false;
  /** Latest exit time of a draining process. */
  time_point exit_at;
  /** Requests that have no final response yet. */
  std::unordered_set<request_handler*> open_requests;
  /** Caller connections on which a part of a request has arrived. */
  upload_list uploads;
  /** Connections that this daemon passes on for others, or is about to. */
  std::size_t open_tunnels = 0;
  /** Caller connections with response bytes that the kernel has not taken yet. */
  std::size_t unsent_connections = 0;
  memory_budget memory;
  /** Maximum number of headers of a request; 0 for as many as its bytes allow. */
  std::size_t max_header_lines = 0;
  /** Age of the list of endpoints; empty before it has been read. Null if it is always current. */
  std::function<std::optional<duration>()> endpoint_list_age;
  /** Called after a request has been sent to an endpoint. */
  std::function<void()> on_request_sent;
  /** Called after this daemon has learned something about an endpoint that others should know. */
  std::function<void()> on_evidence;
  /** Called after the store has returned from a copy: what this daemon wrote since may be lost. */
  std::function<void()> on_store_restored;
  /** Called when the store may lack a record of a stream or of a software version. */
  std::function<void()> on_origins;
  /** Called after a request has finished or a connection has sent all its response bytes. */
  std::function<void()> on_work_done;

 private:
  void ApplyEvidence();

  /** Assumed until the daemon table has been read: more than existing fleets have. */
  static constexpr std::size_t kAssumedDaemons = 16;

  /** Lets connections give way once the current handler has returned. */
  void ScheduleRelief();
  void RelieveMemory();
  /** Logs changes of the memory budget, sets its gauges and returns free memory to the system. */
  void KeepMemory();

  /** Services whose streams may have begun at several software versions. */
  std::set<std::string> mixed_services_;
  std::unordered_map<memory_budget::connection_id, memory_holder*> memory_holders_;
  bool relief_scheduled_ = false;
  memory_state logged_memory_state_ = memory_state::kCalm;
  /** Largest amount held since free memory was returned to the system, in bytes. */
  std::size_t peak_held_bytes_ = 0;
  routing::send_budget_options budget_options_;
  std::unordered_map<std::string, routing::send_budget> budgets_;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_GATEWAY_STATE_H_
