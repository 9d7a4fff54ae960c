#include "tarragon/net/caller_api.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include <httplib.h>
#include "net/http_server.h"
#include "tarragon/base/metric_names.h"
#include "tarragon/base/metrics.h"
#include "tarragon/decision/request_outcome.h"
#include "tarragon/document/document_replica.h"
#include "tarragon/net/core_thread.h"
#include "tarragon/net/response_writer.h"
#include "tarragon/net/resumption_ticket.h"

namespace tarragon::net {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpMethodNotAllowed = 405;
constexpr int kHttpUnavailable = 503;
constexpr std::chrono::milliseconds kRetryAfter{1000};
// Queued tokens are combined into one write until it reaches this size.
constexpr std::size_t kMaxWriteBytes = std::size_t{16} << 10;
constexpr std::string_view kKeepAlive = ": keep-alive\n\n";

struct header_binding {
  const char* name;
  std::optional<std::string> raw_request::*field;
};

constexpr std::array<header_binding, 6> kHeaders = {{
    {"Authorization", &raw_request::authorization},
    {"Idempotency-Key", &raw_request::idempotency_key},
    {"Deadline-Ms", &raw_request::deadline_ms},
    {"Request-Class", &raw_request::request_class},
    {"Last-Event-ID", &raw_request::last_event_id},
    {"Resumption-Ticket", &raw_request::resumption_ticket},
}};

request_result<raw_request> ReadRawRequest(const httplib::Request& request) {
  raw_request raw;
  raw.method = request.method;
  raw.path = request.path;
  raw.target = request.target;
  raw.body = request.body;
  raw.content_type = request.get_header_value("Content-Type");
  for (const header_binding& header : kHeaders) {
    const std::size_t count = request.get_header_value_count(header.name);
    if (count > 1) {
      return http_error{.status = kHttpBadRequest,
                        .code = "duplicate_header",
                        .message = std::string(header.name) + ": the header occurs more than once"};
    }
    if (count == 1) {
      raw.*header.field = request.get_header_value(header.name);
    }
  }
  return raw;
}

void SetVerdict(httplib::Response& response, run_verdict verdict) {
  response.set_header("Run-Verdict", std::string(ToString(verdict)));
}

void SetErrorResponse(const http_error& error, httplib::Response& response) {
  response.status = error.status;
  SetVerdict(response, error.verdict);
  if (error.retry_after.count() > 0) {
    response.set_header("Retry-After", RetryAfterSeconds(error.retry_after));
  }
  response.set_content(error.Body(), "application/json");
}

decision::event MakeArrivalEvent(const decision::request_properties& properties,
                                 const caller_request& request) {
  if (request.resume) {
    return decision::resume_arrived{properties, request.resume->endpoint,
                                    request.resume->generation, request.resume->next_index};
  }
  return decision::request_arrived{properties};
}

http_error MakeInterruptedError() {
  return {.status = kHttpUnavailable,
          .code = "interrupted",
          .message = "the entry stopped before the response was complete",
          .verdict = run_verdict::kMayHaveRun,
          .retry_after = kRetryAfter};
}

}  // namespace

struct caller_api::state {
  state(caller_api_options api_options,
        core_thread& core_to_use,
        const document::document_replica& replica,
        const clock& clock_source,
        metrics& counters)
      : options(std::move(api_options)),
        core(core_to_use),
        documents(replica),
        time(clock_source),
        registry(counters),
        requests(counters.Counter("tarragon_requests_total")),
        rejected(counters.Counter("tarragon_requests_rejected_total")),
        disconnected_callers(counters.Counter("tarragon_callers_gone_total")),
        time_to_first_message(counters.Latency("tarragon_answer_start_seconds")) {}

  /** One response in progress. Reports a disconnected caller if destroyed before the end. */
  struct active_response {
    active_response(state& owner,
                    open_request_ptr open,
                    const caller_request& request,
                    time_point arrived)
        : api(owner),
          start_time(arrived),
          last_token_time(arrived),
          request(std::move(open)),
          held_until_complete(request.held_until_complete),
          writer(request.format, request.model),
          time_to_first_token(api.LatencyFor(kFirstTokenMetric, this->request->properties)),
          inter_token_latency(api.LatencyFor(kBetweenTokensMetric, this->request->properties)) {
      api.open_responses.fetch_add(1);
    }
    ~active_response() {
      if (!finished) {
        request->mailbox.Close();
        api.disconnected_callers.Add();
        api.core.Post(decision::caller_disconnected{request->properties.request});
      }
      api.open_responses.fetch_sub(1);
    }
    active_response(const active_response&) = delete;
    active_response& operator=(const active_response&) = delete;

    /** Waits for a message. @return empty if the caller disconnected or the core stopped. */
    std::optional<caller_message> WaitForMessage() {
      while (!request->mailbox.IsClosed()) {
        if (auto message = request->mailbox.Pop(api.options.keep_alive_interval)) {
          return message;
        }
        if (http_connection::Current().HasPeerClosed()) {
          break;
        }
      }
      return std::nullopt;
    }

    std::string SignTicket(const endpoint_name& endpoint, const generation_id& generation) const {
      const decision::request_properties& properties = request->properties;
      return resumption_ticket({.request = properties.request,
                                .account = properties.account,
                                .endpoint = endpoint,
                                .generation = generation,
                                .request_class = properties.request_class,
                                .request_fingerprint = properties.request_fingerprint,
                                .issued = api.time.WallNow()})
          .Sign(api.options.ticket_key);
    }

    /** Records the time to first token or the inter-token latency of the token being sent. */
    void RecordTokenLatency() {
      if (held_until_complete) {
        // A held answer is sent in one burst, whose inter-token latencies of zero would distort
        // the latency objective.
        return;
      }
      const time_point now = api.time.Now();
      (has_sent_token ? inter_token_latency : time_to_first_token).Record(now - last_token_time);
      has_sent_token = true;
      last_token_time = now;
    }

    void RecordResponseLatency(const decision::finish_request& finish) const {
      const std::string_view outcome =
          decision::ClassifyOutcome(finish.reason, finish.verdict, true);
      if (outcome == "whole" || outcome == "refused") {
        api.LatencyFor(outcome == "whole" ? kAnswerMetric : kRefusalMetric, request->properties)
            .Record(api.time.Now() - start_time);
      }
    }

    /** Appends the stream events of one message. */
    void AppendMessage(const caller_message& message, std::string& out) {
      if (const auto* token = std::get_if<decision::deliver_token>(&message)) {
        if (writer.generation() != token->generation) {
          writer.SetGeneration(token->generation);
        }
        writer.AppendToken(*token, out);
        RecordTokenLatency();
      } else if (const auto* start = std::get_if<decision::start_stream>(&message)) {
        writer.SetGeneration(start->generation);
        writer.AppendTicket("resumption-ticket", SignTicket(start->endpoint, start->generation),
                            out);
      } else if (const auto* restart = std::get_if<decision::restart_stream>(&message)) {
        writer.SetGeneration(restart->generation);
        writer.AppendTicket("generation-restarted",
                            SignTicket(restart->endpoint, restart->generation), out);
      } else if (const auto* finish = std::get_if<decision::finish_request>(&message)) {
        writer.AppendEnd(*finish, out);
        finished = true;
        RecordResponseLatency(*finish);
      }
    }

    /** Writes the next part of a stream. @return false to close the connection. */
    bool WriteNextPart(httplib::DataSink& sink) {
      std::string out;
      if (first_message) {
        AppendMessage(*std::exchange(first_message, std::nullopt), out);
      }
      auto message = out.empty() ? request->mailbox.Pop(api.options.keep_alive_interval)
                                 : request->mailbox.Pop({});
      while (message) {
        AppendMessage(*message, out);
        message =
            finished || out.size() >= kMaxWriteBytes ? std::nullopt : request->mailbox.Pop({});
      }
      if (out.empty()) {
        if (request->mailbox.IsClosed()) {
          return false;
        }
        out = kKeepAlive;
      }
      if (!sink.write(out.data(), out.size())) {
        return false;
      }
      if (finished) {
        sink.done();
      }
      return true;
    }

    state& api;
    const time_point start_time;
    time_point last_token_time;
    const open_request_ptr request;
    const bool held_until_complete;
    response_writer writer;
    latency_histogram& time_to_first_token;
    latency_histogram& inter_token_latency;
    std::optional<caller_message> first_message;
    bool finished = false;
    bool has_sent_token = false;
  };

  /** @return the histogram labeled with the class and kind of the request. */
  latency_histogram& LatencyFor(std::string_view name,
                                const decision::request_properties& properties) const {
    const bool is_call = properties.kind == decision::request_kind::kServiceCall;
    return registry.Latency(name, decision::ClassLabel(properties.request_class) +
                                      (is_call ? ",kind=\"call\"" : ",kind=\"generation\""));
  }

  void RespondWithStream(std::shared_ptr<active_response> active,
                         caller_message first_message,
                         httplib::Response& response) {
    if (const auto* finish = std::get_if<decision::finish_request>(&first_message);
        finish != nullptr && finish->reason != decision::finish_reason::kCompleted) {
      active->finished = true;
      active->RecordResponseLatency(*finish);
      SetErrorResponse(MakeError(*finish), response);
      return;
    }
    if (const auto* start = std::get_if<decision::start_stream>(&first_message)) {
      active->writer.SetGeneration(start->generation);
      response.set_header("Resumption-Ticket",
                          active->SignTicket(start->endpoint, start->generation));
    } else {
      active->first_message = std::move(first_message);
    }
    // The `run-verdict` event at the end of the stream carries the final verdict.
    SetVerdict(response, run_verdict::kMayHaveRun);
    response.set_header("Cache-Control", "no-store");
    response.set_chunked_content_provider(
        "text/event-stream", [active = std::move(active)](std::size_t, httplib::DataSink& sink) {
          return active->WriteNextPart(sink);
        });
  }

  void RespondWithBody(active_response& active,
                       caller_message first_message,
                       httplib::Response& response) {
    std::optional<caller_message> message(std::move(first_message));
    std::optional<decision::deliver_response> result;
    while (message) {
      if (const auto* start = std::get_if<decision::start_stream>(&*message)) {
        active.writer.SetGeneration(start->generation);
      } else if (const auto* restart = std::get_if<decision::restart_stream>(&*message)) {
        active.writer.SetGeneration(restart->generation);
      } else if (const auto* token = std::get_if<decision::deliver_token>(&*message)) {
        active.writer.CollectToken(*token);
      } else if (auto* service_response = std::get_if<decision::deliver_response>(&*message)) {
        result = std::move(*service_response);
      } else if (const auto* finish = std::get_if<decision::finish_request>(&*message)) {
        active.finished = true;
        active.RecordResponseLatency(*finish);
        SetFinalResponse(active, *finish, result, response);
        return;
      }
      message = active.WaitForMessage();
    }
    SetErrorResponse(MakeInterruptedError(), response);
  }

  static void SetFinalResponse(const active_response& active,
                               const decision::finish_request& finish,
                               const std::optional<decision::deliver_response>& result,
                               httplib::Response& response) {
    if (result) {
      response.status = result->status;
      SetVerdict(response, finish.verdict);
      response.set_content(result->body, result->content_type);
    } else if (finish.reason != decision::finish_reason::kCompleted ||
               active.request->properties.kind == decision::request_kind::kServiceCall) {
      SetErrorResponse(MakeError(finish), response);
    } else {
      response.status = kHttpOk;
      SetVerdict(response, finish.verdict);
      response.set_content(
          active.writer.BuildBody(finish, active.request->properties.prompt_tokens),
          "application/json");
    }
  }

  void ServeRequest(const caller_request& request, httplib::Response& response) {
    decision::request_properties properties = request.properties;
    properties.request.value = next_request_id.fetch_add(1);
    decision::event arrival = MakeArrivalEvent(properties, request);
    const std::size_t max_bytes = request.held_until_complete || properties.buffered_response
                                      ? options.burst_mailbox_bytes
                                      : options.mailbox_bytes;
    auto open = std::make_shared<open_request>(std::move(properties), request.call, max_bytes);
    const time_point start_time = time.Now();
    if (!core.TryOpen(open, std::move(arrival))) {
      rejected.Add();
      registry
          .Counter(kOutcomesMetric,
                   decision::OutcomeLabels(request.properties.request_class, "refused"))
          .Add();
      LatencyFor(kRefusalMetric, request.properties).Record(time.Now() - start_time);
      SetErrorResponse({.status = kHttpUnavailable,
                        .code = "overloaded",
                        .message = "the request queue of the entry is full",
                        .retry_after = kRetryAfter},
                       response);
      return;
    }
    auto active = std::make_shared<active_response>(*this, std::move(open), request, start_time);
    auto first_message = active->WaitForMessage();
    time_to_first_message.Record(time.Now() - start_time);
    if (!first_message) {
      http_connection::Current().CloseAfterResponse();
      SetErrorResponse(MakeInterruptedError(), response);
    } else if (request.stream) {
      RespondWithStream(std::move(active), std::move(*first_message), response);
    } else {
      RespondWithBody(*active, std::move(*first_message), response);
    }
  }

  void ListModels(const raw_request& raw,
                  const document::operating_document& document,
                  httplib::Response& response) const {
    if (const auto account = Authenticate(raw.authorization, document); !account) {
      SetErrorResponse(account.error(), response);
      return;
    }
    nlohmann::json list = nlohmann::json::array();
    for (const document::model_settings& model : document.contents().models) {
      list.push_back({{"id", model.name}, {"object", "model"}, {"owned_by", "tarragon"}});
    }
    SetVerdict(response, run_verdict::kNotRun);
    response.set_content(nlohmann::json{{"object", "list"}, {"data", list}}.dump(),
                         "application/json");
  }

  const caller_api_options options;
  core_thread& core;
  const document::document_replica& documents;
  const clock& time;
  metrics& registry;
  counter& requests;
  counter& rejected;
  counter& disconnected_callers;
  latency_histogram& time_to_first_message;
  std::atomic<std::uint64_t> next_request_id{1};
  std::atomic<std::size_t> open_responses{0};
};

caller_api::caller_api(caller_api_options options,
                       core_thread& core,
                       const document::document_replica& documents,
                       const clock& time,
                       metrics& counters)
    : state_(std::make_unique<state>(std::move(options), core, documents, time, counters)) {}

caller_api::~caller_api() = default;

void caller_api::Handle(const httplib::Request& request, httplib::Response& response) {
  state_->requests.Add();
  const auto fail = [&](const http_error& error) {
    state_->rejected.Add();
    SetErrorResponse(error, response);
  };
  const document::document_ptr document = state_->documents.Current();
  if (!document) {
    return fail({.status = kHttpUnavailable,
                 .code = "no_document",
                 .message = "the entry has no operating document yet",
                 .retry_after = kRetryAfter});
  }
  const auto raw = ReadRawRequest(request);
  if (!raw) {
    return fail(raw.error());
  }
  const bool is_model_list = request.path == "/v1/models";
  const bool is_generation =
      request.path == "/v1/completions" || request.path == "/v1/chat/completions";
  if (!is_model_list && !is_generation && !request.path.starts_with("/services/")) {
    return fail(
        {.status = kHttpNotFound, .code = "not_found", .message = "the path does not exist"});
  }
  if ((is_generation && request.method != "POST") || (is_model_list && request.method != "GET")) {
    return fail({.status = kHttpMethodNotAllowed,
                 .code = "method_not_allowed",
                 .message = "the path does not support this method"});
  }
  if (is_model_list) {
    return state_->ListModels(raw.value(), *document, response);
  }
  const auto read =
      ReadCallerRequest(raw.value(), *document, state_->options.limits, state_->options.ticket_key,
                        {.now = state_->time.Now(), .wall = state_->time.WallNow()});
  if (!read) {
    return fail(read.error());
  }
  state_->ServeRequest(read.value(), response);
}

std::size_t caller_api::OpenResponses() const {
  return state_->open_responses.load();
}

}  // namespace tarragon::net
