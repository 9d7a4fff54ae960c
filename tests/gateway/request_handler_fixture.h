#ifndef TARRAGON_TESTS_GATEWAY_REQUEST_HANDLER_FIXTURE_H_
#define TARRAGON_TESTS_GATEWAY_REQUEST_HANDLER_FIXTURE_H_

#include <fmt/format.h>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gateway/gateway_fixture.h"
#include "gateway/scripted_endpoint.h"
#include "tarragon/gateway/request_handler.h"

namespace tarragon::gateway {

inline constexpr std::string_view kRequestId = "0123456789abcdef";

/** Records the response that a caller would receive. */
class recording_response_writer final : public response_writer {
 public:
  void SendResponse(int code, http::header_list response_headers, std::string_view text) override {
    status = code;
    headers = std::move(response_headers);
    body = text;
    ended = true;
  }
  void BeginStream(int code, http::header_list response_headers) override {
    status = code;
    headers = std::move(response_headers);
    ++streams_begun;
  }
  void SendStreamBytes(std::string_view bytes) override { body += bytes; }
  void EndStream() override { ended = true; }
  void AbortResponse() override { aborted = true; }

  bool done() const { return ended || aborted; }

  int status = 0;
  http::header_list headers;
  std::string body;
  int streams_begun = 0;
  bool ended = false;
  bool aborted = false;
};

inline std::string MakeResponse(std::string_view status_line,
                                std::string_view body,
                                std::string_view headers = "Response-Signature: s\r\n",
                                std::string_view id = kRequestId) {
  return fmt::format("HTTP/1.1 {}\r\nAttempt-Id: {}\r\n{}Content-Length: {}\r\n\r\n{}", status_line,
                     id, headers, body.size(), body);
}

inline std::string MakeStreamHead(std::string_view signature = "s",
                                  std::string_view id = kRequestId) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Signature: {}\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      id, signature);
}

inline std::string MakeEvent(int id) {
  const std::string event = fmt::format("id: {}\ndata: e{}\n\n", id, id);
  return fmt::format("{:x}\r\n{}\r\n", event.size(), event);
}

inline std::string EventsText(int first, int last) {
  std::string text;
  for (int id = first; id <= last; ++id) {
    text += fmt::format("id: {}\ndata: e{}\n\n", id, id);
  }
  return text;
}

inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/** Script of an engine that starts a stream for each request and copies its KV cache on request. */
inline void ServeStreamsAndCopies(scripted_connection& connection) {
  const std::string& request = connection.received();
  if (!request.starts_with("POST /tarragondyke/kv-move")) {
    constexpr std::string_view kHeader = "Attempt-Id: ";
    const std::size_t id = request.find(kHeader) + kHeader.size();
    connection.Send(MakeStreamHead("s", request.substr(id, request.find('\r', id) - id)) +
                    MakeEvent(1));
    return;
  }
  const std::string body = R"({"handle":"h7","create-rev":1})";
  connection.Send(
      fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body));
}

/** Starts requests at a gateway whose endpoints are scripted. */
class request_handler_fixture : public gateway_fixture {
 protected:
  std::shared_ptr<request_handler> Start(std::string method,
                                         std::string target,
                                         std::string body = {},
                                         const std::vector<http::header>& extra = {},
                                         recording_response_writer* other_response = nullptr) {
    caller_request request;
    request.head.method = std::move(method);
    request.head.target = std::move(target);
    request.head.headers.Add("Host", "h:80");
    request.head.headers.Add("Attempt-Id", std::string(kRequestId));
    request.head.headers.Add("Authorization", "Token key");
    request.head.headers.Add("Deadline-Ms", "2000");
    for (const http::header& header : extra) {
      request.head.headers.Set(header.name, header.value);
    }
    request.body = std::move(body);
    request.received = time.Now();
    auto handler = std::make_shared<request_handler>(
        gateway, std::move(request), other_response != nullptr ? *other_response : response);
    handler->Start();
    return handler;
  }

  static std::vector<http::header> LongGeneration() {
    return {{"Token-Usage", "3000,2000"}, {"Length-Hint", "900"}};
  }

  /** Records samples of the time between an engine's events. */
  void RecordEventInterval(const char* id, std::chrono::milliseconds interval) {
    for (int i = 0; i < 32; ++i) {
      gateway.endpoints.Find(id)->event_interval.Record(
          time.Now() + std::chrono::milliseconds(50 * i), interval, 0);
    }
  }

  recording_response_writer response;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_TESTS_GATEWAY_REQUEST_HANDLER_FIXTURE_H_
