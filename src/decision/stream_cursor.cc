#include "decision/stream_cursor.h"

#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::decision {

void stream_cursor::Attach(generation_id generation, std::uint32_t next_index) {
  generation_ = std::move(generation);
  next_index_ = next_index;
  held_.clear();
  held_bytes_ = 0;
}

token_place stream_cursor::Place(const generation_id& generation, std::uint32_t index) const {
  if (generation != generation_) {
    return token_place::kForeign;
  }
  if (index == next_index_) {
    return token_place::kNext;
  }
  return index < next_index_ ? token_place::kDuplicate : token_place::kGap;
}

void stream_cursor::Deliver() {
  TARRAGON_INVARIANT(held_.empty(), "a token overtakes held text");
  ++next_index_;
}

void stream_cursor::Hold(std::string text) {
  held_bytes_ += text.size();
  held_.push_back(std::move(text));
  ++next_index_;
}

std::vector<std::string> stream_cursor::TakeHeld() {
  held_bytes_ = 0;
  return std::exchange(held_, {});
}

void stream_cursor::Validate() const {
  TARRAGON_INVARIANT(held_.size() <= next_index_, "more text held than received");
  TARRAGON_INVARIANT(!generation_.empty() || next_index_ == 0, "tokens without a generation");
}

}  // namespace tarragon::decision
