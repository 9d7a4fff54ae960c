#include "stream_client.h"

#include <httplib.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

#include "tarragon/net/sse_parser.h"

namespace tarragon::load {

namespace {

constexpr std::chrono::seconds kTimeout{30};
constexpr int kHttpOk = 200;

/** @return the token index in an event id `<index>` or `<generation>:<index>`. */
std::optional<std::uint32_t> ParseTokenIndex(const std::string& id) {
  const std::size_t colon = id.rfind(':');
  const char* begin = id.data() + (colon == std::string::npos ? 0 : colon + 1);
  std::uint32_t index = 0;
  const auto parsed = std::from_chars(begin, id.data() + id.size(), index);
  return parsed.ec == std::errc() ? std::optional(index) : std::nullopt;
}

}  // namespace

stream_result ReadStream(const stream_request& stream,
                         const clock& time,
                         const token_callback& on_token,
                         const generation_callback& on_generation) {
  stream_result result;
  net::sse_parser parser;
  std::vector<net::sse_event> events;
  httplib::Request request;
  request.method = stream.method;
  request.path = stream.path;
  request.body = stream.body;
  request.headers.emplace("Content-Type", "application/json");
  for (const auto& [name, value] : stream.headers) {
    request.headers.emplace(name, value);
  }
  request.response_handler = [&](const httplib::Response& response) {
    result.status = response.status;
    result.verdict = response.get_header_value("Run-Verdict");
    return true;
  };
  request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
    if (result.status != kHttpOk) {
      return true;
    }
    events.clear();
    parser.Feed({data, size}, events);
    const time_point now = time.Now();
    for (const net::sse_event& event : events) {
      if (event.name == "run-verdict") {
        const auto json = nlohmann::json::parse(event.data, nullptr, false);
        result.verdict = json.is_object() ? json.value("verdict", "") : "";
      } else if (event.data == "[DONE]") {
        result.complete = true;
      } else if (const auto index = event.id.empty() ? std::nullopt : ParseTokenIndex(event.id)) {
        result.in_order = result.in_order && *index == result.tokens;
        ++result.tokens;
        on_token(*index, now);
        if (*index == 0 && on_generation) {
          on_generation(event.id.substr(0, event.id.rfind(':')));
        }
      }
    }
    return true;
  };
  httplib::ClientImpl client(stream.ip, stream.port);
  client.set_tcp_nodelay(true);
  client.set_read_timeout(kTimeout);
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  client.send(request, response, error);
  return result;
}

}  // namespace tarragon::load
