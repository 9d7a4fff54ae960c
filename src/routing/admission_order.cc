#include "tarragon/routing/admission_order.h"

#include <tuple>

namespace tarragon::routing {

namespace {

auto RankOf(const queued_request& request) {
  const duration slack = request.latency_objective - request.age;
  return std::tuple(slack < duration::zero(), request.priority, request.account_tokens, slack);
}

}  // namespace

bool Precedes(const queued_request& a, const queued_request& b) {
  return RankOf(a) < RankOf(b);
}

}  // namespace tarragon::routing
