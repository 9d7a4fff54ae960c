#ifndef TARRAGON_ROUTING_ENDPOINT_EVIDENCE_H_
#define TARRAGON_ROUTING_ENDPOINT_EVIDENCE_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/routing/endpoint_registry.h"
#include "tarragon/routing/store_version.h"

namespace tarragon::routing {

/** What a daemon has learned first-hand about an endpoint. */
enum class evidence_kind : std::uint8_t {
  /** The endpoint has responded after it was refused. */
  kAnswers,
  /** The endpoint's address refuses connections. */
  kRefused,
};

/** Names one incarnation of an endpoint among daemons. */
struct endpoint_incarnation {
  /** XXH3 hash of the endpoint's id. */
  std::uint64_t endpoint_hash = 0;
  /** Start in Unix milliseconds; 0 if unknown. */
  std::int64_t started_unix_ms = 0;

  auto operator<=>(const endpoint_incarnation&) const = default;
};

/** What one daemon tells the others about an endpoint. */
struct endpoint_statement {
  endpoint_incarnation incarnation;
  /** Version of the endpoint's row that the witness knew. */
  store_version row_version;
  /** XXH3 hash of the name of the daemon that learned it first-hand. */
  std::uint64_t witness = 0;
  /** Increases with each statement of a witness, also when its process restarts. */
  std::int64_t number = 0;
  evidence_kind kind = evidence_kind::kRefused;
  /** Time since the witness learned it. */
  std::chrono::milliseconds age{0};

  bool operator==(const endpoint_statement&) const = default;
};

struct evidence_options {
  /** For how long one witness keeps an endpoint out of use. A restart takes a few seconds. */
  duration single_witness_period = std::chrono::seconds(1);
  /**
   * Same for two or more witnesses. Each daemon adds its own share of up to the same time, so that
   * one of them tries the endpoint first and tells the others.
   */
  duration confirmed_period = std::chrono::seconds(4);
  /** Age at which a statement is dropped. */
  duration retention = std::chrono::seconds(10);
  /** Maximum number of statements; the oldest are dropped first. */
  std::size_t max_statements = 512;
};

/**
 * Finds endpoints that have gone without the store's word from connections that they refuse to any
 * daemon. Statements merge in any order, and more than once, to the same result. At most half of a
 * service's endpoints are taken out of use, whatever the other daemons say.
 *
 * Load: engines of a large service end every few seconds while the store is unavailable, and every
 * daemon sends some requests a second.
 */
class endpoint_evidence final {
 public:
  explicit endpoint_evidence(evidence_options options = {}) : options_(options) {}

  /**
   * @param name of this daemon.
   * @param started_unix_ms start of this process in Unix milliseconds.
   */
  void SetWitness(std::string_view name, std::int64_t started_unix_ms);

  /** Records that the endpoint has refused a connection of this daemon. */
  void RecordRefused(time_point now, const endpoint& known);

  /**
   * Records that the endpoint has responded to this daemon.
   * @return whether this contradicts a statement that it refuses connections.
   */
  bool RecordAnswer(time_point now, endpoint& known);

  /** Adds the statements of another daemon. @return number of those that were new. */
  std::size_t Merge(time_point now, std::span<const endpoint_statement> statements);

  bool HasUnsentChanges() const;
  /** @return up to `limit` statements that are to be sent; each one is returned `kSends` times. */
  std::vector<endpoint_statement> TakeChanges(time_point now, std::size_t limit);

  void Expire(time_point now);

  /** Sets which endpoints are unreachable. @return number of those that were reachable before. */
  std::size_t Apply(time_point now, endpoint_registry& registry);

  /** @return whether this or another daemon was refused by the endpoint and nobody answered since.
   */
  bool IsRefused(time_point now, const endpoint& known) const;

  std::size_t size() const { return records_.size(); }
  void Validate() const;

 private:
  /** Lost datagrams are made up for by the other daemons that pass a statement on. */
  static constexpr int kSends = 2;

  struct record_key {
    endpoint_incarnation incarnation;
    std::uint64_t witness = 0;

    auto operator<=>(const record_key&) const = default;
  };
  struct record {
    std::int64_t number = 0;
    evidence_kind kind = evidence_kind::kRefused;
    store_version row_version;
    time_point observed_at;
    int sends_left = kSends;
  };
  /** What all statements about an endpoint say together. */
  struct verdict {
    std::size_t witnesses = 0;
    time_point refused_at;
  };

  static endpoint_incarnation IncarnationOf(const endpoint& known);
  void Record(time_point now, const endpoint& known, evidence_kind kind);
  /** @return whether `added` was new. */
  bool Add(const record_key& key, const record& added);
  void DropOldest();
  verdict Judge(const endpoint& known) const;
  time_point UnreachableUntil(const endpoint& known, const verdict& judged) const;

  evidence_options options_;
  std::uint64_t witness_ = 0;
  std::int64_t last_number_ = 0;
  std::map<record_key, record> records_;
  /** Endpoints that `Apply` has marked as unreachable. */
  std::vector<endpoint_ptr> unreachable_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_ENDPOINT_EVIDENCE_H_
