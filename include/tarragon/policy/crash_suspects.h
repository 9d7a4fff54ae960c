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
  std::uint32_t max_crashes = 3;
  /** How long a fingerprint is kept, and refused, after its last crash. */
  duration retention = std::chrono::minutes(10);
  /** Maximum number of fingerprints kept; the one with the oldest last crash is evicted first. */
  std::size_t max_suspects = 4096;
};

/** Crashes attributed to one fingerprint by one entry, as published to the other entries. */
struct suspect_crashes {
  fingerprint request_fingerprint;
  std::uint32_t crashes = 0;
  /** Part of `crashes` that a later completion has cleared. */
  std::uint32_t cleared = 0;
};

/**
 * Fingerprints of requests that were running at endpoints that crashed. A suspect runs at one
 * endpoint at a time, without other suspects. Each entry publishes the crashes that it observed
 * itself. Counts from other entries are kept per entry and only increase, so reports may arrive
 * repeatedly or out of order.
 */
class crash_suspects final {
 public:
  explicit crash_suspects(crash_suspect_options options = {});

  /** Records that the request was running at an endpoint that crashed. */
  void RecordCrash(time_point now, fingerprint request_fingerprint);

  /** Records that the request completed, which clears the crashes counted so far. */
  void RecordCompleted(fingerprint request_fingerprint);

  /** Merges the crashes observed by another entry. */
  void Merge(time_point now, std::string_view vm, const std::vector<suspect_crashes>& reports);

  /** @return crashes over all entries that no later completion has cleared. */
  std::uint32_t ActiveCrashes(fingerprint request_fingerprint) const;
  bool IsSuspect(fingerprint request_fingerprint) const {
    return ActiveCrashes(request_fingerprint) > 0;
  }
  bool IsRefused(fingerprint request_fingerprint) const;
  /** @return time until a refused fingerprint is admitted again; zero if it is not refused. */
  duration RemainingRefusalTime(time_point now, fingerprint request_fingerprint) const;

  /** @return whether the request may be sent to the endpoint; always true for non-suspects. */
  bool CanRun(fingerprint request_fingerprint, endpoint_index endpoint) const;

  /**
   * Reserves the endpoint for a suspect; does nothing for other requests.
   * @return false if the endpoint runs a suspect already or the suspect runs at any endpoint.
   */
  bool TryAssign(fingerprint request_fingerprint, endpoint_index endpoint);

  /** Ends the reservation after an attempt with any outcome. Idempotent. */
  void Release(fingerprint request_fingerprint, endpoint_index endpoint);

  /** Removes suspects whose last crash is older than the retention. */
  void Expire(time_point now);

  /** @return crashes observed by this entry, most recent first. */
  std::vector<suspect_crashes> LocalReports(time_point now, std::size_t max_reports) const;

  std::size_t Size() const { return suspects_.size(); }
  void Validate() const;

 private:
  /** Counts that only increase, so that reports may be merged in any order, also repeatedly. */
  struct crash_count {
    std::uint32_t crashes = 0;
    /** Crashes known when the request last completed; they no longer count. */
    std::uint32_t cleared = 0;
  };

  struct peer_count {
    std::string vm;
    crash_count count;
  };

  struct suspect {
    crash_count own;
    std::vector<peer_count> peers;
    time_point last_crash{};
    time_point last_own_crash{};
  };

  static std::uint32_t ActiveCrashes(const suspect& state);
  suspect& GetOrCreate(fingerprint request_fingerprint);
  void EvictOldest();

  crash_suspect_options options_;
  std::unordered_map<fingerprint, suspect> suspects_;
  std::unordered_map<endpoint_index, fingerprint> assignments_;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_CRASH_SUSPECTS_H_
