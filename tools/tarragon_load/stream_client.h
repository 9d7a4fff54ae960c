#ifndef TARRAGON_TOOLS_TARRAGON_LOAD_STREAM_CLIENT_H_
#define TARRAGON_TOOLS_TARRAGON_LOAD_STREAM_CLIENT_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "tarragon/base/clock.h"

namespace tarragon::load {

/** Address and HTTP request of a stream. */
struct stream_request {
  std::string ip;
  int port = 0;
  std::string method = "POST";
  std::string path = "/v1/completions";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/** Result of reading one stream. */
struct stream_result {
  int status = 0;
  std::uint32_t tokens = 0;
  /** The stream ended with its `[DONE]` marker. */
  bool complete = false;
  /** The token indices counted up from 0 without a gap or a repeat. */
  bool in_order = true;
  std::string verdict;
};

/** Called for each token with its index and the time at which its event was received in full. */
using token_callback = std::function<void(std::uint32_t index, time_point when)>;

/** Called at token 0 with the generation id from its event id, `<generation>:<index>`. */
using generation_callback = std::function<void(const std::string& generation)>;

/** Reads one streamed answer on a new connection. Blocks until the stream ends. */
stream_result ReadStream(const stream_request& stream,
                         const clock& time,
                         const token_callback& on_token,
                         const generation_callback& on_generation = {});

}  // namespace tarragon::load

#endif  // TARRAGON_TOOLS_TARRAGON_LOAD_STREAM_CLIENT_H_
