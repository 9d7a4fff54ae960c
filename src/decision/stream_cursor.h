#ifndef TARRAGON_DECISION_STREAM_CURSOR_H_
#define TARRAGON_DECISION_STREAM_CURSOR_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tarragon/base/ids.h"

namespace tarragon::decision {

enum class token_place : std::uint8_t { kNext, kDuplicate, kGap, kForeign };

/** Position of one answer inside its generation, and the text held back until it is whole. */
class stream_cursor final {
 public:
  /** Follows `generation` from `next_index`; earlier tokens are at the caller. */
  void Attach(generation_id generation, std::uint32_t next_index);

  /** @return where a token stands relative to the next one wanted. */
  token_place Place(const generation_id& generation, std::uint32_t index) const;

  /** Counts the next token as delivered to the caller. */
  void Deliver();

  /** Counts the next token as received and keeps its text back. */
  void Hold(std::string text);

  /** Removes the text held back; the first item has index `first_held()`. */
  std::vector<std::string> TakeHeld();

  void Validate() const;

  const generation_id& generation() const { return generation_; }
  std::uint32_t next_index() const { return next_index_; }
  std::uint32_t first_held() const {
    return next_index_ - static_cast<std::uint32_t>(held_.size());
  }
  std::size_t held_bytes() const { return held_bytes_; }
  /** Whether the caller has any token of this generation. */
  bool visible() const { return first_held() > 0; }

 private:
  generation_id generation_;
  std::uint32_t next_index_ = 0;
  std::vector<std::string> held_;
  std::size_t held_bytes_ = 0;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_STREAM_CURSOR_H_
