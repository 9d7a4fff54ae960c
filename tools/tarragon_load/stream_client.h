#ifndef TARRAGON_TOOLS_TARRAGON_LOAD_STREAM_CLIENT_H_
#define TARRAGON_TOOLS_TARRAGON_LOAD_STREAM_CLIENT_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "tarragon/base/clock.h"

namespace tarragon::load {

/** Where and what a stream asks for. */
struct stream_target {
  std::string ip;
  int port = 0;
  std::string method = "POST";
  std::string path = "/v1/completions";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/** What one stream observed. */
struct stream_result {
  int status = 0;
  std::uint32_t tokens = 0;
  /** The stream ended with its `[DONE]` marker. */
  bool whole = false;
  /** Tokens were in order from index 0, each once. */
  bool in_order = true;
  std::string verdict;
};

/** Called for each token, with its index and the time at which its event was complete. */
using token_callback = std::function<void(std::uint32_t index, time_point when)>;

/** Called once, with the generation named by the first event id of the form `<id>:<index>`. */
using generation_callback = std::function<void(const std::string& generation)>;

/** Reads one streamed answer on a new connection. Blocks until it ends. */
stream_result ReadStream(const stream_target& target,
                         const clock& time,
                         const token_callback& on_token,
                         const generation_callback& on_generation = {});

}  // namespace tarragon::load

#endif  // TARRAGON_TOOLS_TARRAGON_LOAD_STREAM_CLIENT_H_
