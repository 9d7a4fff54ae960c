#include "tarragon/routing/stream_origins.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "tarragon/base/hash.h"
#include "tarragon/base/invariant.h"

namespace tarragon::routing {

namespace {

/** Beyond this, the oldest streams are forgotten: their callers have to begin anew. */
constexpr std::size_t kMaxStreams = 20'000;

std::vector<stream_origin> FirstOf(const std::deque<stream_origin>& origins, std::size_t count) {
  const auto end = origins.begin() + static_cast<std::ptrdiff_t>(std::min(count, origins.size()));
  return {origins.begin(), end};
}

void EraseAll(std::deque<stream_origin>& origins, std::span<const stream_origin> erased) {
  std::erase_if(origins, [&](const stream_origin& known) {
    return std::ranges::find(erased, known) != erased.end();
  });
}

}  // namespace

stream_key MakeStreamKey(std::string_view account, std::string_view request_id) {
  return {Hash64(request_id, Hash64(account))};
}

take_up_decision DecideTakeUp(std::span<const software_version> recorded,
                              std::span<const software_version> announced) {
  if (recorded.size() == 1) {
    return continue_at{recorded.front()};
  }
  if (recorded.empty() && announced.size() == 1) {
    return continue_at{announced.front()};
  }
  return origin_unknown{};
}

stream_origins::record* stream_origins::FindRecord(const stream_origin& origin) {
  const auto found = streams_.find(origin.key);
  if (found == streams_.end()) {
    return nullptr;
  }
  std::vector<record>& records = found->second.records;
  const auto match = std::ranges::find(records, origin.version, &record::version);
  return match == records.end() ? nullptr : &*match;
}

void stream_origins::Share(stream_key key, record& shared) {
  if (!std::exchange(shared.is_shared, true)) {
    unwritten_.push_back({key, shared.version});
  }
}

void stream_origins::Record(const stream_origin& origin, time_point keep_until, bool for_store) {
  stream& known = streams_[origin.key];
  known.keep_until = std::max(known.keep_until, keep_until);
  record* own = FindRecord(origin);
  if (own == nullptr) {
    own = &known.records.emplace_back(record{.version = origin.version});
    expiries_.push_back({known.keep_until, origin.key});
  }
  if (std::exchange(own->is_retracted, false)) {
    EraseAll(obsolete_, std::span(&origin, 1));
    own->is_shared = own->is_written = false;
  }
  if (for_store) {
    Share(origin.key, *own);
  }
  if (streams_.size() > kMaxStreams) {
    Expire(expiries_.front().at);
  }
}

bool stream_origins::MaySend(const stream_origin& origin, bool for_store) const {
  const auto found = streams_.find(origin.key);
  if (found == streams_.end()) {
    return true;
  }
  const std::vector<record>& records = found->second.records;
  const bool was_shared = std::ranges::any_of(records, &record::is_shared);
  const auto own = std::ranges::find(records, origin.version, &record::version);
  const bool is_written = own != records.end() && own->is_written;
  const bool is_only = records.size() == 1 && own != records.end();
  return is_written || is_only || !(was_shared || for_store);
}

void stream_origins::Retract(const stream_origin& origin) {
  record* const own = FindRecord(origin);
  if (own != nullptr && !std::exchange(own->is_retracted, true) && own->is_shared) {
    EraseAll(unwritten_, std::span(&origin, 1));
    obsolete_.push_back(origin);
  }
}

std::vector<software_version> stream_origins::Find(stream_key key) const {
  std::vector<software_version> versions;
  if (const auto found = streams_.find(key); found != streams_.end()) {
    for (const record& own : found->second.records) {
      if (!own.is_retracted) {
        versions.push_back(own.version);
      }
    }
  }
  return versions;
}

void stream_origins::ShareAll(std::string_view service) {
  for (auto& [key, known] : streams_) {
    for (record& own : known.records) {
      if (own.version.service == service && !own.is_retracted) {
        Share(key, own);
      }
    }
  }
}

void stream_origins::ShareAgain() {
  for (auto& [key, known] : streams_) {
    for (record& own : known.records) {
      if (std::exchange(own.is_written, false) && !own.is_retracted) {
        unwritten_.push_back({key, own.version});
      }
    }
  }
}

std::vector<stream_origin> stream_origins::Unwritten(std::size_t count) const {
  return FirstOf(unwritten_, count);
}

void stream_origins::OnWritten(std::span<const stream_origin> written) {
  EraseAll(unwritten_, written);
  for (const stream_origin& origin : written) {
    if (record* const own = FindRecord(origin)) {
      own->is_written = true;
    } else {
      obsolete_.push_back(origin);
    }
  }
}

std::vector<stream_origin> stream_origins::Obsolete(std::size_t count) const {
  return FirstOf(obsolete_, count);
}

void stream_origins::OnErased(std::span<const stream_origin> erased) {
  EraseAll(obsolete_, erased);
}

void stream_origins::Expire(time_point now) {
  while (!expiries_.empty() && expiries_.front().at <= now) {
    const stream_key key = expiries_.front().key;
    expiries_.pop_front();
    const auto found = streams_.find(key);
    if (found == streams_.end()) {
      continue;
    }
    if (found->second.keep_until > now) {
      expiries_.push_back({found->second.keep_until, key});
      continue;
    }
    for (const record& own : found->second.records) {
      if (own.is_written && !own.is_retracted) {
        obsolete_.push_back({key, own.version});
      }
    }
    streams_.erase(found);
  }
  std::erase_if(unwritten_,
                [&](const stream_origin& origin) { return !streams_.contains(origin.key); });
}

void stream_origins::Validate() const {
  const bool all_recorded = std::ranges::all_of(
      streams_, [](const auto& entry) { return !entry.second.records.empty(); });
  TARRAGON_INVARIANT(all_recorded, "a stream without a record is remembered");
  TARRAGON_INVARIANT(streams_.size() <= kMaxStreams, "too many streams are remembered");
}

}  // namespace tarragon::routing
