#include "decision/answer_checker.h"

#include <utility>
#include <variant>

#include "tarragon/base/invariant.h"

namespace tarragon::decision {

void answer_checker::Open(request_id request) {
  const bool inserted = answers_.emplace(request, answer{}).second;
  TARRAGON_INVARIANT(inserted, "request opened twice");
}

void answer_checker::SetResumed(request_id request,
                                generation_id generation,
                                std::uint32_t next_index) {
  GetAnswer(request) = {std::move(generation), next_index, false};
}

void answer_checker::Check(const action& emitted) {
  std::visit([this](const auto& alternative) { CheckAction(alternative); }, emitted);
}

answer_checker::answer& answer_checker::GetAnswer(request_id request) {
  const auto it = answers_.find(request);
  TARRAGON_INVARIANT(it != answers_.end(), "action for a request that has finished");
  return it->second;
}

void answer_checker::CheckAction(const start_stream& start) {
  answer& current = GetAnswer(start.request);
  TARRAGON_INVARIANT(current.next_index == 0 || current.generation == start.generation,
                     "generation changed without a restart");
  current.generation = start.generation;
}

void answer_checker::CheckAction(const restart_stream& restart) {
  answer& current = GetAnswer(restart.request);
  TARRAGON_INVARIANT(current.generation != restart.generation, "restart with the same generation");
  current = {restart.generation, 0, false};
}

void answer_checker::CheckAction(const deliver_token& token) {
  answer& current = GetAnswer(token.request);
  TARRAGON_INVARIANT(current.generation == token.generation, "token of another generation");
  TARRAGON_INVARIANT(current.next_index == token.index, "token out of order");
  ++current.next_index;
}

void answer_checker::CheckAction(const deliver_response& response) {
  answer& current = GetAnswer(response.request);
  TARRAGON_INVARIANT(!std::exchange(current.responded, true), "two responses to one call");
}

void answer_checker::CheckAction(const finish_request& finish) {
  GetAnswer(finish.request);
  answers_.erase(finish.request);
}

}  // namespace tarragon::decision
