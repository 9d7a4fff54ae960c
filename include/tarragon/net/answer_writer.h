#ifndef TARRAGON_NET_ANSWER_WRITER_H_
#define TARRAGON_NET_ANSWER_WRITER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "tarragon/base/ids.h"
#include "tarragon/decision/action.h"
#include "tarragon/net/caller_request.h"

namespace tarragon::net {

/** Formats the answer to one generation request, as a stream of events or as one JSON object. */
class answer_writer final {
 public:
  answer_writer(answer_format format, std::string model);

  /** Starts over: tokens so far no longer belong to the answer. */
  void SetGeneration(const generation_id& generation);
  const generation_id& generation() const { return generation_; }

  /** Appends the event of one token to `out`. */
  void AppendToken(const decision::deliver_token& token, std::string& out) const;

  /** Appends an event that carries a new generation and its ticket. */
  void AppendTicket(std::string_view event, std::string_view ticket, std::string& out) const;

  /** Appends what ends the stream; only a complete answer gets the `[DONE]` marker. */
  void AppendEnd(const decision::finish_request& finish, std::string& out) const;

  /** Adds a token to the answer that `Whole` returns. */
  void Collect(const decision::deliver_token& token);

  /** @return the answer as one JSON object. */
  std::string Whole(const decision::finish_request& finish, std::uint32_t prompt_tokens) const;

 private:
  answer_format format_;
  std::string model_;
  generation_id generation_;
  /** Parts of a token's JSON on both sides of its text. */
  std::string before_text_;
  std::string after_text_;
  std::string collected_;
  std::uint32_t collected_tokens_ = 0;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_ANSWER_WRITER_H_
