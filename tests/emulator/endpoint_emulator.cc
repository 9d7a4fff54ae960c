#include "emulator/endpoint_emulator.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace tarragon::emulator {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusMisdirected = 421;
constexpr int kStatusServerError = 500;
constexpr int kStatusUnavailable = 503;

std::uint64_t ParseNumberOrZero(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

endpoint_emulator::endpoint_emulator(asio::io_context& loop,
                                     endpoint_options options,
                                     execution_record& record,
                                     directory& engines)
    : loop_(loop),
      options_(std::move(options)),
      record_(record),
      engines_(engines),
      random_(options_.seed),
      timer_(loop),
      service_(loop,
               [this](const auto& request, const auto& response) { Handle(request, response); }) {
  engines_[address()] = this;
  ProduceEvents();
}

endpoint_emulator::~endpoint_emulator() {
  std::erase_if(engines_, [this](const auto& known) { return known.second == this; });
}

void endpoint_emulator::AddEntrance() {
  entrances_.push_back(std::make_unique<http_service>(
      loop_, [this](const auto& request, const auto& response) { Handle(request, response); }));
  engines_[entrances_.back()->address()] = this;
}

void endpoint_emulator::SetEntranceOpen(std::size_t entrance, bool is_open) {
  if (is_open) {
    entrances_.at(entrance)->Resume();
  } else {
    entrances_.at(entrance)->Suspend();
  }
}

bool endpoint_emulator::ChooseWithProbability(double probability) {
  return std::bernoulli_distribution(probability)(random_);
}

std::vector<http::header> endpoint_emulator::ResponseHeaders(const std::string& request) const {
  constexpr double kPercent = 100;
  std::vector<http::header> headers = {
      {"Attempt-Id", request},
      {"Response-Signature", options_.id},
      {"Server-Load", fmt::format("{},{},{},{:.0f}", std::min(running_.size(), options_.slots),
                                  running_.size() - std::min(running_.size(), options_.slots),
                                  options_.slots, kPercent * options_.reported_slowdown)}};
  if (rate_limit_) {
    headers.push_back({"Server-Limit", fmt::format("{:.3f}", *rate_limit_)});
  }
  if (says_leaving_) {
    headers.push_back({"Server-Leaving", "1"});
  }
  return headers;
}

void endpoint_emulator::Reincarnate(const std::string& id) {
  says_leaving_ = false;
  options_.id = id;
}

void endpoint_emulator::Decline(const incoming_request& request,
                                const responder_ptr& response,
                                int status) const {
  std::vector<http::header> headers = {{"Attempt-Id", request.Header("Attempt-Id")},
                                       {"Not-Executed", "1"}};
  if (says_leaving_) {
    headers.push_back({"Server-Leaving", "1"});
  }
  if (pause_ && status == kStatusUnavailable) {
    headers.push_back({"Retry-After", fmt::format("{:.3f}", pause_->count() / 1000.0)});
    record_.RecordPause(options_.id, request.Header("Attempt-Id"), *pause_);
  }
  response->SendWhole(status, headers, "");
}

void endpoint_emulator::Handle(const incoming_request& request, const responder_ptr& response) {
  const std::string path = request.Path();
  constexpr std::string_view kKvHandlePrefix = "/tarragondyke/kv-handle/";
  if (path == "/tarragondyke/kv-move") {
    CopyKvCache(request, response);
  } else if (path.starts_with(kKvHandlePrefix)) {
    std::ranges::for_each(engines_, [&](const auto& entry) {
      entry.second->kv_copies_.erase(path.substr(kKvHandlePrefix.size()));
    });
    response->SendWhole(kStatusOk, {}, "{}");
  } else if (request.Header("Expect-Instance") != options_.id) {
    Decline(request, response, kStatusMisdirected);
  } else {
    HandleRequest(request, response);
  }
}

void endpoint_emulator::HandleRequest(const incoming_request& request,
                                      const responder_ptr& response) {
  record_.RecordArrival(options_.id, request.Header("Attempt-Id"));
  if (pause_ || ChooseWithProbability(options_.faults.declined)) {
    Decline(request, response, kStatusUnavailable);
  } else if (request.Path().starts_with("/stream")) {
    HandleGeneration(request, response);
  } else {
    HandleCall(request, response);
  }
}

void endpoint_emulator::FallSilent(std::chrono::milliseconds time) {
  silent_until_ = std::chrono::steady_clock::now() + time;
}

void endpoint_emulator::HandleCall(const incoming_request& request, const responder_ptr& response) {
  record_.RecordStart(request.Header("Attempt-Id"), options_.id, /*continued=*/false);
  AnswerCallAfter(options_.call_duration, request, response);
}

void endpoint_emulator::AnswerCallAfter(std::chrono::milliseconds delay,
                                        const incoming_request& request,
                                        const responder_ptr& response) {
  auto timer = std::make_shared<asio::steady_timer>(loop_, delay);
  timer->async_wait([this, timer, request, response](const asio::error_code&) {
    if (is_silent()) {
      AnswerCallAfter(options_.call_duration, request, response);
      return;
    }
    const std::string id = request.Header("Attempt-Id");
    const std::string extra(ParseNumberOrZero(request.Header("Extra-Bytes")), 'x');
    record_.RecordEnd(id, options_.id);
    if (ChooseWithProbability(options_.faults.lost_responses)) {
      response->Reset();
      return;
    }
    const int status =
        ChooseWithProbability(options_.faults.errors) ? kStatusServerError : kStatusOk;
    response->SendWhole(status, ResponseHeaders(id),
                        fmt::format("{} {}{}", id, request.Path(), extra));
  });
}

void endpoint_emulator::HandleGeneration(const incoming_request& request,
                                         const responder_ptr& response) {
  generation added;
  added.request = request.Header("Attempt-Id");
  added.events_total = ParseNumberOrZero(request.Header("Event-Count"));
  added.events_made = ParseNumberOrZero(request.Header("Last-Event-Id"));
  added.backup_address = request.Header("Kv-Backup");
  added.response = response;
  added.is_crashing =
      !options_.crashing_part.empty() &&
      request.Header("Prompt-Prefix").find(options_.crashing_part) != std::string::npos;
  const std::string copy = request.Header("Kv-From");
  if (!copy.empty() && kv_copies_.erase(copy.substr(copy.find('/') + 1)) == 0) {
    Decline(request, response, kStatusUnavailable);
    return;
  }
  record_.RecordStart(added.request, options_.id, !copy.empty() || added.events_made > 0);
  response->on_closed = [this, id = added.request] {
    const auto closed = std::ranges::find(running_, id, &generation::request);
    if (closed != running_.end()) {
      RecordRunEnd(*closed);
      running_.erase(closed);
    }
  };
  running_.push_back(std::move(added));
}

void endpoint_emulator::RecordRunEnd(const generation& run) {
  record_.RecordEnd(run.request, options_.id);
}

void endpoint_emulator::ProduceEvents() {
  std::size_t slots = is_silent() ? 0 : options_.slots;
  running_.remove_if([this, &slots](generation& run) {
    if (slots == 0) {
      return false;
    }
    --slots;
    if (!std::exchange(run.head_sent, true)) {
      run.response->BeginStream(ResponseHeaders(run.request), !options_.has_unframed_streams);
      if (run.is_crashing) {
        CrashSoon();
      }
    }
    if (run.is_crashing) {
      return false;
    }
    // A stream may have broken off between its last event and its end.
    if (run.events_made < run.events_total) {
      ++run.events_made;
      run.response->SendChunk(fmt::format("id: {}\ndata: {} {} {}\n\n", run.events_made,
                                          run.request, run.events_made, options_.software_version));
    }
    if (const auto backup = engines_.find(run.backup_address); backup != engines_.end()) {
      backup->second->kv_copies_[run.request] = run.events_made;
    }
    if (run.events_made < run.events_total) {
      return false;
    }
    RecordRunEnd(run);
    run.response->EndStream();
    return true;
  });
  timer_.expires_after(options_.event_interval);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      ProduceEvents();
    }
  });
}

void endpoint_emulator::CrashSoon() {
  constexpr std::chrono::milliseconds kDelay{30};
  auto timer = std::make_shared<asio::steady_timer>(loop_, kDelay);
  timer->async_wait([this, timer](const asio::error_code&) {
    if (on_crash) {
      // Moved, because the listener may destroy what it is called from.
      std::exchange(on_crash, nullptr)();
    }
  });
}

void endpoint_emulator::CopyKvCache(const incoming_request& request,
                                    const responder_ptr& response) {
  const nlohmann::json call = nlohmann::json::parse(request.body, nullptr, false);
  const auto run = std::ranges::find(running_, std::string(call["id"]), &generation::request);
  if (run == running_.end()) {
    response->SendWhole(kStatusNotFound, {}, "{}");
    return;
  }
  const auto target = engines_.find(call["to"]);
  if (target == engines_.end()) {
    response->SendWhole(kStatusUnavailable, {}, "{}");
    return;
  }
  const std::string handle = run->request + "-copy";
  target->second->kv_copies_[handle] = run->events_made;
  response->SendWhole(kStatusOk, {},
                      nlohmann::json{{"handle", handle}, {"create-rev", run->events_made}}.dump());
}

void endpoint_emulator::Crash() {
  for (const generation& run : std::exchange(running_, {})) {
    run.response->on_closed = nullptr;
    RecordRunEnd(run);
  }
  kv_copies_.clear();
  engines_.erase(address());
  service_.Close();
  std::ranges::for_each(entrances_, [](const auto& entrance) { entrance->Close(); });
}

}  // namespace tarragon::emulator
