#ifndef TARRAGON_POLICY_CRASH_SUSPECTS_H_
#define TARRAGON_POLICY_CRASH_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/base/ids.h"
#include "tarragon/policy/endpoint_index.h"

namespace tarragon::policy {

struct crash_suspect_options {
  std::uint32_t max_deaths = 3;
  /** How long a fingerprint is remembered, and refused, after its last death. */
  duration memory = std::chrono::minutes(10);
  /** Bounds the memory; the oldest suspects are forgotten first. */
  std::size_t max_suspects = 4096;
};

/** Deaths seen by one entry, as sent to the others. */
struct suspect_deaths {
  fingerprint content;
  std::uint32_t deaths = 0;
  /** Part of `deaths` that a later completion has cleared. */
  std::uint32_t cleared = 0;
};

/**
 * Fingerprints of requests that were running at endpoints that died. Each entry publishes the
 * deaths it saw itself; counts of other entries are kept per entry and only raised, so a report
 * that arrives twice or out of order changes nothing.
 */
class crash_suspects final {
 public:
  explicit crash_suspects(crash_suspect_options options = {});

  /** The request was running at an endpoint that died. */
  void RecordDeath(time_point now, fingerprint content);

  /** The request ended well: it does not crash endpoints. Counts known so far are forgotten. */
  void RecordCompleted(fingerprint content);

  /** Merges what another entry saw. */
  void Merge(time_point now, std::string_view vm, const std::vector<suspect_deaths>& reports);

  /** @return deaths over all entries. */
  std::uint32_t Deaths(fingerprint content) const;
  bool IsSuspect(fingerprint content) const { return Deaths(content) > 0; }
  bool IsRefused(fingerprint content) const;
  /** @return time until a refused fingerprint is admitted again; zero if it is not refused. */
  duration RefusedFor(time_point now, fingerprint content) const;

  /** @return whether the request may be sent to the endpoint; always true if it is no suspect. */
  bool MayRun(fingerprint content, endpoint_index endpoint) const;

  /**
   * Claims the endpoint for a suspect; does nothing for other requests.
   * @return false if the endpoint runs a suspect or the suspect runs elsewhere.
   */
  bool TryAssign(fingerprint content, endpoint_index endpoint);

  /** The suspect's attempt has ended, whatever its outcome. May be repeated. */
  void Release(fingerprint content, endpoint_index endpoint);

  /** Forgets suspects whose last death is long ago. */
  void Expire(time_point now);

  /** @return deaths that this entry saw, latest first. */
  std::vector<suspect_deaths> LocalReports(time_point now, std::size_t max_reports) const;

  std::size_t Size() const { return suspects_.size(); }
  void Validate() const;

 private:
  /** Both only rise, so that reports may be merged in any order and any number of times. */
  struct death_count {
    std::uint32_t deaths = 0;
    /** Deaths known when the request last completed; they no longer count. */
    std::uint32_t cleared = 0;
  };

  struct peer_count {
    std::string vm;
    death_count count;
  };

  struct suspect {
    death_count own;
    std::vector<peer_count> peers;
    time_point last_death{};
    time_point last_own_death{};
  };

  static std::uint32_t Count(const suspect& state);
  suspect& Get(fingerprint content);
  void EvictOldest();

  crash_suspect_options options_;
  std::unordered_map<fingerprint, suspect> suspects_;
  std::unordered_map<endpoint_index, fingerprint> running_;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_CRASH_SUSPECTS_H_
