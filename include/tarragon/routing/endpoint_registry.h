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
#include <unordered_map>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/routing/cold_start.h"
#include "tarragon/routing/endpoint_pause.h"
#include "tarragon/routing/engine_silence.h"
#include "tarragon/routing/evacuation_list.h"
#include "tarragon/routing/event_interval_tracker.h"
#include "tarragon/routing/rate_limit.h"
#include "tarragon/routing/slowness_tracker.h"
#include "tarragon/routing/store_version.h"

namespace tarragon::routing {

/** Registration of an endpoint, as the endpoint published it. */
struct endpoint_entry {
  /** Usually unique to one incarnation, but an endpoint may also restart under the same id. */
  std::string id;
  std::string service;
  /** `ip:port`. */
  std::string address;
  std::string failure_domain;
  std::uint32_t slots = 0;
  /** The endpoint is draining: it finishes the requests in flight and accepts no new ones. */
  bool leaving = false;
  /** Time for which the endpoint stays cold, from when the row was written. */
  std::chrono::milliseconds warm_up{0};
  /** Start of this incarnation in Unix milliseconds; 0 if unknown. */
  std::int64_t started_unix_ms = 0;
  /** Version of the endpoint's software, not of the weights that it serves; empty if not stated. */
  std::string software_version;

  bool operator==(const endpoint_entry&) const = default;
};

/**
 * Load at an endpoint from the requests in flight of one or more daemons. Callers state sizes of up
 * to 32 bits, so their sums take 64 bits.
 */
struct endpoint_load {
  std::uint32_t requests = 0;
  /** KV cache that the generations are predicted to need at their end, in tokens. */
  std::uint64_t tokens = 0;
  /** Prompt tokens still to be prefilled: those of generations without a first event. */
  std::uint64_t unread_tokens = 0;
  /** Streams that may be long and have a pause objective. */
  std::uint32_t long_streams = 0;

  endpoint_load& operator+=(const endpoint_load& other);
  bool operator==(const endpoint_load&) const = default;
};

/** How this daemon learned that an endpoint leaves. */
enum class leaving_source : std::uint8_t {
  /** The endpoint's row says so, or belongs to another incarnation now. */
  kRow,
  /** The endpoint's row is gone. */
  kRemoved,
  /** Another daemon reported it. */
  kDaemon,
  /** The endpoint says so in its responses. */
  kResponse,
};

std::string_view ToString(leaving_source source);

/** One incarnation of an endpoint, as known to this daemon. */
struct endpoint {
  endpoint_entry entry;
  /** XXH3 hash of the id, by which daemons name the endpoint to each other. */
  std::uint64_t id_hash = 0;
  /** In the store's list, or missing from it only because of an outage of the store. */
  bool listed = true;
  bool leaving = false;
  /** Its failure domain is evacuated by an order of the operator. */
  bool evacuated = false;
  time_point listed_at;
  /** Only other daemons have said that it leaves. */
  bool leaving_by_hearsay = false;
  /** Streams that callers may take up cannot begin here yet, see `software_versions`. */
  bool awaits_announcement = false;
  /** Its address refuses connections, as found by `endpoint_evidence`. */
  bool unreachable = false;
  /** Time of the endpoint's last response or event to this daemon. */
  time_point last_answer_at;
  /** The endpoint is cold until then: it is slow, and takes the requests of `cold_start` only. */
  time_point cold_until;
  /** Rows up to this version may be older than a cold start that `cold_until` allows for. */
  store_version cold_since_version;
  /** When this daemon first learned that the endpoint is leaving. */
  std::optional<time_point> leaving_since;
  /** Version of the row that was applied last. */
  store_version row_version;
  /** No new requests until then: end of the cooldown after a failed connect, silence or decline. */
  time_point cooldown_until;
  /** It fails if it turns many requests away, so that it gets none beyond its capacity. */
  bool is_brittle = false;
  /** Consecutive failures; a success resets the count. */
  std::uint32_t consecutive_failures = 0;
  slowness_tracker slowness;
  /** Time between two events of the endpoint's streams. */
  event_interval_tracker event_interval;
  engine_silence silence;
  /** Rate at which the endpoint takes requests. */
  rate_limit limit;
  endpoint_pause pause;
  /** Load from the requests of this daemon. */
  endpoint_load own_load;
  /** Sum of the loads that the other daemons reported last. */
  endpoint_load peer_load;

  bool accepts_work() const { return listed && !leaving && !evacuated && !unreachable; }
};

using endpoint_ptr = std::shared_ptr<endpoint>;

/** Timeouts of `endpoint_registry`. */
struct registry_options {
  /**
   * Longest time for which missing entries are kept after an outage of the store: the platform
   * restores them within about two seconds.
   */
  duration restore_grace_period = std::chrono::milliseconds(2500);
  /** Shortest such time, where a daemon may have found the store again late. */
  duration min_restore_grace_period = std::chrono::milliseconds(1200);
  /**
   * Time after the end of an outage at which an endpoint that is still missing gets no request any
   * more. The users hold a daemon to a departure 3 s after it has reached the store again.
   */
  duration max_missing_time = std::chrono::milliseconds(2800);
  /** Time after the end of an outage at which a daemon usually finds the store again. */
  duration usual_time_back = std::chrono::milliseconds(700);
};

/** Holds all endpoints that the platform lists, and decides which of them are in use. */
class endpoint_registry final {
 public:
  using cold_listener = std::function<void(const endpoint_ptr&)>;
  using leaving_listener = std::function<void(const endpoint_ptr&, leaving_source)>;

  explicit endpoint_registry(registry_options options = {}) : options_(options) {}

  /** @param on_leaving called once for each endpoint that starts to drain or is removed. */
  void SetLeavingListener(leaving_listener on_leaving) { on_leaving_ = std::move(on_leaving); }

  /** @param on_cold called for each endpoint whose limit for cold endpoints begins or ends. */
  void SetColdListener(cold_listener on_cold) { on_cold_ = std::move(on_cold); }

  /** Sets what cold endpoints take, by service; those of other services have no such limit. */
  void SetColdStarts(time_point now, std::map<std::string, cold_start, std::less<>> cold_starts);

  /** Ends the cold starts whose time has passed. */
  void EndColdStarts(time_point now);

  /** Applies one row of the store. Ignored if a newer version or tombstone is known. */
  void Put(time_point now, const store_version& row_version, endpoint_entry entry);

  /** Removes an endpoint whose row was deleted or is unreadable; an outage defers the removal. */
  void Remove(time_point now, const store_version& row_version, const std::string& id);

  /** Removes all endpoints that a complete list lacks. @param ids all ids of the list. */
  void RemoveUnlisted(time_point now,
                      const store_version& version,
                      const std::vector<std::string>& ids);

  /**
   * Marks an endpoint as leaving as reported by another daemon. Ignored if a newer row is known, or
   * if other daemons alone have taken half of the service's endpoints out of use already. The only
   * endpoint of a service may leave.
   * @param id_hash XXH3 hash of the endpoint's id.
   */
  void MarkLeaving(time_point now, std::uint64_t id_hash, const store_version& row_version);

  /**
   * Marks the incarnation that sent a response as leaving. Later rows of the same incarnation do
   * not undo it; an incarnation with another start or address, or a row written anew, is another
   * one.
   */
  void MarkLeavingByResponse(time_point now, const endpoint_ptr& target);

  /**
   * Same, if the response came from the target's address but not from the target: marks all other
   * endpoints that are listed with this address.
   */
  void MarkSuccessorsLeaving(time_point now, const endpoint& target);

  /**
   * Applies the operator's order to evacuate a failure domain. Its endpoints, and those that are
   * listed later, accept no work. @return whether the order was not in force before.
   */
  bool BeginEvacuation(const store_version& row_version, const std::string& failure_domain);

  /**
   * Applies the deletion of an order. The endpoints of the domain may have become cold meanwhile,
   * and count as cold until a later row says otherwise or the cold time of their service has
   * passed.
   * @return whether the order was in force before.
   */
  bool EndEvacuation(time_point now,
                     const store_version& row_version,
                     const std::string& failure_domain);

  /**
   * Ends the evacuations that a complete list of orders lacks.
   * @param listed all failure domains of the list.
   * @return the domains that are no longer evacuated.
   */
  std::vector<std::string> EndUnlistedEvacuations(time_point now,
                                                  const store_version& version,
                                                  const std::vector<std::string>& listed);

  const evacuation_list& evacuations() const { return evacuations_; }

  /** While the store is unavailable, missing endpoints are kept. */
  void OnStoreUnavailable(time_point now);
  /**
   * @param max_time_back longest time for which the store may have been within reach again; empty
   *     if unknown.
   */
  void OnStoreRecovered(time_point now, std::optional<duration> max_time_back = {});

  /** Removes missing endpoints whose grace period has ended. */
  void RemoveMissing(time_point now);

  /** @return when the grace period of missing endpoints ends; empty if none is missing. */
  std::optional<time_point> NextRemoval() const;

  /** @return all endpoints of the service, including those that accept no work. */
  const std::vector<endpoint_ptr>& FindByService(std::string_view service) const;
  endpoint_ptr Find(const std::string& id) const;
  /** @param id_hash XXH3 hash of the endpoint's id. */
  endpoint_ptr FindByHash(std::uint64_t id_hash) const;
  /** @return a number that changes whenever an endpoint is added, replaced or removed. */
  std::uint64_t list_revision() const { return list_revision_; }
  /** @return whether the list may be out of date because of an outage of the store. */
  bool is_store_unavailable() const { return store_unavailable_; }
  /**
   * @return how many endpoints of the service may be out of use only because other daemons say so
   *     or because they refuse connections, less those that leave by hearsay: half of those listed,
   *     rounded down, so that no daemon can take all endpoints from another.
   */
  std::size_t CountExcludableByHearsay(std::string_view service) const;
  const std::map<std::string, endpoint_ptr>& all() const { return endpoints_; }

  void Validate() const;

  /**
   * Same, but checks the indices only if the list has changed since the last call, as nothing else
   * changes them. For frequent calls with long lists.
   */
  void ValidateChanges();

 private:
  /**
   * @return whether a row is the known one, kept by the copy from which the store has returned. It
   *     is no news: the time for which the endpoint stays cold has not begun again.
   */
  static bool IsKept(const endpoint& known,
                     const store_version& row_version,
                     const endpoint_entry& entry);
  static void ValidateState(const std::string& id, const endpoint_ptr& known);
  void ValidateIndices() const;
  void BeginLeaving(time_point now, const endpoint_ptr& target, leaving_source source);
  void Drop(time_point now, const std::string& id);
  /** Marks the endpoints of a domain that was taken back. */
  void Return(time_point now, const store_version& row_version, const std::string& failure_domain);
  /** Sets when the endpoint gets warm, by a row that is newer than the last one. */
  static void SetColdUntil(time_point now, endpoint& known);
  /** Begins or ends the endpoint's limit for cold endpoints. */
  void UpdateColdRate(time_point now, const endpoint_ptr& known);
  std::vector<endpoint_ptr> FindByFailureDomain(const std::string& failure_domain) const;
  void AddToIndices(const endpoint_ptr& known);
  void RemoveFromIndices(const endpoint_ptr& known);
  /** @return the endpoint's position in the endpoints of its service, which are ordered by id. */
  static std::vector<endpoint_ptr>::iterator FindPosition(std::vector<endpoint_ptr>& group,
                                                          const endpoint_ptr& known);

  registry_options options_;
  leaving_listener on_leaving_;
  cold_listener on_cold_;
  std::map<std::string, cold_start, std::less<>> cold_starts_;
  std::map<std::string, endpoint_ptr> endpoints_;
  /** Ordered by id within each service. */
  std::map<std::string, std::vector<endpoint_ptr>, std::less<>> by_service_;
  std::unordered_map<std::uint64_t, endpoint_ptr> by_hash_;
  std::uint64_t list_revision_ = 0;
  /** Revision of the list at which `ValidateChanges` has checked the indices. */
  std::uint64_t validated_revision_ = 0;
  /** Ids of missing entries, with the time at which each was found missing. */
  std::map<std::string, time_point> missing_since_;
  /** Versions of deleted rows; an older row must not restore a deleted endpoint. */
  std::map<std::string, store_version> tombstones_;
  evacuation_list evacuations_;
  bool store_unavailable_ = false;
  /** End of the grace period after the last outage. */
  time_point restorable_until_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_ENDPOINT_REGISTRY_H_
