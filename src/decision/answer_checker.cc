#include "decision/answer_checker.h"

#include <utility>
#include <variant>

#include "tarragon/base/invariant.h"

namespace tarragon::decision {

void answer_checker::Open(request_id request) {
  const bool added = answers_.emplace(request, answer{}).second;
  TARRAGON_INVARIANT(added, "request opened twice");
}

void answer_checker::SetResumed(request_id request,
                                generation_id generation,
                                std::uint32_t next_index) {
  At(request) = {std::move(generation), next_index, false};
}

void answer_checker::Check(const action& what) {
  std::visit([this](const auto& one) { CheckOne(one); }, what);
}

answer_checker::answer& answer_checker::At(request_id request) {
  const auto place = answers_.find(request);
  TARRAGON_INVARIANT(place != answers_.end(), "action for a request that has finished");
  return place->second;
}

void answer_checker::CheckOne(const start_stream& what) {
  answer& at = At(what.request);
  TARRAGON_INVARIANT(at.next_index == 0 || at.generation == what.generation,
                     "generation changed without a restart");
  at.generation = what.generation;
}

void answer_checker::CheckOne(const restart_stream& what) {
  answer& at = At(what.request);
  TARRAGON_INVARIANT(at.generation != what.generation, "restart with the same generation");
  at = {what.generation, 0, false};
}

void answer_checker::CheckOne(const deliver_token& what) {
  answer& at = At(what.request);
  TARRAGON_INVARIANT(at.generation == what.generation, "token of another generation");
  TARRAGON_INVARIANT(at.next_index == what.index, "token out of order");
  ++at.next_index;
}

void answer_checker::CheckOne(const deliver_response& what) {
  answer& at = At(what.request);
  TARRAGON_INVARIANT(!std::exchange(at.responded, true), "two responses to one call");
}

void answer_checker::CheckOne(const finish_request& what) {
  At(what.request);
  answers_.erase(what.request);
}

}  // namespace tarragon::decision
