#include "emulator/caller.h"

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace tarragon::emulator {

namespace {

constexpr int kStatusOk = 200;
/** Prompt and maximum output in tokens; those of a report are long enough for a backup. */
constexpr std::uint64_t kReportPrompt = 3000;
constexpr std::uint64_t kReportOutput = 2000;
constexpr std::uint64_t kTagPrompt = 800;
constexpr std::uint64_t kTagOutput = 50;

}  // namespace

caller::caller(asio::io_context& loop, std::string id, call_kind kind, std::uint64_t events)
    : loop_(loop), id_(std::move(id)), kind_(kind), events_(events) {}

std::string caller::Path() const {
  switch (kind_) {
    case call_kind::kRead:
      return "/read/1";
    case call_kind::kCommit:
      return "/commit/1";
    case call_kind::kReport:
      return "/stream-report/1";
    case call_kind::kTag:
      return "/stream-tag/1";
  }
  return "/";
}

std::string caller::RequestText() const {
  std::string request = fmt::format(
      "{} {} HTTP/1.1\r\nHost: fleet.example\r\nAttempt-Id: {}\r\nAuthorization: Token key\r\n"
      "Deadline-Ms: {}\r\n",
      kind_ == call_kind::kRead ? "GET" : "POST", Path(), id_, deadline_.count());
  if (is_stream()) {
    request += fmt::format("Event-Count: {}\r\n", events_);
  }
  if (is_stream() && states_size_) {
    const bool is_report = kind_ == call_kind::kReport;
    const std::uint64_t usual_output = is_report ? kReportOutput : kTagOutput;
    request += fmt::format("Token-Usage: {},{}\r\n", is_report ? kReportPrompt : kTagPrompt,
                           max_output_ > 0 ? max_output_ : usual_output);
  }
  if (!resumed_id_.empty()) {
    request += fmt::format("Last-Event-Id: {}\r\nResumes: {}\r\n", resumed_after_, resumed_id_);
  }
  if (extra_bytes_ > 0) {
    request += fmt::format("Extra-Bytes: {}\r\n", extra_bytes_);
  }
  if (!prompt_parts_.empty()) {
    request += fmt::format("Prompt-Prefix: {}\r\n", prompt_parts_);
  }
  if (is_stream()) {
    // No two generations are alike.
    request += fmt::format("Content-Length: {}\r\n\r\n{}", id_.size(), id_);
  } else {
    request += "\r\n";
  }
  return request;
}

void caller::Send(const std::string& address) {
  exchange_ = std::make_shared<gateway::http_exchange>(loop_, *this);
  exchange_->Start(address, RequestText(), /*no_response_body=*/false);
}

void caller::Disconnect() {
  disconnected_ = is_done_ = true;
  exchange_->Cancel();
}

void caller::OnResponseHead(http::message_head head) {
  status_ = head.status;
  const auto value_of = [&head](std::string_view name) {
    return std::string(head.headers.Find(name).value_or(""));
  };
  has_signature_ = head.headers.Find("Response-Signature").has_value();
  endpoint_ = value_of("Response-Signature");
  heard_leaving_ = !value_of("Server-Leaving").empty();
  retry_after_ = value_of("Retry-After");
}

void caller::OnResponseBody(std::string_view bytes) {
  body_.append(bytes);
}

void caller::OnResponseEnd() {
  is_complete_ = is_done_ = true;
  if (exchange_) {
    exchange_->Cancel();
  }
}

void caller::OnExchangeError(gateway::exchange_error) {
  is_done_ = true;
}

void caller::TakeUp(const caller& broken) {
  TakeUp(broken.resumed_id_.empty() ? broken.id_ : broken.resumed_id_, broken.last_event(),
         broken.software_version());
}

void caller::TakeUp(std::string id, std::uint64_t last_event, std::string version) {
  resumed_id_ = std::move(id);
  resumed_after_ = last_event;
  resumed_version_ = std::move(version);
}

std::uint64_t caller::last_event() const {
  constexpr std::string_view kIdField = "id: ";
  const std::size_t end = body_.rfind("\n\n");
  const std::size_t last = end == std::string::npos ? end : body_.rfind(kIdField, end);
  return last == std::string::npos ? resumed_after_
                                   : std::stoull(body_.substr(last + kIdField.size()));
}

std::string caller::software_version() const {
  if (!resumed_version_.empty()) {
    return resumed_version_;
  }
  const std::size_t end = body_.find("\n\n");
  if (end == std::string::npos) {
    return {};
  }
  const std::size_t start = body_.rfind(' ', end);
  return body_.substr(start + 1, end - start - 1);
}

std::string caller::ExpectedEvents() const {
  std::string text;
  for (std::uint64_t event = resumed_after_ + 1; event <= events_; ++event) {
    text += fmt::format("id: {}\ndata: {} {} {}\n\n", event, id_, event, software_version());
  }
  return text;
}

std::string caller::FindViolation() const {
  if (status_ != kStatusOk) {
    return {};
  }
  if (!has_signature_) {
    return "status 200 without the signature of an endpoint";
  }
  const std::string expected =
      is_stream() ? ExpectedEvents()
                  : fmt::format("{} {}{}", id_, Path(), std::string(extra_bytes_, 'x'));
  if (is_complete_ && body_ != expected) {
    return fmt::format("the complete response differs from the expected one: {} bytes, expected {}",
                       body_.size(), expected.size());
  }
  return expected.starts_with(body_)
             ? ""
             : "the response contains bytes that no endpoint sent for this request";
}

}  // namespace tarragon::emulator
