#include "fakes/fake_endpoint/model_service.h"

#include <fmt/format.h>

#include <charconv>
#include <chrono>
#include <limits>
#include <optional>
#include <thread>
#include <utility>

#include "fakes/fake_endpoint/event_stream.h"

namespace tarragon::fakes {

namespace {

constexpr std::chrono::milliseconds kMaxWait{100};

template <typename T>
std::optional<T> ParseNumber(const std::string& text) {
  T value{};
  const auto [last, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool whole = error == std::errc() && last == text.data() + text.size();
  return whole ? std::optional(value) : std::nullopt;
}

bool IsUnsigned(const nlohmann::json& body, const char* key, std::uint64_t limit) {
  return body.contains(key) && body[key].is_number_unsigned() &&
         body[key].get<std::uint64_t>() <= limit;
}

bool IsAbsentOrString(const nlohmann::json& body, const char* key) {
  return !body.contains(key) || body[key].is_string();
}

// Returns empty if the body violates the protocol.
std::optional<engine_request> ParseCompletion(const nlohmann::json& body) {
  constexpr std::uint32_t kMaxTokens = std::numeric_limits<std::uint32_t>::max();
  if (body.is_discarded() || !body.contains("prompt") || !body["prompt"].is_string() ||
      !IsAbsentOrString(body, "model") || !IsAbsentOrString(body, "adapter") ||
      (body.contains("priority") && !body["priority"].is_number_integer()) ||
      (body.contains("stream") && !body["stream"].is_boolean()) ||
      (body.contains("max_tokens") && (!IsUnsigned(body, "max_tokens", kMaxTokens) ||
                                       body["max_tokens"].get<std::uint64_t>() == 0))) {
    return std::nullopt;
  }
  engine_request parsed{.id = {},
                        .model = body.value("model", ""),
                        .adapter = body.value("adapter", ""),
                        .prompt = body["prompt"].get<std::string>(),
                        .max_tokens = std::nullopt,
                        .priority = body.value("priority", 0)};
  if (body.contains("max_tokens")) {
    parsed.max_tokens = body["max_tokens"].get<std::uint32_t>();
  }
  return parsed;
}

// A field that is absent keeps its value from the last order.
std::optional<order> ParseOrder(const nlohmann::json& body, served_state wanted) {
  constexpr std::uint64_t kNoLimit = std::numeric_limits<std::uint64_t>::max();
  if (body.is_discarded() || !IsUnsigned(body, "fencing", kNoLimit) ||
      !IsUnsigned(body, "document_version", kNoLimit) || !IsAbsentOrString(body, "model") ||
      !IsAbsentOrString(body, "version") || !IsAbsentOrString(body, "role")) {
    return std::nullopt;
  }
  wanted.model = body.value("model", wanted.model);
  wanted.version = body.value("version", wanted.version);
  wanted.role = body.value("role", wanted.role);
  if (body.contains("adapters")) {
    wanted.adapters.clear();
    for (const nlohmann::json& adapter : body["adapters"]) {
      if (!adapter.is_string()) {
        return std::nullopt;
      }
      wanted.adapters.push_back(adapter.get<std::string>());
    }
  }
  return order{body["fencing"].get<std::uint64_t>(), body["document_version"].get<std::uint64_t>(),
               std::move(wanted)};
}

void SetRefusalResponse(httplib::Response& response, engine_outcome outcome) {
  switch (outcome) {
    case engine_outcome::kAccepted:
      break;
    case engine_outcome::kDeclined:
      response.set_header("Retry-After", "1");
      SetErrorResponse(response, 429, "declined", "the engine does not accept requests now");
      break;
    case engine_outcome::kDuplicate:
      SetErrorResponse(response, 409, "duplicate_generation",
                       "the generation id has been used before");
      break;
    case engine_outcome::kNotServed:
      SetErrorResponse(response, 422, "model_not_served", "the model or adapter is not loaded");
      break;
    case engine_outcome::kTooLong:
      SetErrorResponse(response, 422, "prompt_too_long", "the prompt does not fit in the KV cache");
      break;
  }
}

}  // namespace

model_service::model_service(engine& served,
                             desired_state& desired,
                             fault_state& faults,
                             const clock& time,
                             duration link_delay,
                             std::uint64_t seed)
    : engine_(served),
      desired_(desired),
      faults_(faults),
      clock_(time),
      link_delay_(link_delay),
      random_(seed) {}

void model_service::Register(stand_in_server& server) {
  using httplib::Request;
  using httplib::Response;
  server.Post("/v1/completions", [this](const Request& request, Response& response) {
    HandleCompletion(request, response);
  });
  server.Get("/v1/generations/([^/]+)/events", [this](const Request& request, Response& response) {
    HandleResume(request, response);
  });
  server.Delete("/v1/generations/([^/]+)", [this](const Request& request, Response& response) {
    HandleCancel(request, response);
  });
  server.Put("/v1/desired", [this](const Request& request, Response& response) {
    HandleDesired(request, response);
  });
  server.Get("/v1/cache_events", [this](const Request& request, Response& response) {
    HandleCacheEvents(request, response);
  });
  const auto send_load = [this](const Request&, Response& response) {
    SetJsonResponse(response, 200, engine_.LoadReport());
  };
  server.Get("/v1/load", send_load);
  server.Get("/load", send_load);
  server.Get("/stats", [this](const Request&, Response& response) {
    SetJsonResponse(response, 200, engine_.Stats());
  });
}

void model_service::HandleCompletion(const httplib::Request& request, httplib::Response& response) {
  const nlohmann::json body = ParseObject(request.body);
  std::optional<engine_request> parsed = ParseCompletion(body);
  if (!parsed) {
    SetErrorResponse(response, 400, "bad_request",
                     "expected {model, prompt, max_tokens > 0, priority, stream, adapter}");
    return;
  }
  parsed->id = request.get_header_value("X-Request-Id");
  if (parsed->id.empty()) {
    parsed->id = MakeId();
  }
  const submit_result result = engine_.Submit(*parsed);
  std::this_thread::sleep_for(faults_.ResponseDelay(clock_.Now()));
  if (!result.accepted) {
    SetRefusalResponse(response, result.outcome);
    return;
  }
  generation_id reported_id = parsed->id;
  if (faults_.TakeCrossed()) {
    reported_id = engine_.FindOther(parsed->id).value_or(MakeId());
  }
  if (body.value("stream", false)) {
    RespondWithStream(response, result.accepted, reported_id, 0);
  } else {
    RespondWhenComplete(response, result.accepted, reported_id);
  }
}

void model_service::HandleResume(const httplib::Request& request, httplib::Response& response) {
  const std::string from_text = request.has_param("from") ? request.get_param_value("from") : "0";
  const auto from = ParseNumber<std::uint32_t>(from_text);
  if (!from) {
    SetErrorResponse(response, 400, "bad_request", "expected ?from=N with N >= 0");
    return;
  }
  const generation_ptr found = engine_.Find(request.matches[1].str());
  std::this_thread::sleep_for(faults_.ResponseDelay(clock_.Now()));
  if (!found) {
    SetErrorResponse(response, 404, "unknown_generation", "the generation is unknown or expired");
    return;
  }
  RespondWithStream(response, found, found->id(), *from);
}

void model_service::HandleCancel(const httplib::Request& request, httplib::Response& response) {
  const std::optional<cancel_result> cancelled = engine_.Cancel(request.matches[1].str());
  if (!cancelled) {
    SetErrorResponse(response, 404, "unknown_generation", "the generation is unknown or expired");
    return;
  }
  SetJsonResponse(response, 200,
                  {{"id", cancelled->summary.id},
                   {"stopped", cancelled->stopped},
                   {"was_running", cancelled->was_running},
                   {"tokens", cancelled->summary.tokens},
                   {"state", ToString(cancelled->summary.state)}});
}

void model_service::HandleDesired(const httplib::Request& request, httplib::Response& response) {
  const std::optional<order> parsed =
      ParseOrder(ParseObject(request.body), desired_.LastOrder().wanted);
  if (!parsed) {
    SetErrorResponse(response, 400, "bad_request",
                     "expected {fencing, document_version, model, version, adapters, role}");
    return;
  }
  const order_outcome outcome = desired_.Apply(*parsed);
  if (outcome == order_outcome::kStaleRefused) {
    SetErrorResponse(response, 409, "stale_fencing", "a newer fencing number was received before");
    return;
  }
  SetJsonResponse(response, 200, {{"applied", true}, {"fencing", parsed->fencing}});
}

void model_service::HandleCacheEvents(const httplib::Request& request,
                                      httplib::Response& response) {
  const std::string after_text =
      request.has_param("after") ? request.get_param_value("after") : "0";
  const auto after = ParseNumber<std::uint64_t>(after_text);
  if (!after) {
    SetErrorResponse(response, 400, "bad_request", "expected ?after=N with N >= 0");
    return;
  }
  SetJsonResponse(response, 200, engine_.CacheEvents(*after));
}

void model_service::RespondWithStream(httplib::Response& response,
                                      const generation_ptr& source,
                                      const generation_id& reported_id,
                                      std::uint32_t from) {
  const auto stream =
      std::make_shared<event_stream>(source, reported_id, from, link_delay_, clock_, faults_);
  response.status = 200;
  response.set_header("Cache-Control", "no-store");
  response.set_chunked_content_provider(
      "text/event-stream",
      [stream](std::size_t, httplib::DataSink& sink) { return stream->SendNext(sink); });
}

void model_service::RespondWhenComplete(httplib::Response& response,
                                        const generation_ptr& source,
                                        const generation_id& reported_id) {
  source->Attach();
  while (source->IsActive() && stand_in_server::IsCallerPresent()) {
    source->WaitFor(std::numeric_limits<std::uint32_t>::max(), kMaxWait);
  }
  source->Detach(clock_.Now());
  const generation_progress progress = source->WaitFor(0, duration::zero());
  std::string text;
  for (std::uint32_t i = 0; i < progress.produced_at.size(); ++i) {
    text += TokenText(reported_id, i);
  }
  const generation_summary summary = source->Summary();
  nlohmann::json result =
      nlohmann::json::parse(ChoiceJson(reported_id, text, progress.finish_reason));
  result["usage"] = {{"prompt_tokens", summary.prompt_tokens},
                     {"completion_tokens", summary.tokens}};
  SetJsonResponse(response, 200, result);
}

generation_id model_service::MakeId() {
  std::lock_guard lock(mutex_);
  const std::uint64_t high = random_();
  const std::uint64_t low = random_();
  return fmt::format("{:016x}{:016x}", high, low);
}

}  // namespace tarragon::fakes
