#ifndef TARRAGON_ROUTING_SERVICE_CONFIG_H_
#define TARRAGON_ROUTING_SERVICE_CONFIG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tarragon/routing/cold_start.h"

namespace tarragon::routing {

/** Whether and how a request may be sent again. */
enum class repeat_kind : std::uint8_t {
  /** Idempotent: may run any number of times. */
  kSafe,
  /** Must run at most once. */
  kUnsafe,
  /** Answered by an event stream, which may be continued after its last event, not started over. */
  kStream,
};

struct weighted_service {
  std::string service;
  double weight = 1;
};

/** Rules for the requests to one host under one path prefix. */
struct route {
  std::string name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string prefix;
  repeat_kind kind = repeat_kind::kUnsafe;
  /** Maximum time that a request waits for its answer. */
  std::chrono::milliseconds timeout{0};
  /** Promised time to the answer, or to the first event of a stream. */
  std::chrono::milliseconds latency_objective{0};
  /** Promised maximum pause between two events of a stream; zero if there is no promise. */
  std::chrono::milliseconds pause_objective{0};
  /** 0 is the most urgent. */
  int priority = 0;
  /** Maximum number of endpoints at which one request may run. */
  int max_attempts = 1;
  /** Requests need no API key. */
  bool is_public = false;
  /** A stream may be continued at another endpoint after the last event that was received. */
  bool resumable = false;
  std::vector<weighted_service> services;
};

/** Capacity and features of each engine of a service. */
struct engine_limits {
  std::uint32_t slots = 0;
  std::uint32_t memory_tokens = 0;
  /** The KV cache of a running generation can be copied to another engine. */
  bool supports_migration = false;
  /** The KV cache of a running generation can be replicated continuously to a second engine. */
  bool supports_backups = false;
};

struct service {
  std::string name;
  std::uint32_t max_connections = 0;
  /** Empty for plain services. */
  std::optional<engine_limits> engine;
  /** Empty if cold endpoints take as many requests as warm ones. */
  std::optional<cold_start> cold = std::nullopt;
};

struct caller_limits {
  std::size_t max_header_bytes = std::size_t{16} << 10;
  std::size_t max_body_bytes = std::size_t{4} << 20;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

struct client_account {
  std::string name;
  std::vector<std::string> api_keys;
  /** Overrides the priority of the route. */
  std::optional<int> priority;
};

/** Contents of a configuration that is not validated yet. */
struct service_config_parts {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<service> services;
  caller_limits limits;
  /** If empty, no request needs an API key. */
  std::vector<client_account> accounts;
};

/** One version of the configuration: routes, services, client accounts. Immutable. */
class service_config final {
 public:
  /** @return null if a route has no service or its prefix does not begin and end with a slash. */
  static std::shared_ptr<const service_config> Make(service_config_parts parts);

  std::uint64_t version() const { return parts_.version; }
  const caller_limits& limits() const { return parts_.limits; }
  bool requires_api_key() const { return !parts_.accounts.empty(); }
  const std::vector<route>& routes() const { return parts_.routes; }
  const std::vector<service>& services() const { return parts_.services; }

  /** @return names of the services with streams that callers may take up. */
  std::set<std::string, std::less<>> ResumableServices() const;

  /** @return the host's route with the longest prefix of `path`, or null if none matches. */
  const route* FindRoute(std::string_view host, std::string_view path) const;

  /** @return the account that holds the key, or null. */
  const client_account* FindAccount(std::string_view api_key) const;

  const service* FindService(std::string_view name) const;

  void Validate() const;

 private:
  explicit service_config(service_config_parts parts);

  service_config_parts parts_;
  /** Indices into the routes of each host, longest prefix first. */
  std::map<std::string, std::vector<std::size_t>, std::less<>> routes_by_host_;
  std::unordered_map<std::string, std::size_t> accounts_by_key_;
  std::map<std::string, std::size_t, std::less<>> services_by_name_;
};

using service_config_ptr = std::shared_ptr<const service_config>;

/** @return the service for a request, by weight. @param point uniform random value in [0, 1). */
const std::string& PickService(const route& rule, double point);

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_SERVICE_CONFIG_H_
