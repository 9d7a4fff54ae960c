#include "emulator/endpoint_emulator.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace tarragon::emulator {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kMisdirected = 421;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

std::uint64_t ToNumber(const std::string& text) {
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
      service_(loop, [this](const auto& request, const auto& answer) { Handle(request, answer); }) {
  engines_[address()] = this;
  Step();
}

endpoint_emulator::~endpoint_emulator() {
  engines_.erase(address());
}

bool endpoint_emulator::Draw(double share) {
  return std::bernoulli_distribution(share)(random_);
}

std::vector<http::header> endpoint_emulator::AnswerHeaders(const std::string& request) const {
  constexpr double kPercent = 100;
  return {{"Attempt-Id", request},
          {"Response-Signature", options_.id},
          {"Server-Load",
           fmt::format("{},0,24,{:.0f}", running_.size(), kPercent * options_.slowness)}};
}

void endpoint_emulator::Decline(const incoming_request& request,
                                const responder_ptr& answer,
                                int status) const {
  answer->Whole(status, {{"Attempt-Id", request.Header("Attempt-Id")}, {"Not-Executed", "1"}}, "");
}

void endpoint_emulator::Handle(const incoming_request& request, const responder_ptr& answer) {
  const std::string path = request.Path();
  constexpr std::string_view kHandles = "/tarragondyke/kv-handle/";
  if (path == "/tarragondyke/kv-move") {
    CopyMemory(request, answer);
  } else if (path.starts_with(kHandles)) {
    std::ranges::for_each(engines_, [&](const auto& entry) {
      entry.second->copies_.erase(path.substr(kHandles.size()));
    });
    answer->Whole(kOk, {}, "{}");
  } else if (request.Header("Expect-Instance") != options_.id) {
    Decline(request, answer, kMisdirected);
  } else if (Draw(options_.faults.declined)) {
    Decline(request, answer, kUnavailable);
  } else if (path.starts_with("/stream")) {
    StartGeneration(request, answer);
  } else {
    StartCall(request, answer);
  }
}

void endpoint_emulator::StartCall(const incoming_request& request, const responder_ptr& answer) {
  const std::string id = request.Header("Attempt-Id");
  record_.Began(id, options_.id, /*continued=*/false);
  auto timer = std::make_shared<asio::steady_timer>(loop_, options_.start);
  timer->async_wait([this, timer, id, path = request.Path(), answer](const asio::error_code&) {
    record_.Ended(id, options_.id);
    if (Draw(options_.faults.lost_answers)) {
      answer->Reset();
      return;
    }
    const int status = Draw(options_.faults.errors) ? kServerError : kOk;
    answer->Whole(status, AnswerHeaders(id), fmt::format("{} {}", id, path));
  });
}

void endpoint_emulator::StartGeneration(const incoming_request& request,
                                        const responder_ptr& answer) {
  generation added;
  added.request = request.Header("Attempt-Id");
  added.events_total = ToNumber(request.Header("Event-Count"));
  added.events_made = ToNumber(request.Header("Last-Event-Id"));
  added.backup_address = request.Header("Kv-Backup");
  added.answer = answer;
  const std::string copy = request.Header("Kv-From");
  if (!copy.empty() && copies_.erase(copy.substr(copy.find('/') + 1)) == 0) {
    Decline(request, answer, kUnavailable);
    return;
  }
  record_.Began(added.request, options_.id, !copy.empty() || added.events_made > 0);
  answer->on_closed = [this, id = added.request] {
    const auto gone = std::ranges::find(running_, id, &generation::request);
    if (gone != running_.end()) {
      End(*gone);
      running_.erase(gone);
    }
  };
  running_.push_back(std::move(added));
}

void endpoint_emulator::End(const generation& which) {
  record_.Ended(which.request, options_.id);
}

void endpoint_emulator::Step() {
  running_.remove_if([this](generation& run) {
    if (!std::exchange(run.began, true)) {
      run.answer->Begin(AnswerHeaders(run.request));
    }
    ++run.events_made;
    run.answer->Part(
        fmt::format("id: {}\ndata: {} {}\n\n", run.events_made, run.request, run.events_made));
    if (const auto backup = engines_.find(run.backup_address); backup != engines_.end()) {
      backup->second->copies_[run.request] = run.events_made;
    }
    if (run.events_made < run.events_total) {
      return false;
    }
    End(run);
    run.answer->End();
    return true;
  });
  timer_.expires_after(options_.step);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Step();
    }
  });
}

void endpoint_emulator::CopyMemory(const incoming_request& request, const responder_ptr& answer) {
  const nlohmann::json call = nlohmann::json::parse(request.body, nullptr, false);
  const auto run = std::ranges::find(running_, std::string(call["id"]), &generation::request);
  if (run == running_.end()) {
    answer->Whole(kNotFound, {}, "{}");
    return;
  }
  const auto target = engines_.find(call["to"]);
  if (target == engines_.end()) {
    answer->Whole(kUnavailable, {}, "{}");
    return;
  }
  const std::string handle = run->request + "-copy";
  target->second->copies_[handle] = run->events_made;
  answer->Whole(kOk, {},
                nlohmann::json{{"handle", handle}, {"create-rev", run->events_made}}.dump());
}

void endpoint_emulator::Crash() {
  for (const generation& run : std::exchange(running_, {})) {
    run.answer->on_closed = nullptr;
    End(run);
  }
  copies_.clear();
  engines_.erase(address());
  service_.Close();
}

}  // namespace tarragon::emulator
