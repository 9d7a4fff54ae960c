#ifndef TARRAGON_NET_RESPONSE_WRITER_H_
#define TARRAGON_NET_RESPONSE_WRITER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "tarragon/base/ids.h"
#include "tarragon/decision/action.h"
#include "tarragon/net/caller_request.h"

namespace tarragon::net {

/** Formats the response to one generation request, as an event stream or as one JSON object. */
class response_writer final {
 public:
  response_writer(response_format format, std::string model);

  /** Starts the response of a new generation and discards the tokens collected so far. */
  void SetGeneration(const generation_id& generation);
  const generation_id& generation() const { return generation_; }

  /** Appends the event that carries one token to `out`. */
  void AppendToken(const decision::deliver_token& token, std::string& out) const;

  /** Appends an event that carries the id of a new generation and its resumption ticket. */
  void AppendTicket(std::string_view event, std::string_view ticket, std::string& out) const;

  /** Appends the final events; only a complete response gets the `[DONE]` marker. */
  void AppendEnd(const decision::finish_request& finish, std::string& out) const;

  /** Adds a token to the text that `BuildBody` returns. */
  void CollectToken(const decision::deliver_token& token);

  /** @return the collected response as one JSON object. */
  std::string BuildBody(const decision::finish_request& finish, std::uint32_t prompt_tokens) const;

 private:
  response_format format_;
  std::string model_;
  generation_id generation_;
  /** JSON of a token event before and after the text of the token. */
  std::string json_before_text_;
  std::string json_after_text_;
  std::string collected_text_;
  std::uint32_t collected_token_count_ = 0;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_RESPONSE_WRITER_H_
