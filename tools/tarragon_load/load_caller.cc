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

/** Reads one stream over all its connections. */
class stream_check final {
 public:
  stream_check(call_result& result, steady::time_point due, bool held)
      : result_(result), due_(due), held_(held) {}

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
      Take(event);
    }
  }

  bool IsEnded() const { return done_ || !verdict_.empty(); }
  bool IsDone() const { return done_; }
  const std::string& verdict() const { return verdict_; }
  const std::string& fault() const { return fault_; }
  const std::string& ticket() const { return ticket_; }
  const std::string& last_id() const { return last_id_; }
  std::uint32_t tokens() const { return next_; }

 private:
  void Take(const net::sse_event& event) {
    if (event.data == "[DONE]") {
      done_ = true;
    } else if (event.name == "run-verdict") {
      verdict_ = nlohmann::json::parse(event.data, nullptr, false).value("verdict", "");
    } else if (event.name == "generation-restarted" || event.name == "resumption-ticket") {
      TakeTicket(event);
    } else if (!event.id.empty()) {
      TakeToken(event);
    }
  }

  void TakeTicket(const net::sse_event& event) {
    const auto json = nlohmann::json::parse(event.data, nullptr, false);
    ticket_ = json.value("resumption_ticket", "");
    if (event.name == "generation-restarted") {
      ++result_.restarts;
      generation_ = json.value("generation", "");
      next_ = 0;
      last_id_.clear();
    }
  }

  void TakeToken(const net::sse_event& event) {
    const auto now = steady::now();
    const std::size_t colon = event.id.rfind(':');
    const std::string generation = event.id.substr(0, colon);
    if (generation_.empty()) {
      generation_ = generation;
    }
    std::uint32_t index = 0;
    std::from_chars(event.id.data() + colon + 1, event.id.data() + event.id.size(), index);
    if (generation != generation_) {
      SetFault("tokens of two generations");
    } else if (index != next_) {
      SetFault(fmt::format("token {} where {} was expected", index, next_));
    }
    const auto json = nlohmann::json::parse(event.data, nullptr, false);
    const std::string expected = fmt::format(" w{}.{}", index, generation.substr(0, 4));
    if (json.is_discarded() || json["choices"][0].value("text", "") != expected) {
      SetFault("text of another token");
    }
    if (!result_.first_token) {
      result_.first_token = now - due_;
    } else if (!held_) {
      result_.gaps.push_back(now - last_token_);
    }
    last_token_ = now;
    last_id_ = event.id;
    ++next_;
  }

  void SetFault(std::string text) { fault_ = fault_.empty() ? std::move(text) : fault_; }

  call_result& result_;
  const steady::time_point due_;
  const bool held_;
  net::sse_parser parser_;
  std::string generation_;
  std::string ticket_;
  std::string last_id_;
  std::string verdict_;
  std::string fault_;
  std::uint32_t next_ = 0;
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

void SetByVerdict(std::string_view verdict, call_result& result) {
  if (verdict == kNotRunText) {
    result.end = outcome::kNotRun;
  } else if (verdict == kMayHaveRunText) {
    result.end = outcome::kMayHaveRun;
  } else {
    result.end = outcome::kLost;
  }
}

httplib::Client MakeClient(const std::string& address, std::chrono::milliseconds silence_limit) {
  httplib::Client client("http://" + address);
  client.set_connection_timeout(std::chrono::seconds(2));
  client.set_read_timeout(silence_limit);
  client.set_tcp_nodelay(true);
  return client;
}

/** One connection of a stream. @return false if nothing more is to be done. */
bool ReadStream(const caller_options& options,
                const std::string& address,
                httplib::Request request,
                const std::atomic<bool>& abandoned,
                stream_check& check,
                call_result& result) {
  httplib::Client client = MakeClient(address, options.silence_limit);
  std::string refusal;
  request.response_handler = [&](const httplib::Response& response) {
    result.status = response.status;
    check.BeginConnection(response);
    return true;
  };
  request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
    if (result.status == kHttpOk) {
      check.Feed({data, size});
    } else {
      refusal.append(data, size);
    }
    return !abandoned;
  };
  const httplib::Result answer = client.send(request);
  if (answer && result.status != kHttpOk) {
    result.detail = ErrorCode(refusal);
    SetByVerdict(answer->get_header_value("Run-Verdict"), result);
    return false;
  }
  if (!answer) {
    result.detail = httplib::to_string(answer.error());
  }
  return !check.IsEnded();
}

void Judge(const stream_check& check, const planned_request& request, call_result& result) {
  if (!check.fault().empty()) {
    result.end = outcome::kWrong;
    result.detail = check.fault();
  } else if (check.IsDone()) {
    const bool whole = check.verdict() == kRanText && check.tokens() == request.tokens;
    result.end = whole ? outcome::kOk : outcome::kWrong;
    result.detail = whole ? "" : fmt::format("{} of {} tokens", check.tokens(), request.tokens);
  } else if (!check.verdict().empty()) {
    SetByVerdict(check.verdict(), result);
    result.detail = "ended by the stream's verdict";
  }
}

}  // namespace

std::optional<user_names> user_names::Make(const std::string& user) {
  if (user == "lanhai") {
    return user_names{
        .model = "drafter",
        .read_path = "/services/booking-api/slots",
        .once_path = "/services/booking-api/bookings/confirm",
        .short_class = "lookup",
        .long_class = "report",
        .accounts = {"taoyuan-blast", "kaohsiung-surface", "taichung-steelworks", "keelung-marine",
                     "hsinchu-coating", "tainan-prep", "pingtung-tanks", "yilan-bridges",
                     "miaoli-fabrication", "chiayi-refit"}};
  }
  if (user == "dobrescu") {
    return user_names{
        .model = "roster-writer",
        .read_path = "/services/roster-app/rosters",
        .once_path = "/services/roster-app/callouts/assign",
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
  const std::string& path =
      request.kind == work_kind::kOnce ? options_.names.once_path : options_.names.read_path;
  const std::size_t below = path.find('/', std::string_view("/services/").size());
  return fmt::format("{}/{}-{}", path.substr(below), options_.run, request.number);
}

call_result load_caller::Call(const planned_request& planned, steady::time_point due) const {
  call_result result;
  result.request = planned;
  result.start_delay = steady::now() - due;
  const user_names& names = options_.names;
  httplib::Request request;
  request.method = planned.kind == work_kind::kRead ? "GET" : "POST";
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
    const bool once = planned.kind == work_kind::kOnce;
    const std::string& prefix = once ? names.once_path : names.read_path;
    request.path = fmt::format("{}/{}-{}", prefix, options_.run, planned.number);
    if (once) {
      request.set_header("Idempotency-Key", fmt::format("{}-{}", options_.run, planned.number));
      request.set_header("Content-Type", "text/plain");
      request.body = "confirm";
    }
    httplib::Client client = MakeClient(entry(0), std::chrono::seconds(30));
    const httplib::Result answer = client.send(request);
    result.whole = steady::now() - due;
    if (!answer) {
      result.detail = httplib::to_string(answer.error());
      return result;
    }
    result.status = answer->status;
    const std::string verdict = answer->get_header_value("Run-Verdict");
    if (answer->status == kHttpOk && verdict == kRanText) {
      const auto json = nlohmann::json::parse(answer->body, nullptr, false);
      const bool own = json.is_object() && json.value("path", "") == ServicePath(planned);
      result.end = own ? outcome::kOk : outcome::kWrong;
      result.detail = own ? "" : "answer to another request";
    } else {
      result.detail = ErrorCode(answer->body);
      SetByVerdict(verdict, result);
    }
    return result;
  }
  const bool is_long = planned.kind == work_kind::kLong;
  const std::string& name = is_long ? names.long_class : names.short_class;
  request.path = "/v1/completions";
  request.set_header("Request-Class", name);
  request.set_header("Content-Type", "application/json");
  request.body =
      nlohmann::json{{"model", names.model}, {"prompt", Prompt(planned)}, {"stream", true}}.dump();
  stream_check check(result, due, name == "handover" || name == "quote");
  bool again = ReadStream(options_, entry(0), request, abandoned_, check, result);
  while (again && !abandoned_ && result.resumes < options_.max_resumes && !check.ticket().empty()) {
    std::this_thread::sleep_for(options_.resume_pause);
    ++result.resumes;
    httplib::Request resume = request;
    resume.set_header("Resumption-Ticket", check.ticket());
    if (!check.last_id().empty()) {
      resume.set_header("Last-Event-ID", check.last_id());
    }
    again =
        ReadStream(options_, entry(result.resumes), std::move(resume), abandoned_, check, result);
  }
  result.whole = steady::now() - due;
  result.end = again && abandoned_ ? outcome::kAbandoned : result.end;
  Judge(check, planned, result);
  return result;
}

std::string_view ToString(outcome end) {
  switch (end) {
    case outcome::kOk:
      return "ok";
    case outcome::kNotRun:
      return "not_run";
    case outcome::kMayHaveRun:
      return "may_have_run";
    case outcome::kLost:
      return "lost";
    case outcome::kWrong:
      return "wrong";
    case outcome::kAbandoned:
      return "abandoned";
  }
  return "unknown";
}

}  // namespace tarragon::load
