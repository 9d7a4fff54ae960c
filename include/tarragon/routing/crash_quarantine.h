#ifndef TARRAGON_ROUTING_CRASH_QUARANTINE_H_
#define TARRAGON_ROUTING_CRASH_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/base/ids.h"

namespace tarragon::routing {

/** Something that requests may share: their whole content, or one part of their prompts. */
struct request_trait {
  fingerprint id;
  /** The fewer requests share the trait, the higher; the content has the highest value. */
  std::uint8_t specificity = 0;

  bool operator==(const request_trait&) const = default;
};

/** The end of one endpoint while it had a request with one trait. Its flags are only ever set. */
struct crash_record {
  request_trait trait;
  /** Hash of the endpoint's id and start time. */
  std::uint64_t endpoint_hash = 0;
  /** The endpoint had just begun to answer the request. */
  bool answer_begun = false;
  /** A request with the trait that was sent after the crash has been answered. */
  bool cleared = false;
  /** Requests with the trait have been answered before. */
  bool answered_before = false;
  /** Time since the crash. */
  std::chrono::milliseconds age{0};

  bool operator==(const crash_record&) const = default;
};

/** A trait with which requests are refused. */
struct quarantined_trait {
  request_trait trait;
  time_point since;
};

struct quarantine_options {
  /** Crashes after which a trait is quarantined. */
  std::size_t max_crashes = 3;
  /**
   * Same for a trait with which requests have been answered before. Crashes within
   * `common_cause_window` count as one, because the loss of many endpoints or connections at once
   * ends many requests with a popular trait.
   */
  std::size_t max_crashes_of_answered = 6;
  duration common_cause_window = std::chrono::milliseconds(500);
  /**
   * Windows with crashes after the fifth crash at which a trait is quarantined in any case: the
   * platform allows three more requests. An innocent trait is answered meanwhile, which clears it.
   */
  std::size_t max_late_crashes = 3;
  std::size_t crashes_before_late = 5;
  /** How long records and answers are kept, and requests refused. */
  duration retention = std::chrono::minutes(10);
  /** Maximum number of records; the oldest are dropped first. */
  std::size_t max_records = 4096;
  /** Maximum number of answered traits that are remembered. */
  std::size_t max_answered = 16384;
};

/**
 * Finds what crashes endpoints from the requests that they had when they ended, and keeps further
 * requests with these traits away from endpoints. All traits of such a request come into question.
 * Traits that explain most crashes are quarantined until each crash is explained; what merely
 * shared a request or an endpoint with them is not. Daemons merge their records in any order, and
 * daemons with the same records quarantine the same traits.
 */
class crash_quarantine final {
 public:
  /** @param is_own whether this daemon has seen one of the trait's crashes itself. */
  using listener = std::function<void(const request_trait& trait, bool is_own)>;

  explicit crash_quarantine(quarantine_options options = {});

  /** @param on_quarantined called for each trait that has become quarantined. */
  void SetListener(listener on_quarantined) { on_quarantined_ = std::move(on_quarantined); }

  /**
   * Records that an endpoint ended while it had a request with these traits.
   * @param answer_begun whether it had just begun to answer the request.
   */
  void RecordCrash(time_point now,
                   std::span<const request_trait> traits,
                   std::uint64_t endpoint_hash,
                   bool answer_begun);

  /** Records that a request has been answered. @param sent_at when it was sent to the endpoint. */
  void RecordAnswered(time_point now, std::span<const request_trait> traits, time_point sent_at);

  /** Merges records of another daemon. */
  void Merge(time_point now, std::span<const crash_record> records);

  /** Quarantines a trait that another process has quarantined `age` ago. */
  void Restore(time_point now, const request_trait& trait, duration age);

  /** @return a quarantined trait of the request, if any. */
  std::optional<request_trait> FindQuarantined(std::span<const request_trait> traits) const;

  std::vector<quarantined_trait> Quarantined() const;

  bool HasUnsentChanges() const { return !unsent_.empty(); }
  /** @return changed records to tell the other daemons; each is returned twice. */
  std::vector<crash_record> TakeChanges(time_point now, std::size_t max_records);
  /** @return records of quarantined traits, for daemons that may have missed them. */
  std::vector<crash_record> QuarantineRecords(time_point now, std::size_t max_records) const;

  /** Drops what is older than the retention. */
  void Expire(time_point now);

  std::size_t quarantined_count() const { return quarantined_.size(); }
  std::size_t record_count() const { return record_count_; }
  void Validate() const;

 private:
  static constexpr int kSends = 2;
  /** Records this close to their end are not told; they could outlive it at other daemons. */
  static constexpr duration kUntoldBeforeExpiry = std::chrono::seconds(30);

  struct record_state {
    bool answer_begun = false;
    bool cleared = false;
    time_point seen_at;
  };
  struct trait_state {
    std::uint8_t specificity = 0;
    bool answered_before = false;
    /** One of the crashes was seen by this daemon. */
    bool is_own = false;
    std::map<std::uint64_t, record_state> crashes;
  };
  struct unsent_record {
    fingerprint trait;
    std::uint64_t endpoint_hash = 0;
    int sends = 0;
  };
  struct candidate {
    request_trait trait;
    bool answered_before = false;
    std::size_t crashes = 0;
  };
  using endpoint_set = std::unordered_set<std::uint64_t>;

  /** @return whether the record has changed. */
  bool MergeRecord(time_point now, const crash_record& record);
  void MarkUnsent(fingerprint trait, std::uint64_t endpoint_hash);
  bool WasAnswered(fingerprint trait) const;
  void RememberAnswered(time_point now, fingerprint trait);
  void DropOldestRecord();
  /** Decides anew which traits are quarantined. */
  void Decide(time_point now);
  /** @return endpoints whose crashes are attributed to requests that they had begun to answer. */
  endpoint_set EndpointsWithBegunAnswer() const;
  /** @return number of windows with crashes, without those before `start`. */
  std::size_t CountWindows(std::span<const time_point> sorted_times,
                           std::optional<time_point> start) const;
  std::size_t CountUnexplained(const trait_state& state,
                               const endpoint_set& begun,
                               const endpoint_set& explained) const;
  std::optional<candidate> FindCulprit(const endpoint_set& begun,
                                       const endpoint_set& explained,
                                       bool answered_before) const;
  /** @return empty if the record is unknown or about to expire. */
  std::optional<crash_record> MakeRecord(time_point now,
                                         fingerprint trait,
                                         std::uint64_t endpoint_hash) const;

  quarantine_options options_;
  listener on_quarantined_;
  std::unordered_map<fingerprint, trait_state> traits_;
  std::size_t record_count_ = 0;
  std::unordered_map<fingerprint, quarantined_trait> quarantined_;
  /** Traits that other processes have quarantined; their crashes may be unknown here. */
  std::unordered_set<fingerprint> restored_;
  std::vector<unsent_record> unsent_;
  /** Answered traits; the older half is dropped when the newer one is full or old. */
  std::unordered_set<fingerprint> answered_;
  std::unordered_set<fingerprint> answered_earlier_;
  time_point answered_since_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_CRASH_QUARANTINE_H_
