#include "fakes/fake_endpoint/event_stream.h"

#include <fmt/format.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <string_view>
#include <thread>
#include <utility>

namespace tarragon::fakes {

namespace {

constexpr std::chrono::seconds kKeepAliveInterval{1};
// Limits the time until a closed connection is detected.
constexpr std::chrono::milliseconds kMaxWait{100};
constexpr std::string_view kKeepAlive = ": keep-alive\n\n";

}  // namespace

std::string ChoiceJson(const generation_id& id,
                       const std::string& text,
                       const std::string& finish_reason) {
  nlohmann::json choice = {{"text", text}, {"index", 0}, {"finish_reason", nullptr}};
  if (!finish_reason.empty()) {
    choice["finish_reason"] = finish_reason;
  }
  return nlohmann::json{{"id", id}, {"choices", {choice}}}.dump();
}

event_stream::event_stream(generation_ptr source,
                           generation_id reported_id,
                           std::uint32_t from,
                           duration link_delay,
                           const clock& time,
                           const fault_state& faults)
    : source_(std::move(source)),
      reported_id_(std::move(reported_id)),
      next_index_(from),
      link_delay_(link_delay),
      clock_(time),
      faults_(faults),
      last_write_(time.Now()) {
  source_->Attach();
}

event_stream::~event_stream() {
  source_->Detach(clock_.Now());
}

bool event_stream::SendNext(httplib::DataSink& sink) {
  const generation_progress progress = source_->WaitFor(next_index_, kMaxWait);
  faults_.WaitWhileFrozen(clock_);
  // cpp-httplib detects a closed connection only when a write fails, which takes two keep-alives.
  if (!sink.is_writable()) {
    return false;
  }
  const bool ended = progress.state != generation_state::kActive;
  for (std::size_t i = 0; i < progress.produced_at.size(); ++i) {
    // The delay counts from the production of the token, so that it does not lower the rate.
    std::this_thread::sleep_until(progress.produced_at[i] + link_delay_);
    const bool last =
        progress.state == generation_state::kFinished && i + 1 == progress.produced_at.size();
    const std::string event = TokenEvent(last ? progress.finish_reason : std::string());
    if (!sink.write(event.data(), event.size())) {
      return false;
    }
    ++next_index_;
    last_write_ = clock_.Now();
  }
  if (ended) {
    return SendEnd(sink, progress);
  }
  if (clock_.Now() - last_write_ >= kKeepAliveInterval) {
    last_write_ = clock_.Now();
    return sink.write(kKeepAlive.data(), kKeepAlive.size());
  }
  return true;
}

std::string event_stream::TokenEvent(const std::string& finish_reason) const {
  return fmt::format("id: {}\ndata: {}\n\n", next_index_,
                     ChoiceJson(reported_id_, TokenText(reported_id_, next_index_), finish_reason));
}

bool event_stream::SendEnd(httplib::DataSink& sink, const generation_progress& progress) {
  std::string end;
  if (progress.state == generation_state::kCancelled) {
    end = fmt::format("data: {}\n\n", ChoiceJson(reported_id_, "", progress.finish_reason));
  }
  end += "data: [DONE]\n\n";
  if (!sink.write(end.data(), end.size())) {
    return false;
  }
  sink.done();
  return true;
}

}  // namespace tarragon::fakes
