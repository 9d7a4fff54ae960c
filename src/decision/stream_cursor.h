#ifndef TARRAGON_DECISION_STREAM_CURSOR_H_
#define TARRAGON_DECISION_STREAM_CURSOR_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tarragon/base/ids.h"

namespace tarragon::decision {

enum class token_position : std::uint8_t { kNext, kDuplicate, kGap, kOtherGeneration };

/** Position of an answer in its generation, and the text buffered until the answer is complete. */
class stream_cursor final {
 public:
  /** Starts to read `generation` at `next_index`; the caller has the earlier tokens. */
  void Attach(generation_id generation, std::uint32_t next_index);

  /** @return the position of a token relative to the next expected one. */
  token_position LocateToken(const generation_id& generation, std::uint32_t index) const;

  /** Advances past a token that was delivered to the caller. */
  void MarkDelivered();

  /** Advances past a token and buffers its text. */
  void Buffer(std::string text);

  /** Removes and returns the buffered text; the first item has index `first_buffered()`. */
  std::vector<std::string> TakeBuffered();

  void Validate() const;

  const generation_id& generation() const { return generation_; }
  std::uint32_t next_index() const { return next_index_; }
  /** Index of the first buffered token; the caller has the tokens before it. */
  std::uint32_t first_buffered() const {
    return next_index_ - static_cast<std::uint32_t>(buffered_.size());
  }
  std::size_t buffered_bytes() const { return buffered_bytes_; }
  /** @return whether the caller has any token of this generation. */
  bool caller_has_tokens() const { return first_buffered() > 0; }

 private:
  generation_id generation_;
  std::uint32_t next_index_ = 0;
  std::vector<std::string> buffered_;
  std::size_t buffered_bytes_ = 0;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_STREAM_CURSOR_H_
