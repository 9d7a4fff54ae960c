#ifndef TARRAGON_ROUTING_ENDPOINT_REGISTRY_H_
#define TARRAGON_ROUTING_ENDPOINT_REGISTRY_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/routing/pace_tracker.h"
#include "tarragon/routing/slowness_tracker.h"

namespace tarragon::routing {

/** What an endpoint has registered of itself. */
struct endpoint_entry {
  /** Names one incarnation in most cases; an endpoint may also start again under its id. */
  std::string id;
  std::string service;
  /** `ip:port`. */
  std::string address;
  std::string failure_domain;
  std::uint32_t slots = 0;
  /** It finishes what it runs and takes nothing new. */
  bool leaving = false;
  /** Time for which it works slowly after its start. */
  std::chrono::milliseconds warm_up{0};
  /** Start of this incarnation in Unix milliseconds; 0 if unknown. */
  std::int64_t started_unix_ms = 0;
};

/** Requests that one daemon has at an endpoint. */
struct endpoint_load {
  std::uint32_t requests = 0;
  /** Memory that the generations are predicted to need at their end, in tokens. */
  std::uint32_t tokens = 0;
  /** Prompt tokens of generations that have not sent their first event. */
  std::uint32_t unread_tokens = 0;
  /** Streams that may be long and are promised short pauses. */
  std::uint32_t long_streams = 0;

  endpoint_load& operator+=(const endpoint_load& other);
  bool operator==(const endpoint_load&) const = default;
};

/** One incarnation of an endpoint, as known to this daemon. */
struct endpoint {
  endpoint_entry entry;
  /** In the list, or missing since so short a time that the list may be wrong. */
  bool listed = true;
  bool leaving = false;
  time_point listed_at;
  /** When it was first seen to leave. */
  std::optional<time_point> leaving_since;
  /** Version of the row that said so last. */
  std::uint64_t row_version = 0;
  /** New work goes elsewhere until then, after a failed connect, a crash or a decline. */
  time_point avoid_until;
  /** Failures in a row; a success ends the row. */
  std::uint32_t failures = 0;
  slowness_tracker slowness;
  /** Time between the events of its streams. */
  pace_tracker pace;
  endpoint_load own;
  /** Sum over the other daemons, from their last messages. */
  endpoint_load others;

  bool takes_work() const { return listed && !leaving; }
};

using endpoint_ptr = std::shared_ptr<endpoint>;

/** Times of `endpoint_registry`. */
struct registry_options {
  /**
   * After an outage of the store, entries that are missing may come back for this long: the
   * platform restores them within about two seconds.
   */
  duration restore_grace = std::chrono::milliseconds(2500);
};

/** All endpoints that the platform lists. Membership of endpoints is decided here. */
class endpoint_registry final {
 public:
  using listener = std::function<void(const endpoint_ptr&)>;

  explicit endpoint_registry(registry_options options = {}) : options_(options) {}

  /** @param on_leaving called once for each endpoint that begins to leave or is gone. */
  void OnLeaving(listener on_leaving) { on_leaving_ = std::move(on_leaving); }

  /** Takes one row; older versions than the known one are ignored. */
  void Put(time_point now, std::uint64_t row_version, endpoint_entry entry);

  /** A row was deleted or became unreadable, so that it names no endpoint to use. */
  void Remove(time_point now, std::uint64_t row_version, const std::string& id);

  /** Replaces everything by a complete list. @param ids of the entries that it holds. */
  void Keep(time_point now, std::uint64_t version, const std::vector<std::string>& ids);

  /**
   * Another daemon knows that an endpoint leaves. Ignored if its row has changed since.
   * @param id_hash XXH3 hash of the endpoint's id.
   */
  void LearnLeaving(time_point now, std::uint64_t id_hash, std::uint64_t row_version);

  /** The store could not be read, or can be read again. */
  void StoreLost(time_point now);
  void StoreRegained(time_point now);

  /** Carries out removals that waited for the store's return. */
  void Tick(time_point now);

  /** @return endpoints of the service, those that take no work included. */
  const std::vector<endpoint_ptr>& OfService(std::string_view service) const;
  endpoint_ptr Find(const std::string& id) const;
  const std::map<std::string, endpoint_ptr>& all() const { return endpoints_; }

  void Validate() const;

 private:
  void BeginLeaving(time_point now, const endpoint_ptr& which);
  void Drop(time_point now, const std::string& id);
  void IndexServices();

  registry_options options_;
  listener on_leaving_;
  std::map<std::string, endpoint_ptr> endpoints_;
  std::map<std::string, std::vector<endpoint_ptr>, std::less<>> by_service_;
  /** Missing entries and when their absence was first seen. */
  std::map<std::string, time_point> missing_;
  /** Versions of deleted rows, so that an older row does not bring them back. */
  std::map<std::string, std::uint64_t> deleted_;
  bool store_lost_ = false;
  std::optional<time_point> regained_at_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_ENDPOINT_REGISTRY_H_
