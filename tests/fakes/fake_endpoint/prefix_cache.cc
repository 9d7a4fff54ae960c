#include "fakes/fake_endpoint/prefix_cache.h"

#include <algorithm>
#include <iterator>
#include <string>

#include "tarragon/base/hash.h"

namespace tarragon::fakes {

namespace {

constexpr std::size_t kMaxEvents = 10'000;
constexpr std::string_view kSpace = " \t\r\n";

std::vector<std::uint64_t> PrefixHashes(std::string_view prompt) {
  std::vector<std::uint64_t> hashes;
  std::string prefix;
  std::size_t words = 0;
  for (const std::string_view word : SplitWords(prompt)) {
    prefix.append(words == 0 ? "" : " ").append(word);
    if (++words % prefix_cache::kBlockTokens == 0) {
      hashes.push_back(Hash64(prefix));
    }
  }
  return hashes;
}

}  // namespace

std::vector<std::string_view> SplitWords(std::string_view prompt) {
  std::vector<std::string_view> words;
  std::size_t start = prompt.find_first_not_of(kSpace);
  while (start != std::string_view::npos) {
    const std::size_t end = std::min(prompt.find_first_of(kSpace, start), prompt.size());
    words.push_back(prompt.substr(start, end - start));
    start = prompt.find_first_not_of(kSpace, end);
  }
  return words;
}

prefix_cache::prefix_cache(std::size_t capacity_blocks, double gap_share, std::uint64_t seed)
    : capacity_(capacity_blocks), gap_share_(gap_share), random_(seed) {}

std::uint32_t prefix_cache::Access(std::string_view prompt, time_point now) {
  if (capacity_ == 0) {
    return 0;
  }
  const std::vector<std::uint64_t> hashes = PrefixHashes(prompt);
  const auto missing = std::ranges::find_if(
      hashes, [this](std::uint64_t hash) { return !positions_.contains(hash); });
  // From the last block to the first, so that a long prefix is evicted before its shorter prefixes.
  for (auto it = hashes.rbegin(); it != hashes.rend(); ++it) {
    const std::uint64_t hash = *it;
    const auto found = positions_.find(hash);
    if (found != positions_.end()) {
      blocks_.splice(blocks_.begin(), blocks_, found->second);
      continue;
    }
    blocks_.push_front(hash);
    positions_.emplace(hash, blocks_.begin());
    Publish(cache_event_kind::kStored, hash, now);
  }
  while (blocks_.size() > capacity_) {
    Publish(cache_event_kind::kEvicted, blocks_.back(), now);
    positions_.erase(blocks_.back());
    blocks_.pop_back();
  }
  return static_cast<std::uint32_t>(std::distance(hashes.begin(), missing)) * kBlockTokens;
}

std::vector<cache_event> prefix_cache::EventsAfter(std::uint64_t after, time_point until) const {
  std::vector<cache_event> selected;
  std::ranges::copy_if(events_, std::back_inserter(selected), [&](const cache_event& item) {
    return item.sequence > after && item.occurred_at <= until;
  });
  return selected;
}

void prefix_cache::Publish(cache_event_kind kind, std::uint64_t prefix_hash, time_point now) {
  const std::uint64_t sequence = next_sequence_++;
  if (std::bernoulli_distribution(gap_share_)(random_)) {
    return;
  }
  events_.push_back({sequence, kind, prefix_hash, now});
  if (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
}

}  // namespace tarragon::fakes
