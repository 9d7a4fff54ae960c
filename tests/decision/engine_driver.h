#ifndef TARRAGON_DECISION_ENGINE_DRIVER_H_
#define TARRAGON_DECISION_ENGINE_DRIVER_H_

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tarragon/base/metrics.h"
#include "tarragon/decision/engine_options.h"
#include "tarragon/decision/request_engine.h"

namespace tarragon::decision {

/** Passes events to one engine and keeps the actions of the last step. */
class engine_driver final {
 public:
  /** @param endpoints number of endpoints of each of the two services. */
  explicit engine_driver(int endpoints, engine_options options = {}, std::uint64_t seed = 1)
      : engine_(std::move(options), seed, counters_) {
    using enum document::loss_policy;
    contents_.accounts = {{.name = "shop", .weight = 1, .token_sha256 = {}}};
    contents_.classes = {{.name = "hold", .on_loss = kHold},
                         {.name = "restart", .on_loss = kRestart},
                         {.name = "end", .on_loss = kEnd},
                         {.name = "read", .on_loss = kEnd, .urgent = true}};
    contents_.services.resize(2);
    contents_.services[0].name = "drafter";
    contents_.services[1].name = "booking";
    for (int i = 0; i < endpoints; ++i) {
      for (const auto& service : contents_.services) {
        contents_.endpoints.push_back({.name = fmt::format("{}-{}", service.name, i),
                                       .address = "127.0.0.1:1",
                                       .service = service.name,
                                       .failure_domain = "a"});
      }
    }
    PublishDocument();
  }

  /** Passes a new document version with the current `contents` to the engine. */
  void PublishDocument() {
    HandleEvent(
        document_changed{document::operating_document::MakeForTesting(++version_, contents_)});
  }

  const std::vector<action>& HandleEvent(const event& input) {
    actions_.clear();
    engine_.HandleEvent(now_, input, actions_);
    engine_.Validate();
    return actions_;
  }

  /** Advances the time in ticks of at most 50 ms and keeps the actions of all of them. */
  const std::vector<action>& Advance(std::chrono::milliseconds time) {
    std::vector<action> all;
    for (std::chrono::milliseconds step{50}; time.count() > 0; time -= step) {
      now_ += std::min(step, time);
      HandleEvent(tick{});
      all.insert(all.end(), actions_.begin(), actions_.end());
    }
    actions_ = std::move(all);
    return actions_;
  }

  request_properties MakeGeneration(const std::string& request_class,
                                    std::uint64_t request_fingerprint = 0) {
    request_properties properties;
    properties.request = {++last_request_};
    properties.account = "shop";
    properties.service = "drafter";
    properties.request_class = request_class;
    properties.prompt_tokens = 10;
    properties.request_fingerprint = {request_fingerprint == 0 ? 1000 + last_request_
                                                               : request_fingerprint};
    properties.deadline = now_ + std::chrono::seconds(30);
    return properties;
  }

  request_properties MakeCall(const std::string& key) {
    request_properties properties = MakeGeneration("read");
    properties.kind = request_kind::kServiceCall;
    properties.service = "booking";
    properties.repeatable = key.empty();
    properties.idempotency_key = key;
    return properties;
  }

  /** @return actions of type `T` of the last step. */
  template <typename T>
  std::vector<T> ActionsOf() const {
    std::vector<T> found;
    for (const action& emitted : actions_) {
      if (const T* match = std::get_if<T>(&emitted)) {
        found.push_back(*match);
      }
    }
    return found;
  }

  /** @return the action of type `T` of the last step; a default one unless there is exactly one. */
  template <typename T>
  T OnlyActionOf() const {
    const std::vector<T> found = ActionsOf<T>();
    return found.size() == 1 ? found.front() : T{};
  }

  /** Sends a request that an endpoint accepts. @return the accepted attempt. */
  send_attempt StartAccepted(const request_properties& properties) {
    HandleEvent(request_arrived{properties});
    send_attempt sent = OnlyActionOf<send_attempt>();
    HandleEvent(attempt_accepted{sent.attempt});
    return sent;
  }

  /** Simulates an endpoint that crashes and loses the generation; keeps the last actions. */
  void LoseGeneration(attempt_id attempt) {
    HandleEvent(attempt_failed{attempt, run_verdict::kMayHaveRun, failure_cause::kConnectionLost});
    Advance(std::chrono::milliseconds(100));
    const auto resumed = OnlyActionOf<resume_attempt>();
    HandleEvent(
        attempt_failed{resumed.attempt, run_verdict::kNotRun, failure_cause::kGenerationUnknown});
  }

  std::int64_t Counter(const std::string& name) { return counters_.Counter(name).Value(); }
  request_engine& engine() { return engine_; }
  document::document_contents& contents() { return contents_; }
  time_point now() const { return now_; }

 private:
  metrics counters_;
  document::document_contents contents_;
  request_engine engine_;
  time_point now_{std::chrono::hours(1)};
  std::vector<action> actions_;
  std::uint64_t last_request_ = 0;
  std::uint64_t version_ = 0;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_ENGINE_DRIVER_H_
