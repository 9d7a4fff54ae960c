#include "tarragon/net/upstream.h"

#include <fmt/format.h>

#include <atomic>
#include <charconv>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include <httplib.h>
#include "tarragon/base/metrics.h"
#include "tarragon/net/socket_address.h"
#include "tarragon/net/sse_parser.h"
#include "tarragon/net/thread_pool.h"

namespace tarragon::net {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpUnprocessable = 422;
constexpr int kHttpTooManyRequests = 429;
// An error response is read up to this size; the rest does not affect how the error is reported.
constexpr std::size_t kMaxErrorBytes = 4096;
// A read error after at least this share of the read timeout counts as a timeout, and before it as
// a lost connection.
constexpr int kReadTimeoutNumerator = 9;
constexpr int kReadTimeoutDenominator = 10;
constexpr std::chrono::milliseconds kCancelTimeout{2000};
// A plain service may respond until the request deadline, but gets at least this long.
constexpr std::chrono::milliseconds kMinServiceTimeout{100};

constexpr std::string_view kDoneMarker = "[DONE]";

/** Connection of one attempt. `client` is set while its thread is inside a client call. */
struct attempt_connection {
  std::atomic<bool> closed{false};
  std::mutex mutex;
  httplib::ClientImpl* client = nullptr;

  void Close() {
    closed = true;
    std::lock_guard lock(mutex);
    if (client != nullptr) {
      client->stop();
    }
  }
};

std::optional<std::uint32_t> ParseNumber(std::string_view text) {
  std::uint32_t index = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), index);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return index;
}

bool IsConnectError(httplib::Error error) {
  return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

std::chrono::milliseconds RetryAfter(const httplib::Response& response) {
  const auto seconds = ParseNumber(response.get_header_value("Retry-After"));
  return std::chrono::seconds(seconds.value_or(0));
}

struct endpoint_error {
  std::string code;
  std::string message;
};

endpoint_error ParseError(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  endpoint_error error;
  if (json.is_object() && json.contains("error") && json["error"].is_object()) {
    const auto& fields = json["error"];
    if (fields.contains("code") && fields["code"].is_string()) {
      error.code = fields["code"].get<std::string>();
    }
    if (fields.contains("message") && fields["message"].is_string()) {
      error.message = fields["message"].get<std::string>();
    }
  }
  return error;
}

/** Converts the event stream of a generation into events of one attempt. */
class generation_reader {
 public:
  generation_reader(attempt_id attempt,
                    generation_id generation,
                    std::uint32_t from_index,
                    const upstream::event_sink& sink)
      : attempt_(attempt),
        generation_(std::move(generation)),
        next_index_(from_index),
        sink_(sink) {}

  /** @return false if the generation ended or its stream is malformed. */
  bool Feed(std::string_view bytes) {
    events_.clear();
    malformed_ = !parser_.Feed(bytes, events_) || malformed_;
    for (const sse_event& event : events_) {
      if (finished_ || malformed_) {
        break;
      }
      Handle(event);
    }
    return !finished_ && !malformed_;
  }

  bool finished() const { return finished_; }
  bool malformed() const { return malformed_; }

 private:
  void Handle(const sse_event& event) {
    if (event.data == kDoneMarker) {
      finished_ = true;
      sink_(decision::attempt_finished{attempt_, next_index_, finish_reason_});
      return;
    }
    const auto json = nlohmann::json::parse(event.data, nullptr, /*allow_exceptions=*/false);
    if (!json.is_object() || !json.contains("choices") || !json["choices"].is_array() ||
        json["choices"].empty() || !json["choices"][0].is_object()) {
      malformed_ = true;
      return;
    }
    const auto& choice = json["choices"][0];
    const auto reason = choice.find("finish_reason");
    if (reason != choice.end() && reason->is_string()) {
      finish_reason_ = reason->get<std::string>();
    }
    const auto text = choice.find("text");
    if (event.id.empty() || text == choice.end() || !text->is_string()) {
      // An event without a token index is valid only if it carries the finish reason.
      malformed_ = malformed_ || finish_reason_.empty();
      return;
    }
    const std::optional<std::uint32_t> index = ParseNumber(event.id);
    if (!index) {
      malformed_ = true;
      return;
    }
    if (!finish_reason_.empty() && text->get_ref<const std::string&>().empty()) {
      return;
    }
    next_index_ = *index + 1;
    // The request engine checks the generation that the endpoint names, because an endpoint may
    // send the tokens of another request.
    const auto id = json.find("id");
    sink_(decision::token_received{
        attempt_, id != json.end() && id->is_string() ? id->get<std::string>() : generation_,
        *index, text->get<std::string>()});
  }

  attempt_id attempt_;
  generation_id generation_;
  std::uint32_t next_index_;
  const upstream::event_sink& sink_;
  sse_parser parser_;
  std::vector<sse_event> events_;
  std::string finish_reason_;
  bool finished_ = false;
  bool malformed_ = false;
};

}  // namespace

struct upstream::state {
  state(upstream_options upstream_options,
        event_sink event_target,
        const clock& clock_source,
        metrics& counters)
      : options(upstream_options),
        sink(std::move(event_target)),
        time(clock_source),
        connect_failures(counters.Counter("tarragon_upstream_connect_failures_total")),
        read_timeouts(counters.Counter("tarragon_upstream_silences_total")),
        attempts_sent(counters.Counter("tarragon_upstream_attempts_total")),
        threads(upstream_options.max_attempts) {}

  std::shared_ptr<attempt_connection> Register(attempt_id attempt) {
    auto connection = std::make_shared<attempt_connection>();
    std::lock_guard lock(mutex);
    connections[attempt] = connection;
    return connection;
  }

  void Unregister(attempt_id attempt, const std::shared_ptr<attempt_connection>& connection) {
    std::lock_guard lock(mutex);
    const auto found = connections.find(attempt);
    if (found != connections.end() && found->second == connection) {
      connections.erase(found);
    }
  }

  std::shared_ptr<attempt_connection> Find(attempt_id attempt) {
    std::lock_guard lock(mutex);
    const auto found = connections.find(attempt);
    return found == connections.end() ? nullptr : found->second;
  }

  void ReportFailure(attempt_id attempt, run_verdict verdict, decision::failure_cause cause) {
    if (cause == decision::failure_cause::kConnectFailed) {
      connect_failures.Add();
    } else if (cause == decision::failure_cause::kSilent) {
      read_timeouts.Add();
    }
    sink(decision::attempt_failed{attempt, verdict, cause});
  }

  /** Sends one HTTP request and receives its response on a new connection. */
  void SendAndReceive(const std::string& address,
                      const std::shared_ptr<attempt_connection>& connection,
                      httplib::Request& http,
                      std::chrono::milliseconds read_timeout,
                      httplib::Response& response,
                      httplib::Error& error) {
    const auto target = socket_address::Make(address);
    if (!target) {
      error = httplib::Error::Connection;
      return;
    }
    httplib::ClientImpl client(target->ip, target->port);
    client.set_keep_alive(false);
    client.set_follow_location(false);
    client.set_url_encode(false);
    client.set_decompress(false);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(options.connect_timeout);
    client.set_read_timeout(read_timeout);
    client.set_write_timeout(options.write_timeout);
    {
      std::lock_guard lock(connection->mutex);
      connection->client = &client;
    }
    if (!connection->closed) {
      client.send(http, response, error);
    }
    std::lock_guard lock(connection->mutex);
    connection->client = nullptr;
  }

  /** Reports a failure to connect, a read timeout or a lost connection. */
  void ReportConnectionFailure(attempt_id attempt,
                               httplib::Error error,
                               duration since_last_byte,
                               std::chrono::milliseconds read_timeout) {
    if (IsConnectError(error)) {
      ReportFailure(attempt, run_verdict::kNotRun, decision::failure_cause::kConnectFailed);
    } else if (error == httplib::Error::Read &&
               since_last_byte >= read_timeout * kReadTimeoutNumerator / kReadTimeoutDenominator) {
      ReportFailure(attempt, run_verdict::kMayHaveRun, decision::failure_cause::kSilent);
    } else {
      ReportFailure(attempt, run_verdict::kMayHaveRun, decision::failure_cause::kConnectionLost);
    }
  }

  /** Reports a response to a send with a status other than 200. */
  void ReportErrorStatus(attempt_id attempt,
                         const httplib::Response& response,
                         const std::string& body) {
    const endpoint_error error = ParseError(body);
    if (response.status == kHttpTooManyRequests && error.code == "declined") {
      sink(decision::attempt_declined{attempt, RetryAfter(response), false, error.message});
    } else if (response.status == kHttpBadRequest || response.status == kHttpUnprocessable) {
      sink(decision::attempt_declined{attempt, {}, true, error.message});
    } else {
      ReportFailure(attempt, run_verdict::kMayHaveRun, decision::failure_cause::kBadAnswer);
    }
  }

  void RunGeneration(attempt_id attempt,
                     const generation_id& generation,
                     std::uint32_t from_index,
                     bool is_resume,
                     const std::string& address,
                     const std::shared_ptr<attempt_connection>& connection,
                     httplib::Request& http) {
    generation_reader reader(attempt, generation, from_index, sink);
    std::string error_body;
    int status = 0;
    time_point last_byte = time.Now();
    http.response_handler = [&](const httplib::Response& response) {
      last_byte = time.Now();
      status = response.status;
      if (status == kHttpOk && !connection->closed) {
        sink(decision::attempt_accepted{attempt});
      }
      return !connection->closed;
    };
    http.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
      last_byte = time.Now();
      if (connection->closed) {
        return false;
      }
      if (status != kHttpOk) {
        error_body.append(data, size);
        return error_body.size() < kMaxErrorBytes;
      }
      return reader.Feed({data, size});
    };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    SendAndReceive(address, connection, http, options.read_idle_timeout, response, error);
    if (connection->closed || reader.finished()) {
      return;
    }
    if (reader.malformed()) {
      ReportFailure(attempt, run_verdict::kMayHaveRun, decision::failure_cause::kBadAnswer);
    } else if (status == kHttpOk || status == 0) {
      ReportConnectionFailure(attempt, error, time.Now() - last_byte, options.read_idle_timeout);
    } else if (!is_resume) {
      ReportErrorStatus(attempt, response, error_body);
    } else {
      ReportFailure(attempt, run_verdict::kMayHaveRun,
                    status == kHttpNotFound ? decision::failure_cause::kGenerationUnknown
                                            : decision::failure_cause::kBadAnswer);
    }
  }

  void RunServiceCall(attempt_id attempt,
                      const open_request& request,
                      const std::string& address,
                      const std::shared_ptr<attempt_connection>& connection,
                      httplib::Request& http) {
    const auto remaining =
        std::chrono::ceil<std::chrono::milliseconds>(request.properties.deadline - time.Now());
    const auto read_timeout = std::max(remaining, kMinServiceTimeout);
    const time_point start = time.Now();
    std::string body;
    bool too_large = false;
    http.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
      body.append(data, size);
      too_large = body.size() > options.max_response_bytes;
      return !too_large && !connection->closed;
    };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    SendAndReceive(address, connection, http, read_timeout, response, error);
    if (connection->closed) {
      return;
    }
    if (too_large) {
      ReportFailure(attempt, run_verdict::kMayHaveRun, decision::failure_cause::kBadAnswer);
    } else if (error != httplib::Error::Success) {
      ReportConnectionFailure(attempt, error, time.Now() - start, read_timeout);
    } else if (response.status == kHttpTooManyRequests && ParseError(body).code == "declined") {
      ReportErrorStatus(attempt, response, body);
    } else {
      sink(decision::response_received{attempt, response.status,
                                       response.get_header_value("Content-Type"), std::move(body)});
    }
  }

  const upstream_options options;
  const event_sink sink;
  const clock& time;
  counter& connect_failures;
  counter& read_timeouts;
  counter& attempts_sent;
  std::mutex mutex;
  std::unordered_map<attempt_id, std::shared_ptr<attempt_connection>> connections;
  thread_pool threads;
};

upstream::upstream(upstream_options options, event_sink sink, const clock& time, metrics& counters)
    : state_(std::make_unique<state>(options, std::move(sink), time, counters)) {}

upstream::~upstream() {
  Stop();
}

bool upstream::Send(open_request_ptr request,
                    const decision::send_attempt& send,
                    std::string address) {
  auto connection = state_->Register(send.attempt);
  state_->attempts_sent.Add();
  const bool started = state_->threads.TryRun([state = state_.get(), request = std::move(request),
                                               send, address = std::move(address), connection] {
    httplib::Request http;
    http.method = request->call.method;
    http.path = request->call.target;
    if (!request->call.content_type.empty()) {
      http.headers.emplace("Content-Type", request->call.content_type);
    }
    if (request->properties.kind == decision::request_kind::kGeneration) {
      http.headers.emplace("X-Request-Id", send.generation);
      http.body = fmt::format("{},\"priority\":{}}}", request->call.body, send.priority);
      state->RunGeneration(send.attempt, send.generation, 0, /*is_resume=*/false, address,
                           connection, http);
    } else {
      // The service can detect a repeated call by the idempotency key of the caller.
      if (!request->properties.idempotency_key.empty()) {
        http.headers.emplace("Idempotency-Key", request->properties.idempotency_key);
      }
      http.body = request->call.body;
      state->RunServiceCall(send.attempt, *request, address, connection, http);
    }
    state->Unregister(send.attempt, connection);
  });
  if (!started) {
    state_->Unregister(send.attempt, connection);
  }
  return started;
}

bool upstream::Resume(const decision::resume_attempt& resume, std::string address) {
  auto connection = state_->Register(resume.attempt);
  const bool started = state_->threads.TryRun(
      [state = state_.get(), resume, address = std::move(address), connection] {
        httplib::Request http;
        http.method = "GET";
        http.path =
            fmt::format("/v1/generations/{}/events?from={}", resume.generation, resume.from_index);
        state->RunGeneration(resume.attempt, resume.generation, resume.from_index,
                             /*is_resume=*/true, address, connection, http);
        state->Unregister(resume.attempt, connection);
      });
  if (!started) {
    state_->Unregister(resume.attempt, connection);
  }
  return started;
}

bool upstream::Cancel(const decision::cancel_attempt& cancel, std::string address) {
  Close(cancel.attempt);
  return state_->threads.TryRun([state = state_.get(), cancel, address = std::move(address)] {
    bool stopped = false;
    const auto target = socket_address::Make(address);
    if (target && !cancel.generation.empty()) {
      httplib::ClientImpl client(target->ip, target->port);
      client.set_connection_timeout(state->options.connect_timeout);
      client.set_read_timeout(kCancelTimeout);
      client.set_write_timeout(kCancelTimeout);
      const auto result = client.Delete("/v1/generations/" + cancel.generation);
      stopped = result && (result->status / 100 == 2 || result->status == kHttpNotFound);
    }
    state->sink(decision::cancel_observed{cancel.attempt, stopped});
  });
}

void upstream::Close(attempt_id attempt) {
  if (const auto connection = state_->Find(attempt)) {
    connection->Close();
  }
}

void upstream::Stop() {
  std::vector<std::shared_ptr<attempt_connection>> open_connections;
  {
    std::lock_guard lock(state_->mutex);
    for (const auto& [attempt, connection] : state_->connections) {
      open_connections.push_back(connection);
    }
  }
  for (const auto& connection : open_connections) {
    connection->Close();
  }
  state_->threads.Stop();
}

}  // namespace tarragon::net
