#include "load_caller.h"

#include <fmt/format.h>

#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "tarragon/net/sse_parser.h"

// The packaged library is built with OpenSSL support, which changes the layout of its classes.
#ifndef CPPHTTPLIB_OPENSSL_SUPPORT
#define CPPHTTPLIB_OPENSSL_SUPPORT
#endif
#include <httplib.h>

namespace tarragon::load {

namespace {

using steady = std::chrono::steady_clock;

constexpr int kHttpOk = 200;
constexpr std::string_view kNotRunText = "not-run";
constexpr std::string_view kMayHaveRunText = "may-have-run";
constexpr std::string_view kRanText = "ran";

/** Parses and checks one stream, which may span several connections. */
class stream_checker final {
 public:
  stream_checker(call_result& result, steady::time_point due, bool held_back)
      : result_(result), due_(due), held_back_(held_back) {}

  void BeginConnection(const httplib::Response& response) {
    parser_ = net::sse_parser();
    if (response.has_header("Resumption-Ticket")) {
      ticket_ = response.get_header_value("Resumption-Ticket");
    }
  }

  void Feed(std::string_view bytes) {
    std::vector<net::sse_event> events;
    parser_.Feed(bytes, events);
    for (const net::sse_event& event : events) {
      HandleEvent(event);
    }
  }

  bool IsEnded() const { return done_ || !verdict_.empty(); }
  bool IsDone() const { return done_; }
  const std::string& verdict() const { return verdict_; }
  const std::string& error() const { return error_; }
  const std::string& ticket() const { return ticket_; }
  const std::string& last_id() const { return last_id_; }
  std::uint32_t tokens() const { return next_index_; }

 private:
  void HandleEvent(const net::sse_event& event) {
    if (event.data == "[DONE]") {
      done_ = true;
    } else if (event.name == "run-verdict") {
      verdict_ = nlohmann::json::parse(event.data, nullptr, false).value("verdict", "");
    } else if (event.name == "generation-restarted" || event.name == "resumption-ticket") {
      HandleTicket(event);
    } else if (!event.id.empty()) {
      HandleToken(event);
    }
  }

  void HandleTicket(const net::sse_event& event) {
    const auto json = nlohmann::json::parse(event.data, nullptr, false);
    ticket_ = json.value("resumption_ticket", "");
    if (event.name == "generation-restarted") {
      ++result_.restarts;
      generation_ = json.value("generation", "");
      next_index_ = 0;
      last_id_.clear();
    }
  }

  void HandleToken(const net::sse_event& event) {
    const auto now = steady::now();
    const std::size_t colon = event.id.rfind(':');
    const std::string generation = event.id.substr(0, colon);
    if (generation_.empty()) {
      generation_ = generation;
    }
    std::uint32_t index = 0;
    std::from_chars(event.id.data() + colon + 1, event.id.data() + event.id.size(), index);
    if (generation != generation_) {
      SetErrorOnce("tokens of two generations without a restart event");
    } else if (index != next_index_) {
      SetErrorOnce(fmt::format("token index {}, expected {}", index, next_index_));
    }
    const auto json = nlohmann::json::parse(event.data, nullptr, false);
    const std::string expected = fmt::format(" w{}.{}", index, generation.substr(0, 4));
    if (json.is_discarded() || json["choices"][0].value("text", "") != expected) {
      SetErrorOnce("token text does not match its index and generation");
    }
    if (!result_.time_to_first_token) {
      result_.time_to_first_token = now - due_;
    } else if (!held_back_) {
      result_.inter_token_gaps.push_back(now - last_token_);
    }
    last_token_ = now;
    last_id_ = event.id;
    ++next_index_;
  }

  void SetErrorOnce(std::string text) { error_ = error_.empty() ? std::move(text) : error_; }

  call_result& result_;
  const steady::time_point due_;
  const bool held_back_;
  net::sse_parser parser_;
  std::string generation_;
  std::string ticket_;
  std::string last_id_;
  std::string verdict_;
  std::string error_;
  std::uint32_t next_index_ = 0;
  bool done_ = false;
  steady::time_point last_token_{};
};

std::string ErrorCode(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("error")) {
    return "";
  }
  return json["error"].value("code", "");
}

void SetOutcomeByVerdict(std::string_view verdict, call_result& result) {
  if (verdict == kNotRunText) {
    result.outcome = call_outcome::kNotRun;
  } else if (verdict == kMayHaveRunText) {
    result.outcome = call_outcome::kMayHaveRun;
  } else {
    result.outcome = call_outcome::kLost;
  }
}

httplib::Client MakeClient(const std::string& address, std::chrono::milliseconds read_timeout) {
  httplib::Client client("http://" + address);
  client.set_connection_timeout(std::chrono::seconds(2));
  client.set_read_timeout(read_timeout);
  client.set_tcp_nodelay(true);
  return client;
}

/** Reads one connection of a stream. @return true if the stream was interrupted. */
bool ReadConnection(const caller_options& options,
                    const std::string& address,
                    httplib::Request request,
                    const std::atomic<bool>& abandoned,
                    stream_checker& checker,
                    call_result& result) {
  httplib::Client client = MakeClient(address, options.read_timeout);
  std::string refusal;
  request.response_handler = [&](const httplib::Response& response) {
    result.status = response.status;
    checker.BeginConnection(response);
    return true;
  };
  request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
    if (result.status == kHttpOk) {
      checker.Feed({data, size});
    } else {
      refusal.append(data, size);
    }
    return !abandoned;
  };
  const httplib::Result answer = client.send(request);
  if (answer && result.status != kHttpOk) {
    result.detail = ErrorCode(refusal);
    SetOutcomeByVerdict(answer->get_header_value("Run-Verdict"), result);
    return false;
  }
  if (!answer) {
    result.detail = httplib::to_string(answer.error());
  }
  return !checker.IsEnded();
}

void SetOutcome(const stream_checker& checker,
                const planned_request& request,
                call_result& result) {
  if (!checker.error().empty()) {
    result.outcome = call_outcome::kWrong;
    result.detail = checker.error();
  } else if (checker.IsDone()) {
    const bool complete = checker.verdict() == kRanText && checker.tokens() == request.tokens;
    result.outcome = complete ? call_outcome::kOk : call_outcome::kWrong;
    result.detail =
        complete ? ""
                 : fmt::format("{} of {} tokens before [DONE]", checker.tokens(), request.tokens);
  } else if (!checker.verdict().empty()) {
    SetOutcomeByVerdict(checker.verdict(), result);
    result.detail = "stream ended with a verdict before [DONE]";
  }
}

}  // namespace

std::optional<document_names> document_names::Make(const std::string& user) {
  if (user == "lanhai") {
    return document_names{
        .model = "drafter",
        .read_path = "/services/booking-api/slots",
        .unrepeatable_path = "/services/booking-api/bookings/confirm",
        .short_class = "lookup",
        .long_class = "report",
        .accounts = {"taoyuan-blast", "kaohsiung-surface", "taichung-steelworks", "keelung-marine",
                     "hsinchu-coating", "tainan-prep", "pingtung-tanks", "yilan-bridges",
                     "miaoli-fabrication", "chiayi-refit"}};
  }
  if (user == "dobrescu") {
    return document_names{
        .model = "roster-writer",
        .read_path = "/services/roster-app/rosters",
        .unrepeatable_path = "/services/roster-app/callouts/assign",
        .short_class = "leak",
        .long_class = "handover",
        .accounts = {"brasov-gas", "sibiu-gas", "mures-gas", "alba-gas", "covasna-gas",
                     "harghita-gas", "cluj-gas", "bistrita-gas", "salaj-gas", "hunedoara-gas"}};
  }
  return std::nullopt;
}

std::string load_caller::Prompt(const planned_request& request) const {
  return fmt::format("{} {} request {} [len={}]", ToString(request.kind), options_.run,
                     request.number, request.tokens);
}

std::string load_caller::ServicePath(const planned_request& request) const {
  const std::string& path = request.kind == request_kind::kUnrepeatable
                                ? options_.names.unrepeatable_path
                                : options_.names.read_path;
  const std::size_t relative = path.find('/', std::string_view("/services/").size());
  return fmt::format("{}/{}-{}", path.substr(relative), options_.run, request.number);
}

call_result load_caller::Call(const planned_request& planned, steady::time_point due) const {
  call_result result;
  result.request = planned;
  result.start_delay = steady::now() - due;
  const document_names& names = options_.names;
  httplib::Request request;
  request.method = planned.kind == request_kind::kRead ? "GET" : "POST";
  request.set_header("Authorization",
                     "Bearer sample-" + names.accounts[planned.account % names.accounts.size()]);
  if (const auto deadline = options_.deadlines[static_cast<std::size_t>(planned.kind)];
      deadline.count() > 0) {
    request.set_header("Deadline-Ms", std::to_string(deadline.count()));
  }
  const auto entry = [&](std::size_t retry) -> const std::string& {
    return options_.entries[(planned.entry + retry) % options_.entries.size()];
  };
  if (planned.tokens == 0) {
    const bool unrepeatable = planned.kind == request_kind::kUnrepeatable;
    const std::string& prefix = unrepeatable ? names.unrepeatable_path : names.read_path;
    request.path = fmt::format("{}/{}-{}", prefix, options_.run, planned.number);
    if (unrepeatable) {
      request.set_header("Idempotency-Key", fmt::format("{}-{}", options_.run, planned.number));
      request.set_header("Content-Type", "text/plain");
      request.body = "confirm";
    }
    httplib::Client client = MakeClient(entry(0), std::chrono::seconds(30));
    const httplib::Result answer = client.send(request);
    result.total_time = steady::now() - due;
    if (!answer) {
      result.detail = httplib::to_string(answer.error());
      return result;
    }
    result.status = answer->status;
    const std::string verdict = answer->get_header_value("Run-Verdict");
    if (answer->status == kHttpOk && verdict == kRanText) {
      const auto json = nlohmann::json::parse(answer->body, nullptr, false);
      const bool matches = json.is_object() && json.value("path", "") == ServicePath(planned);
      result.outcome = matches ? call_outcome::kOk : call_outcome::kWrong;
      result.detail = matches ? "" : "the answer is for another path";
    } else {
      result.detail = ErrorCode(answer->body);
      SetOutcomeByVerdict(verdict, result);
    }
    return result;
  }
  const bool is_long = planned.kind == request_kind::kLong;
  const std::string& class_name = is_long ? names.long_class : names.short_class;
  request.path = "/v1/completions";
  request.set_header("Request-Class", class_name);
  request.set_header("Content-Type", "application/json");
  request.body =
      nlohmann::json{{"model", names.model}, {"prompt", Prompt(planned)}, {"stream", true}}.dump();
  stream_checker checker(result, due, class_name == "handover" || class_name == "quote");
  bool interrupted = ReadConnection(options_, entry(0), request, abandoned_, checker, result);
  while (interrupted && !abandoned_ && result.resumes < options_.max_resumes &&
         !checker.ticket().empty()) {
    std::this_thread::sleep_for(options_.resume_delay);
    ++result.resumes;
    httplib::Request resume = request;
    resume.set_header("Resumption-Ticket", checker.ticket());
    if (!checker.last_id().empty()) {
      resume.set_header("Last-Event-ID", checker.last_id());
    }
    interrupted = ReadConnection(options_, entry(result.resumes), std::move(resume), abandoned_,
                                 checker, result);
  }
  result.total_time = steady::now() - due;
  result.outcome = interrupted && abandoned_ ? call_outcome::kAbandoned : result.outcome;
  SetOutcome(checker, planned, result);
  return result;
}

std::string_view ToString(call_outcome outcome) {
  switch (outcome) {
    case call_outcome::kOk:
      return "ok";
    case call_outcome::kNotRun:
      return "not_run";
    case call_outcome::kMayHaveRun:
      return "may_have_run";
    case call_outcome::kLost:
      return "lost";
    case call_outcome::kWrong:
      return "wrong";
    case call_outcome::kAbandoned:
      return "abandoned";
  }
  return "unknown";
}

}  // namespace tarragon::load
