#include "tarragon/net/response_writer.h"

#include <fmt/format.h>

#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "tarragon/base/run_verdict.h"
#include "tarragon/net/http_error.h"

namespace tarragon::net {

namespace {

std::string Dump(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

response_writer::response_writer(response_format format, std::string model)
    : format_(format), model_(std::move(model)) {}

void response_writer::SetGeneration(const generation_id& generation) {
  generation_ = generation;
  collected_text_.clear();
  collected_token_count_ = 0;
  const bool chat = format_ == response_format::kChat;
  json_before_text_ =
      fmt::format(R"({{"id":{},"object":"{}","model":{},"choices":[{{"index":0,{})",
                  Dump("cmpl-" + generation_), chat ? "chat.completion.chunk" : "text_completion",
                  Dump(model_), chat ? R"("delta":{"content":)" : R"("text":)");
  json_after_text_ = chat ? R"(},"finish_reason":null}]})" : R"(,"finish_reason":null}]})";
}

void response_writer::AppendToken(const decision::deliver_token& token, std::string& out) const {
  fmt::format_to(std::back_inserter(out), "id: {}:{}\ndata: {}{}{}\n\n", token.generation,
                 token.index, json_before_text_, Dump(token.text), json_after_text_);
}

void response_writer::AppendTicket(std::string_view event,
                                   std::string_view ticket,
                                   std::string& out) const {
  fmt::format_to(std::back_inserter(out), "event: {}\ndata: {}\n\n", event,
                 Dump({{"generation", generation_},
                       {"resumption_ticket", ticket},
                       {"choices", nlohmann::json::array()}}));
}

void response_writer::AppendEnd(const decision::finish_request& finish, std::string& out) const {
  const bool complete = finish.reason == decision::finish_reason::kCompleted;
  auto output = std::back_inserter(out);
  // Clients that ignore event names parse this object as a chunk, so it needs an empty `choices`.
  nlohmann::json final_event = {{"verdict", ToString(finish.verdict)},
                                {"choices", nlohmann::json::array()}};
  if (complete) {
    const bool chat = format_ == response_format::kChat;
    nlohmann::json choice = {{"index", 0}, {"finish_reason", finish.engine_reason}};
    choice.update(chat ? nlohmann::json{{"delta", nlohmann::json::object()}}
                       : nlohmann::json{{"text", ""}});
    fmt::format_to(output, "data: {}\n\n",
                   Dump({{"id", "cmpl-" + generation_},
                         {"object", chat ? "chat.completion.chunk" : "text_completion"},
                         {"model", model_},
                         {"choices", nlohmann::json::array({choice})}}));
  } else {
    final_event.update(nlohmann::json::parse(MakeError(finish).Body()));
  }
  fmt::format_to(output, "event: run-verdict\ndata: {}\n\n", Dump(final_event));
  if (complete) {
    fmt::format_to(output, "data: [DONE]\n\n");
  }
}

void response_writer::CollectToken(const decision::deliver_token& token) {
  collected_text_ += token.text;
  ++collected_token_count_;
}

std::string response_writer::BuildBody(const decision::finish_request& finish,
                                       std::uint32_t prompt_tokens) const {
  const bool chat = format_ == response_format::kChat;
  nlohmann::json choice = {{"index", 0}, {"finish_reason", finish.engine_reason}};
  if (chat) {
    choice["message"] = {{"role", "assistant"}, {"content", collected_text_}};
  } else {
    choice["text"] = collected_text_;
  }
  return Dump({{"id", "cmpl-" + generation_},
               {"object", chat ? "chat.completion" : "text_completion"},
               {"model", model_},
               {"choices", nlohmann::json::array({choice})},
               {"usage",
                {{"prompt_tokens", prompt_tokens},
                 {"completion_tokens", collected_token_count_},
                 {"total_tokens", prompt_tokens + collected_token_count_}}}});
}

}  // namespace tarragon::net
