#ifndef TARRAGON_FAKES_FAKE_ENDPOINT_PREFIX_CACHE_H_
#define TARRAGON_FAKES_FAKE_ENDPOINT_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <random>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tarragon/base/clock.h"

namespace tarragon::fakes {

enum class cache_event_kind : std::uint8_t { kStored, kEvicted };

struct cache_event {
  /** Increases by one with each event, so that a reader detects missing events. */
  std::uint64_t sequence = 0;
  cache_event_kind kind = cache_event_kind::kStored;
  std::uint64_t prefix_hash = 0;
  time_point occurred_at;
};

/** @return the words of a prompt; one word stands for one token. */
std::vector<std::string_view> SplitWords(std::string_view prompt);

/**
 * Least-recently-used cache of prompt prefixes in whole blocks of `kBlockTokens`. A prefix is
 * identified by the XXH3 hash of its words joined by single spaces. Not thread-safe.
 */
class prefix_cache final {
 public:
  static constexpr std::size_t kBlockTokens = 16;

  /**
   * @param capacity_blocks maximum number of blocks; 0 disables the cache.
   * @param gap_share probability in [0, 1] that an event is never published.
   */
  prefix_cache(std::size_t capacity_blocks, double gap_share, std::uint64_t seed);

  /** Stores the prefixes of the prompt. @return number of leading tokens already cached. */
  std::uint32_t Access(std::string_view prompt, time_point now);

  /** @return published events after sequence number `after` that occurred at `until` or before. */
  std::vector<cache_event> EventsAfter(std::uint64_t after, time_point until) const;

 private:
  void Publish(cache_event_kind kind, std::uint64_t prefix_hash, time_point now);

  const std::size_t capacity_;
  const double gap_share_;
  std::mt19937_64 random_;
  // Most recently used first.
  std::list<std::uint64_t> blocks_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
  std::deque<cache_event> events_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_ENDPOINT_PREFIX_CACHE_H_
