#include "tarragon/policy/memory_ledger.h"

#include <algorithm>
#include <functional>

#include "tarragon/base/invariant.h"

namespace tarragon::policy {

namespace {

std::uint64_t StreamPeak(stream_memory memory) {
  return std::uint64_t{memory.held} + memory.remaining;
}

/**
 * Peak over time of streams that are passed to `Add` in descending order of `remaining`. When the
 * k-th stream ends, the first k streams are still running and each has grown by the remaining
 * tokens of the k-th.
 */
class peak_accumulator final {
 public:
  void Add(stream_memory memory) {
    held_ += memory.held;
    count_ += 1;
    peak_ = std::max(peak_, held_ + count_ * memory.remaining);
  }

  std::uint64_t Peak() const { return peak_; }

 private:
  std::uint64_t held_ = 0;
  std::uint64_t count_ = 0;
  std::uint64_t peak_ = 0;
};

}  // namespace

memory_ledger::endpoint_memory& memory_ledger::GetOrAddEndpoint(endpoint_index endpoint) {
  if (endpoint >= endpoints_.size()) {
    endpoints_.resize(endpoint + 1);
  }
  return endpoints_[endpoint];
}

const memory_ledger::endpoint_memory* memory_ledger::FindEndpoint(endpoint_index endpoint) const {
  return endpoint < endpoints_.size() ? &endpoints_[endpoint] : nullptr;
}

void memory_ledger::SetEndpointMemory(endpoint_index endpoint,
                                      std::uint64_t total,
                                      std::uint64_t peer_used,
                                      std::uint32_t peer_streams) {
  endpoint_memory& memory = GetOrAddEndpoint(endpoint);
  memory.total = total;
  memory.peer_used = peer_used;
  memory.peer_streams = peer_streams;
}

std::uint64_t memory_ledger::EstimatePeerMemory(const endpoint_memory& memory) const {
  const std::uint64_t mean_held = attempts_.empty() ? 0 : own_held_total_ / attempts_.size();
  return std::max(memory.peer_used, memory.peer_streams * mean_held);
}

bool memory_ledger::Fits(endpoint_index endpoint, stream_memory stream) const {
  const endpoint_memory* memory = FindEndpoint(endpoint);
  if (memory == nullptr || memory->total == 0) {
    return true;
  }
  const std::uint64_t peer_memory = EstimatePeerMemory(*memory);
  // The sum of the two peaks is an upper bound, which settles most calls without visiting streams.
  if (peer_memory + memory->own_peak + StreamPeak(stream) <= memory->total) {
    return true;
  }
  peak_accumulator peak;
  bool is_added = false;
  for (const reserved_stream& reserved : memory->streams) {
    if (!is_added && reserved.memory.remaining <= stream.remaining) {
      peak.Add(stream);
      is_added = true;
    }
    peak.Add(reserved.memory);
  }
  if (!is_added) {
    peak.Add(stream);
  }
  return peer_memory + peak.Peak() <= memory->total;
}

void memory_ledger::Reserve(attempt_id attempt, endpoint_index endpoint, stream_memory stream) {
  const bool inserted = attempts_.emplace(attempt, endpoint).second;
  TARRAGON_INVARIANT(inserted, "attempt is reserved twice");
  endpoint_memory& memory = GetOrAddEndpoint(endpoint);
  Insert(memory, {attempt, stream});
  UpdatePeak(memory);
}

void memory_ledger::Insert(endpoint_memory& memory, reserved_stream stream) {
  const auto position = std::ranges::upper_bound(
      memory.streams, stream.memory.remaining, std::greater{},
      [](const reserved_stream& reserved) { return reserved.memory.remaining; });
  memory.streams.insert(position, stream);
  memory.own_held += stream.memory.held;
  own_held_total_ += stream.memory.held;
}

void memory_ledger::Remove(endpoint_memory& memory, attempt_id attempt) {
  const auto found = std::ranges::find(memory.streams, attempt, &reserved_stream::attempt);
  TARRAGON_INVARIANT(found != memory.streams.end(),
                     "reserved attempt is missing from its endpoint");
  memory.own_held -= found->memory.held;
  own_held_total_ -= found->memory.held;
  memory.streams.erase(found);
}

void memory_ledger::UpdatePeak(endpoint_memory& memory) {
  peak_accumulator peak;
  for (const reserved_stream& reserved : memory.streams) {
    peak.Add(reserved.memory);
  }
  memory.own_peak = peak.Peak();
}

void memory_ledger::Adjust(attempt_id attempt, stream_memory stream) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  endpoint_memory& memory = GetOrAddEndpoint(found->second);
  Remove(memory, attempt);
  Insert(memory, {attempt, stream});
  UpdatePeak(memory);
}

void memory_ledger::Release(attempt_id attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  endpoint_memory& memory = GetOrAddEndpoint(found->second);
  Remove(memory, attempt);
  UpdatePeak(memory);
  attempts_.erase(found);
}

std::uint64_t memory_ledger::Peak(endpoint_index endpoint) const {
  const endpoint_memory* memory = FindEndpoint(endpoint);
  return memory == nullptr ? 0 : memory->own_peak + EstimatePeerMemory(*memory);
}

std::uint64_t memory_ledger::OwnHeldMemory(endpoint_index endpoint) const {
  const endpoint_memory* memory = FindEndpoint(endpoint);
  return memory == nullptr ? 0 : memory->own_held;
}

std::uint64_t memory_ledger::Total(endpoint_index endpoint) const {
  const endpoint_memory* memory = FindEndpoint(endpoint);
  return memory == nullptr ? 0 : memory->total;
}

void memory_ledger::Validate() const {
  std::size_t streams = 0;
  std::uint64_t held_sum = 0;
  for (endpoint_index endpoint = 0; endpoint < endpoints_.size(); ++endpoint) {
    const endpoint_memory& memory = endpoints_[endpoint];
    std::uint64_t held = 0;
    std::uint64_t sum = 0;
    std::uint64_t largest_peak = 0;
    for (const reserved_stream& reserved : memory.streams) {
      const auto found = attempts_.find(reserved.attempt);
      TARRAGON_INVARIANT(found != attempts_.end() && found->second == endpoint,
                         "stream is reserved at another endpoint");
      held += reserved.memory.held;
      sum += StreamPeak(reserved.memory);
      largest_peak = std::max(largest_peak, StreamPeak(reserved.memory));
    }
    TARRAGON_INVARIANT(held == memory.own_held, "sum of held memory of the endpoint is wrong");
    TARRAGON_INVARIANT(std::ranges::is_sorted(memory.streams, std::greater{},
                                              [](const reserved_stream& reserved) {
                                                return reserved.memory.remaining;
                                              }),
                       "streams are not ordered by remaining tokens");
    TARRAGON_INVARIANT(memory.own_peak <= sum && memory.own_peak >= std::max(held, largest_peak),
                       "predicted peak is outside its bounds");
    streams += memory.streams.size();
    held_sum += held;
  }
  TARRAGON_INVARIANT(streams == attempts_.size(),
                     "number of attempts differs from the number of reserved streams");
  TARRAGON_INVARIANT(held_sum == own_held_total_, "sum of held memory over all endpoints is wrong");
}

}  // namespace tarragon::policy
