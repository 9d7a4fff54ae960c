#ifndef TARRAGON_ROUTING_SOURCE_SELECTOR_H_
#define TARRAGON_ROUTING_SOURCE_SELECTOR_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

#include "tarragon/base/clock.h"
#include "tarragon/routing/relay_plan.h"
#include "tarragon/routing/store_pace.h"

namespace tarragon::routing {

struct selector_options {
  /**
   * Age of the store's last confirmation at which rows count as stale. Readers confirm at least
   * every 1.1 s. With `takeover_delay` this keeps changes within the 3 s in which the users'
   * grown deployments want them in force.
   */
  duration max_age = std::chrono::milliseconds(1500);
  /** Same in a fleet whose daemons all read the store, which confirms at least every 2.1 s. */
  duration max_direct_age = std::chrono::milliseconds(2600);
  /** Added to `max_age` for each level of the tree: the upper levels find a new source first. */
  duration age_per_level = std::chrono::milliseconds(150);
  /** Time from connecting to a source until it must have sent rows that are not stale. */
  duration source_timeout = std::chrono::milliseconds(500);
  /** Time with stale rows in which a source that is sending is not given up. */
  duration max_sending_time = std::chrono::milliseconds(3000);
  /** Time with stale rows after which the daemon reads the store besides looking for a source. */
  duration takeover_delay = std::chrono::milliseconds(300);
  /** Time after the start in which a daemon without any rows waits for a source. */
  duration start_patience = std::chrono::milliseconds(2500);
  /**
   * Pause before a source is tried again. Doubles up to the maximum for a source that does not
   * respond, but not for one whose rows are stale: it may have lost the store for a moment.
   */
  duration min_cooldown = std::chrono::milliseconds(1000);
  duration max_cooldown = std::chrono::seconds(30);
  /** Longest pause while the daemon's rows are stale, whatever the source did before. */
  duration max_stale_cooldown = kCatchUpTime;
  /** Same while the daemon has no rows: in a fleet that restarts, the sources come up soon. */
  duration start_cooldown = std::chrono::milliseconds(150);
};

/** What a daemon knows about its rows and its source at a moment. */
struct source_view {
  /** All tables have been read or received. */
  bool loaded = false;
  /** Age of the newest confirmation of the rows, from any source. */
  duration age{0};
  /** Age of the newest confirmation received from the current source; empty if none. */
  std::optional<duration> source_age;
  /** The daemon's own last call to the store has failed. */
  bool store_lost = false;
  /** The source is sending a message that has not arrived as a whole. */
  bool source_sends = false;
};

/**
 * Decides from which daemon to receive the store's rows and when to read the store instead. Has no
 * sockets: the owner calls `Update` regularly, connects to `source` and reads the store while
 * `reads_store` holds.
 */
class source_selector final {
 public:
  source_selector(time_point now, std::uint64_t seed, selector_options options = {});

  /** Replaces the plan. A source that is still listed is kept. */
  void SetPlan(time_point now, relay_plan plan);

  /** The connection to the current source failed or was closed. */
  void OnSourceFailed(time_point now);

  /**
   * @return whether a daemon without rows may serve with rows of this age. Other daemons serve
   *     meanwhile, so that it looks for newer rows first: at other sources, and in the store.
   */
  bool AcceptsFirstRows(time_point now, duration age) const;

  /** The current source has no rows that are accepted as first ones. */
  void OnSourceBehind(time_point now);

  void Update(time_point now, const source_view& view);

  /** Address of the daemon to follow; empty if there is none. */
  const std::optional<std::string>& source() const { return source_; }
  bool reads_store() const { return reads_store_; }
  /** The source is not a planned one: the store refuses this daemon and the planned ones. */
  bool follows_alternate() const;
  const relay_plan& plan() const { return plan_; }
  /** Age at which this daemon gives up a source that sends stale rows. */
  duration StaleAge() const;

  void Validate() const;

 private:
  struct failed_source {
    time_point failed_at;
    time_point retry_at;
    std::uint32_t failures = 0;
  };

  bool IsListed(const std::string& address) const;
  bool IsUsable(time_point now, const std::string& address) const;
  void ChooseSource(time_point now);
  /** Chooses the source or alternate whose last failure is the longest ago. */
  void ChooseAnySource(time_point now);
  void GiveUpSource(time_point now, bool responds);
  duration Cooldown(std::uint32_t failures);

  selector_options options_;
  std::mt19937_64 random_;
  time_point started_at_;
  relay_plan plan_;
  std::optional<std::string> source_;
  time_point source_since_;
  bool reads_store_ = false;
  bool loaded_ = false;
  bool store_lost_ = false;
  /** A daemon without rows has found a source that is behind, so that others may be as well. */
  bool found_old_rows_ = false;
  /** Since when the rows have been stale. */
  std::optional<time_point> stale_since_;
  std::unordered_map<std::string, failed_source> failed_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_SOURCE_SELECTOR_H_
