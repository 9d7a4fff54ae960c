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
// An error answer is read up to this size; the rest cannot change how it is reported.
constexpr std::size_t kMaxErrorBytes = 4096;
// A read that fails after at least this share of the silence time-out was silent, not cut.
constexpr int kSilenceNumerator = 9;
constexpr int kSilenceDenominator = 10;
constexpr std::chrono::milliseconds kCancelTimeout{2000};
// A plain service has until the request's deadline, and at least this long.
constexpr std::chrono::milliseconds kMinServiceTimeout{100};

constexpr std::string_view kDoneMarker = "[DONE]";

/** One open connection. The client pointer is set while the attempt's thread is inside a call. */
struct attempt_link {
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

std::optional<std::uint32_t> ParseIndex(std::string_view text) {
  std::uint32_t index = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), index);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return index;
}

bool HasConnectFailed(httplib::Error error) {
  return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

std::chrono::milliseconds RetryAfter(const httplib::Response& response) {
  const auto seconds = ParseIndex(response.get_header_value("Retry-After"));
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

/** Turns the event stream of a generation into events of one attempt. */
class generation_reader {
 public:
  generation_reader(attempt_id attempt,
                    generation_id generation,
                    std::uint32_t from_index,
                    const upstream::event_sink& sink)
      : attempt_(attempt), generation_(std::move(generation)), next_(from_index), sink_(sink) {}

  /** @return false at the end of the generation or at a fault. */
  bool Feed(std::string_view bytes) {
    events_.clear();
    bad_ = !parser_.Feed(bytes, events_) || bad_;
    for (const sse_event& event : events_) {
      if (finished_ || bad_) {
        break;
      }
      Handle(event);
    }
    return !finished_ && !bad_;
  }

  bool finished() const { return finished_; }
  bool bad() const { return bad_; }

 private:
  void Handle(const sse_event& event) {
    if (event.data == kDoneMarker) {
      finished_ = true;
      sink_(decision::attempt_finished{attempt_, next_, finish_reason_});
      return;
    }
    const auto json = nlohmann::json::parse(event.data, nullptr, /*allow_exceptions=*/false);
    if (!json.is_object() || !json.contains("choices") || !json["choices"].is_array() ||
        json["choices"].empty() || !json["choices"][0].is_object()) {
      bad_ = true;
      return;
    }
    const auto& choice = json["choices"][0];
    const auto reason = choice.find("finish_reason");
    if (reason != choice.end() && reason->is_string()) {
      finish_reason_ = reason->get<std::string>();
    }
    const auto text = choice.find("text");
    if (event.id.empty() || text == choice.end() || !text->is_string()) {
      // An event without an index may only carry the finish reason.
      bad_ = bad_ || finish_reason_.empty();
      return;
    }
    const std::optional<std::uint32_t> index = ParseIndex(event.id);
    if (!index) {
      bad_ = true;
      return;
    }
    if (!finish_reason_.empty() && text->get_ref<const std::string&>().empty()) {
      return;
    }
    next_ = *index + 1;
    // The engine checks the generation that the endpoint names, because answers may be crossed.
    const auto id = json.find("id");
    sink_(decision::token_received{
        attempt_, id != json.end() && id->is_string() ? id->get<std::string>() : generation_,
        *index, text->get<std::string>()});
  }

  attempt_id attempt_;
  generation_id generation_;
  std::uint32_t next_;
  const upstream::event_sink& sink_;
  sse_parser parser_;
  std::vector<sse_event> events_;
  std::string finish_reason_;
  bool finished_ = false;
  bool bad_ = false;
};

}  // namespace

struct upstream::state {
  state(upstream_options upstream_options, event_sink event_target, const clock& source, metrics& m)
      : options(upstream_options),
        sink(std::move(event_target)),
        time(source),
        connect_failures(m.Counter("tarragon_upstream_connect_failures_total")),
        silences(m.Counter("tarragon_upstream_silences_total")),
        opened(m.Counter("tarragon_upstream_attempts_total")),
        threads(upstream_options.max_attempts) {}

  std::shared_ptr<attempt_link> Register(attempt_id attempt) {
    auto link = std::make_shared<attempt_link>();
    std::lock_guard lock(mutex);
    links[attempt] = link;
    return link;
  }

  void Forget(attempt_id attempt, const std::shared_ptr<attempt_link>& link) {
    std::lock_guard lock(mutex);
    const auto found = links.find(attempt);
    if (found != links.end() && found->second == link) {
      links.erase(found);
    }
  }

  std::shared_ptr<attempt_link> Find(attempt_id attempt) {
    std::lock_guard lock(mutex);
    const auto found = links.find(attempt);
    return found == links.end() ? nullptr : found->second;
  }

  void Fail(attempt_id attempt, run_verdict verdict, decision::failure_cause cause) {
    if (cause == decision::failure_cause::kConnectFailed) {
      connect_failures.Add();
    } else if (cause == decision::failure_cause::kSilent) {
      silences.Add();
    }
    sink(decision::attempt_failed{attempt, verdict, cause});
  }

  /** Runs one HTTP exchange on a new connection. */
  void Exchange(const std::string& address,
                const std::shared_ptr<attempt_link>& link,
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
      std::lock_guard lock(link->mutex);
      link->client = &client;
    }
    if (!link->closed) {
      client.send(http, response, error);
    }
    std::lock_guard lock(link->mutex);
    link->client = nullptr;
  }

  /** Reports the end of an exchange that did not end in the way that the protocol names. */
  void ReportBroken(attempt_id attempt,
                    httplib::Error error,
                    duration since_last_byte,
                    std::chrono::milliseconds read_timeout) {
    if (HasConnectFailed(error)) {
      Fail(attempt, run_verdict::kNotRun, decision::failure_cause::kConnectFailed);
    } else if (error == httplib::Error::Read &&
               since_last_byte >= read_timeout * kSilenceNumerator / kSilenceDenominator) {
      Fail(attempt, run_verdict::kMayHaveRun, decision::failure_cause::kSilent);
    } else {
      Fail(attempt, run_verdict::kMayHaveRun, decision::failure_cause::kConnectionLost);
    }
  }

  /** Reports an answer other than 200 to a send. */
  void ReportStatus(attempt_id attempt,
                    const httplib::Response& response,
                    const std::string& body) {
    const endpoint_error error = ParseError(body);
    if (response.status == kHttpTooManyRequests && error.code == "declined") {
      sink(decision::attempt_declined{attempt, RetryAfter(response), false, error.message});
    } else if (response.status == kHttpBadRequest || response.status == kHttpUnprocessable) {
      sink(decision::attempt_declined{attempt, {}, true, error.message});
    } else {
      Fail(attempt, run_verdict::kMayHaveRun, decision::failure_cause::kBadAnswer);
    }
  }

  void RunGeneration(attempt_id attempt,
                     const generation_id& generation,
                     std::uint32_t from_index,
                     bool resumes,
                     const std::string& address,
                     const std::shared_ptr<attempt_link>& link,
                     httplib::Request& http) {
    generation_reader reader(attempt, generation, from_index, sink);
    std::string error_body;
    int status = 0;
    time_point last_byte = time.Now();
    http.response_handler = [&](const httplib::Response& response) {
      last_byte = time.Now();
      status = response.status;
      if (status == kHttpOk && !link->closed) {
        sink(decision::attempt_accepted{attempt});
      }
      return !link->closed;
    };
    http.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
      last_byte = time.Now();
      if (link->closed) {
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
    Exchange(address, link, http, options.silence_timeout, response, error);
    if (link->closed || reader.finished()) {
      return;
    }
    if (reader.bad()) {
      Fail(attempt, run_verdict::kMayHaveRun, decision::failure_cause::kBadAnswer);
    } else if (status == kHttpOk || status == 0) {
      ReportBroken(attempt, error, time.Now() - last_byte, options.silence_timeout);
    } else if (!resumes) {
      ReportStatus(attempt, response, error_body);
    } else {
      Fail(attempt, run_verdict::kMayHaveRun,
           status == kHttpNotFound ? decision::failure_cause::kGenerationUnknown
                                   : decision::failure_cause::kBadAnswer);
    }
  }

  void RunServiceCall(attempt_id attempt,
                      const open_request& request,
                      const std::string& address,
                      const std::shared_ptr<attempt_link>& link,
                      httplib::Request& http) {
    const auto remaining =
        std::chrono::ceil<std::chrono::milliseconds>(request.facts.deadline - time.Now());
    const auto read_timeout = std::max(remaining, kMinServiceTimeout);
    const time_point start = time.Now();
    std::string body;
    bool too_long = false;
    http.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
      body.append(data, size);
      too_long = body.size() > options.max_response_bytes;
      return !too_long && !link->closed;
    };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    Exchange(address, link, http, read_timeout, response, error);
    if (link->closed) {
      return;
    }
    if (too_long) {
      Fail(attempt, run_verdict::kMayHaveRun, decision::failure_cause::kBadAnswer);
    } else if (error != httplib::Error::Success) {
      ReportBroken(attempt, error, time.Now() - start, read_timeout);
    } else if (response.status == kHttpTooManyRequests && ParseError(body).code == "declined") {
      ReportStatus(attempt, response, body);
    } else {
      sink(decision::response_received{attempt, response.status,
                                       response.get_header_value("Content-Type"), std::move(body)});
    }
  }

  const upstream_options options;
  const event_sink sink;
  const clock& time;
  counter& connect_failures;
  counter& silences;
  counter& opened;
  std::mutex mutex;
  std::unordered_map<attempt_id, std::shared_ptr<attempt_link>> links;
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
  auto link = state_->Register(send.attempt);
  state_->opened.Add();
  const bool started = state_->threads.TryRun([state = state_.get(), request = std::move(request),
                                               send, address = std::move(address), link] {
    httplib::Request http;
    http.method = request->call.method;
    http.path = request->call.target;
    if (!request->call.content_type.empty()) {
      http.headers.emplace("Content-Type", request->call.content_type);
    }
    if (request->facts.kind == decision::request_kind::kGeneration) {
      http.headers.emplace("X-Request-Id", send.generation);
      http.body = fmt::format("{},\"priority\":{}}}", request->call.body, send.priority);
      state->RunGeneration(send.attempt, send.generation, 0, /*resumes=*/false, address, link,
                           http);
    } else {
      // The service can recognise a repeated call by the caller's own key.
      if (!request->facts.idempotency_key.empty()) {
        http.headers.emplace("Idempotency-Key", request->facts.idempotency_key);
      }
      http.body = request->call.body;
      state->RunServiceCall(send.attempt, *request, address, link, http);
    }
    state->Forget(send.attempt, link);
  });
  if (!started) {
    state_->Forget(send.attempt, link);
  }
  return started;
}

bool upstream::Resume(const decision::resume_attempt& resume, std::string address) {
  auto link = state_->Register(resume.attempt);
  const bool started =
      state_->threads.TryRun([state = state_.get(), resume, address = std::move(address), link] {
        httplib::Request http;
        http.method = "GET";
        http.path =
            fmt::format("/v1/generations/{}/events?from={}", resume.generation, resume.from_index);
        state->RunGeneration(resume.attempt, resume.generation, resume.from_index, /*resumes=*/true,
                             address, link, http);
        state->Forget(resume.attempt, link);
      });
  if (!started) {
    state_->Forget(resume.attempt, link);
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
  if (const auto link = state_->Find(attempt)) {
    link->Close();
  }
}

void upstream::Stop() {
  std::vector<std::shared_ptr<attempt_link>> open;
  {
    std::lock_guard lock(state_->mutex);
    for (const auto& [attempt, link] : state_->links) {
      open.push_back(link);
    }
  }
  for (const auto& link : open) {
    link->Close();
  }
  state_->threads.Stop();
}

}  // namespace tarragon::net
