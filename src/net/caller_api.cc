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
#include "tarragon/net/answer_writer.h"
#include "tarragon/net/core_thread.h"
#include "tarragon/net/resumption_ticket.h"

namespace tarragon::net {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpMethodNotAllowed = 405;
constexpr int kHttpUnavailable = 503;
constexpr std::chrono::milliseconds kRetryAfter{1000};
// Tokens that wait are written together up to this size.
constexpr std::size_t kWriteBytes = std::size_t{16} << 10;
constexpr std::string_view kKeepAlive = ": keep-alive\n\n";

struct header_target {
  const char* name;
  std::optional<std::string> raw_request::*field;
};

constexpr std::array<header_target, 6> kHeaders = {{
    {"Authorization", &raw_request::authorization},
    {"Idempotency-Key", &raw_request::idempotency_key},
    {"Deadline-Ms", &raw_request::deadline_ms},
    {"Request-Class", &raw_request::request_class},
    {"Last-Event-ID", &raw_request::last_event_id},
    {"Resumption-Ticket", &raw_request::resumption_ticket},
}};

request_result<raw_request> ToRaw(const httplib::Request& request) {
  raw_request raw;
  raw.method = request.method;
  raw.path = request.path;
  raw.target = request.target;
  raw.body = request.body;
  raw.content_type = request.get_header_value("Content-Type");
  for (const header_target& header : kHeaders) {
    const std::size_t count = request.get_header_value_count(header.name);
    if (count > 1) {
      return http_error{.status = kHttpBadRequest,
                        .code = "duplicate_header",
                        .message = std::string(header.name) + ": expected at most once"};
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

void Answer(const http_error& error, httplib::Response& response) {
  response.status = error.status;
  SetVerdict(response, error.verdict);
  if (error.retry_after.count() > 0) {
    response.set_header("Retry-After", RetryAfterSeconds(error.retry_after));
  }
  response.set_content(error.Body(), "application/json");
}

decision::event Arrival(const decision::request_facts& facts, const caller_request& request) {
  if (request.resume) {
    return decision::resume_arrived{facts, request.resume->endpoint, request.resume->generation,
                                    request.resume->next_index};
  }
  return decision::request_arrived{facts};
}

http_error Interrupted() {
  return {.status = kHttpUnavailable,
          .code = "interrupted",
          .message = "the entry stopped before the answer",
          .verdict = run_verdict::kMayHaveRun,
          .retry_after = kRetryAfter};
}

}  // namespace

struct caller_api::state {
  state(caller_api_options api_options,
        core_thread& core_to_use,
        const document::document_replica& holder,
        const clock& source,
        metrics& counters)
      : options(std::move(api_options)),
        core(core_to_use),
        documents(holder),
        time(source),
        registry(counters),
        requests(counters.Counter("tarragon_requests_total")),
        rejected(counters.Counter("tarragon_requests_rejected_total")),
        callers_gone(counters.Counter("tarragon_callers_gone_total")),
        first_message(counters.Latency("tarragon_answer_start_seconds")) {}

  /** One answer in progress. Tells the core when the caller is gone. */
  struct exchange {
    exchange(state& owner, open_request_ptr open, const caller_request& request, time_point arrived)
        : api(owner),
          start(arrived),
          last_token(arrived),
          request(std::move(open)),
          held(request.held),
          writer(request.format, request.model),
          first_token(api.Latency(kFirstTokenMetric, this->request->facts)),
          between_tokens(api.Latency(kBetweenTokensMetric, this->request->facts)) {
      api.open_answers.fetch_add(1);
    }
    ~exchange() {
      if (!finished) {
        request->mailbox.Close();
        api.callers_gone.Add();
        api.core.Post(decision::caller_disconnected{request->facts.request});
      }
      api.open_answers.fetch_sub(1);
    }
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    /** Waits for a message. @return empty if the caller is gone or the core has stopped. */
    std::optional<caller_message> Next() {
      while (!request->mailbox.IsClosed()) {
        if (auto message = request->mailbox.Pop(api.options.keep_alive_interval)) {
          return message;
        }
        if (http_connection::Current().IsPeerGone()) {
          break;
        }
      }
      return std::nullopt;
    }

    std::string Ticket(const endpoint_name& endpoint, const generation_id& generation) const {
      const decision::request_facts& facts = request->facts;
      return resumption_ticket({.request = facts.request,
                                .account = facts.account,
                                .endpoint = endpoint,
                                .generation = generation,
                                .request_class = facts.request_class,
                                .content = facts.content,
                                .issued = api.time.WallNow()})
          .Sign(api.options.ticket_key);
    }

    /** Called as a token is handed to the caller's connection. */
    void RecordToken() {
      if (held) {
        // A held answer comes as one piece, whose gaps of zero would flatter the objective.
        return;
      }
      const time_point now = api.time.Now();
      (has_token ? between_tokens : first_token).Record(now - last_token);
      has_token = true;
      last_token = now;
    }

    void RecordEnd(const decision::finish_request& finish) const {
      const std::string_view outcome = decision::OutcomeOf(finish.reason, finish.verdict, true);
      if (outcome == "whole" || outcome == "refused") {
        api.Latency(outcome == "whole" ? kAnswerMetric : kRefusalMetric, request->facts)
            .Record(api.time.Now() - start);
      }
    }

    /** Appends what a message means for a stream. */
    void Append(const caller_message& message, std::string& out) {
      if (const auto* token = std::get_if<decision::deliver_token>(&message)) {
        if (writer.generation() != token->generation) {
          writer.SetGeneration(token->generation);
        }
        writer.AppendToken(*token, out);
        RecordToken();
      } else if (const auto* start = std::get_if<decision::start_stream>(&message)) {
        writer.SetGeneration(start->generation);
        writer.AppendTicket("resumption-ticket", Ticket(start->endpoint, start->generation), out);
      } else if (const auto* restart = std::get_if<decision::restart_stream>(&message)) {
        writer.SetGeneration(restart->generation);
        writer.AppendTicket("generation-restarted", Ticket(restart->endpoint, restart->generation),
                            out);
      } else if (const auto* finish = std::get_if<decision::finish_request>(&message)) {
        writer.AppendEnd(*finish, out);
        finished = true;
        RecordEnd(*finish);
      }
    }

    /** Writes the next part of a stream. @return false to cut the connection. */
    bool Write(httplib::DataSink& sink) {
      std::string out;
      if (first) {
        Append(*std::exchange(first, std::nullopt), out);
      }
      auto message = out.empty() ? request->mailbox.Pop(api.options.keep_alive_interval)
                                 : request->mailbox.Pop({});
      while (message) {
        Append(*message, out);
        message = finished || out.size() >= kWriteBytes ? std::nullopt : request->mailbox.Pop({});
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
    const time_point start;
    time_point last_token;
    const open_request_ptr request;
    const bool held;
    answer_writer writer;
    latency_histogram& first_token;
    latency_histogram& between_tokens;
    std::optional<caller_message> first;
    bool finished = false;
    bool has_token = false;
  };

  /** @return the series of the request's class and kind. */
  latency_histogram& Latency(std::string_view name, const decision::request_facts& facts) const {
    const bool is_call = facts.kind == decision::request_kind::kServiceCall;
    return registry.Latency(name, decision::ClassLabel(facts.request_class) +
                                      (is_call ? ",kind=\"call\"" : ",kind=\"generation\""));
  }

  void AnswerStream(std::shared_ptr<exchange> one,
                    caller_message first,
                    httplib::Response& response) {
    if (const auto* finish = std::get_if<decision::finish_request>(&first);
        finish != nullptr && finish->reason != decision::finish_reason::kCompleted) {
      one->finished = true;
      one->RecordEnd(*finish);
      Answer(MakeError(*finish), response);
      return;
    }
    if (const auto* start = std::get_if<decision::start_stream>(&first)) {
      one->writer.SetGeneration(start->generation);
      response.set_header("Resumption-Ticket", one->Ticket(start->endpoint, start->generation));
    } else {
      one->first = std::move(first);
    }
    // The final verdict follows in the stream.
    SetVerdict(response, run_verdict::kMayHaveRun);
    response.set_header("Cache-Control", "no-store");
    response.set_chunked_content_provider(
        "text/event-stream",
        [one = std::move(one)](std::size_t, httplib::DataSink& sink) { return one->Write(sink); });
  }

  void AnswerWhole(exchange& one, caller_message first, httplib::Response& response) {
    std::optional<caller_message> message(std::move(first));
    std::optional<decision::deliver_response> result;
    while (message) {
      if (const auto* start = std::get_if<decision::start_stream>(&*message)) {
        one.writer.SetGeneration(start->generation);
      } else if (const auto* restart = std::get_if<decision::restart_stream>(&*message)) {
        one.writer.SetGeneration(restart->generation);
      } else if (const auto* token = std::get_if<decision::deliver_token>(&*message)) {
        one.writer.Collect(*token);
      } else if (auto* whole = std::get_if<decision::deliver_response>(&*message)) {
        result = std::move(*whole);
      } else if (const auto* finish = std::get_if<decision::finish_request>(&*message)) {
        one.finished = true;
        one.RecordEnd(*finish);
        Finish(one, *finish, result, response);
        return;
      }
      message = one.Next();
    }
    Answer(Interrupted(), response);
  }

  static void Finish(const exchange& one,
                     const decision::finish_request& finish,
                     const std::optional<decision::deliver_response>& result,
                     httplib::Response& response) {
    if (result) {
      response.status = result->status;
      SetVerdict(response, finish.verdict);
      response.set_content(result->body, result->content_type);
    } else if (finish.reason != decision::finish_reason::kCompleted ||
               one.request->facts.kind == decision::request_kind::kServiceCall) {
      Answer(MakeError(finish), response);
    } else {
      response.status = kHttpOk;
      SetVerdict(response, finish.verdict);
      response.set_content(one.writer.Whole(finish, one.request->facts.prompt_tokens),
                           "application/json");
    }
  }

  void Serve(const caller_request& request, httplib::Response& response) {
    decision::request_facts facts = request.facts;
    facts.request.value = next_request.fetch_add(1);
    decision::event arrival = Arrival(facts, request);
    const std::size_t bytes =
        request.held || facts.whole_answer ? options.held_mailbox_bytes : options.mailbox_bytes;
    auto open = std::make_shared<open_request>(std::move(facts), request.call, bytes);
    const time_point start = time.Now();
    if (!core.TryOpen(open, std::move(arrival))) {
      rejected.Add();
      registry
          .Counter(kOutcomesMetric, decision::OutcomeLabels(request.facts.request_class, "refused"))
          .Add();
      Latency(kRefusalMetric, request.facts).Record(time.Now() - start);
      Answer({.status = kHttpUnavailable,
              .code = "overloaded",
              .message = "the entry cannot take a request now",
              .retry_after = kRetryAfter},
             response);
      return;
    }
    auto one = std::make_shared<exchange>(*this, std::move(open), request, start);
    auto first = one->Next();
    first_message.Record(time.Now() - start);
    if (!first) {
      http_connection::Current().CloseAfterAnswer();
      Answer(Interrupted(), response);
    } else if (request.stream) {
      AnswerStream(std::move(one), std::move(*first), response);
    } else {
      AnswerWhole(*one, std::move(*first), response);
    }
  }

  void ListModels(const raw_request& raw,
                  const document::operating_document& document,
                  httplib::Response& response) const {
    if (const auto account = Authenticate(raw.authorization, document); !account) {
      Answer(account.error(), response);
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
  counter& callers_gone;
  latency_histogram& first_message;
  std::atomic<std::uint64_t> next_request{1};
  std::atomic<std::size_t> open_answers{0};
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
    Answer(error, response);
  };
  const document::document_ptr document = state_->documents.Current();
  if (!document) {
    return fail({.status = kHttpUnavailable,
                 .code = "no_document",
                 .message = "the entry has no operating document yet",
                 .retry_after = kRetryAfter});
  }
  const auto raw = ToRaw(request);
  if (!raw) {
    return fail(raw.error());
  }
  const bool models = request.path == "/v1/models";
  const bool generation =
      request.path == "/v1/completions" || request.path == "/v1/chat/completions";
  if (!models && !generation && !request.path.starts_with("/services/")) {
    return fail({.status = kHttpNotFound, .code = "not_found", .message = "no such path"});
  }
  if ((generation && request.method != "POST") || (models && request.method != "GET")) {
    return fail({.status = kHttpMethodNotAllowed,
                 .code = "method_not_allowed",
                 .message = "the path does not have this method"});
  }
  if (models) {
    return state_->ListModels(raw.value(), *document, response);
  }
  const auto read =
      ReadCallerRequest(raw.value(), *document, state_->options.limits, state_->options.ticket_key,
                        {.now = state_->time.Now(), .wall = state_->time.WallNow()});
  if (!read) {
    return fail(read.error());
  }
  state_->Serve(read.value(), response);
}

std::size_t caller_api::OpenAnswers() const {
  return state_->open_answers.load();
}

}  // namespace tarragon::net
