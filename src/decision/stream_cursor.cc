#include "decision/stream_cursor.h"

#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::decision {

void stream_cursor::Attach(generation_id generation, std::uint32_t next_index) {
  generation_ = std::move(generation);
  next_index_ = next_index;
  buffered_.clear();
  buffered_bytes_ = 0;
}

token_position stream_cursor::LocateToken(const generation_id& generation,
                                          std::uint32_t index) const {
  if (generation != generation_) {
    return token_position::kOtherGeneration;
  }
  if (index == next_index_) {
    return token_position::kNext;
  }
  return index < next_index_ ? token_position::kDuplicate : token_position::kGap;
}

void stream_cursor::MarkDelivered() {
  TARRAGON_INVARIANT(buffered_.empty(), "token delivered before buffered text");
  ++next_index_;
}

void stream_cursor::Buffer(std::string text) {
  buffered_bytes_ += text.size();
  buffered_.push_back(std::move(text));
  ++next_index_;
}

std::vector<std::string> stream_cursor::TakeBuffered() {
  buffered_bytes_ = 0;
  return std::exchange(buffered_, {});
}

void stream_cursor::Validate() const {
  TARRAGON_INVARIANT(buffered_.size() <= next_index_, "more tokens buffered than received");
  TARRAGON_INVARIANT(!generation_.empty() || next_index_ == 0,
                     "tokens received without a generation");
}

}  // namespace tarragon::decision
