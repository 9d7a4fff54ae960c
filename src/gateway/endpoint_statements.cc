#include "tarragon/gateway/endpoint_statements.h"

#include <fmt/format.h>

#include <chrono>
#include <optional>
#include <utility>

namespace tarragon::gateway {

namespace {

constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

std::int64_t Milliseconds(duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

void RecordRateLimit(gateway_state& gateway,
                     routing::endpoint& target,
                     const http::message_head& head,
                     std::string_view request_id) {
  const std::optional<double> per_second = gateway.adapter.ReadRateLimit(head.headers);
  // Only the endpoint itself can say that it is no longer limited, not a proxy before it.
  if (!per_second && !head.headers.Find(gateway.adapter.names().signature)) {
    return;
  }
  if (target.limit.RecordAnswer(per_second) != routing::limit_change::kNone) {
    gateway.log.LogRequest(
        "endpoint_limit", {{"endpoint", target.entry.id},
                           {"per_second", per_second ? fmt::format("{:.3f}", *per_second) : "none"},
                           {"own_sends", target.limit.OwnSends(gateway.time.Now())},
                           {"request", request_id}});
  }
}

void RecordBrittleness(gateway_state& gateway,
                       routing::endpoint& target,
                       const http::message_head& head,
                       std::string_view request_id) {
  const std::optional<double> per_second = gateway.adapter.ReadBrittleness(head.headers);
  // Only the endpoint itself can say that it is no longer brittle, not a proxy before it.
  if (!per_second && !head.headers.Find(gateway.adapter.names().signature)) {
    return;
  }
  if (std::exchange(target.is_brittle, per_second.has_value()) != per_second.has_value()) {
    gateway.log.LogRequest(
        "endpoint_brittle",
        {{"endpoint", target.entry.id},
         {"per_second", per_second ? fmt::format("{:.3f}", *per_second) : "none"},
         {"request", request_id}});
  }
}

void RecordLeaving(gateway_state& gateway,
                   const routing::endpoint_ptr& target,
                   const http::message_head& head,
                   std::string_view request_id) {
  const leaving_statement statement = gateway.adapter.ReadLeaving(head.headers);
  if (statement == leaving_statement::kUnreadable) {
    gateway.log.LogRequest(
        "unreadable_statement",
        {{"endpoint", target->entry.id}, {"statement", "leaving"}, {"request", request_id}});
  }
  if (statement != leaving_statement::kLeaving) {
    return;
  }
  // With this status another incarnation at the address answers for the one that was meant.
  if (head.status == kMisdirected) {
    gateway.endpoints.MarkSuccessorsLeaving(gateway.time.Now(), *target);
  } else {
    gateway.endpoints.MarkLeavingByResponse(gateway.time.Now(), target);
  }
}

void RecordPause(gateway_state& gateway,
                 routing::endpoint& target,
                 const http::message_head& head,
                 std::string_view request_id) {
  if (head.status != kUnavailable) {
    return;
  }
  const pause_statement statement = gateway.adapter.ReadPause(head.headers);
  const bool is_cut =
      statement.time.value_or(duration::zero()) > routing::endpoint_pause::kMaxPause;
  if (statement.is_irregular || is_cut) {
    gateway.log.LogRequest(
        "unreadable_statement",
        {{"endpoint", target.entry.id}, {"statement", "pause"}, {"request", request_id}});
  }
  const time_point now = gateway.time.Now();
  if (statement.time && target.pause.Record(now, *statement.time)) {
    gateway.counters.Counter("tarragon_gateway_endpoint_pauses_total").Add();
    gateway.log.LogRequest("endpoint_paused",
                           {{"endpoint", target.entry.id},
                            {"pause_ms", Milliseconds(target.pause.Remaining(now))},
                            {"own", target.own_load.requests},
                            {"request", request_id}});
  }
}

}  // namespace

void RecordStatements(gateway_state& gateway,
                      const routing::endpoint_ptr& target,
                      const http::message_head& head,
                      std::string_view request_id) {
  if (const auto load = gateway.adapter.ReadLoadReport(head.headers)) {
    target->slowness.Record(gateway.time.Now(), load->slowness);
  }
  RecordRateLimit(gateway, *target, head, request_id);
  RecordBrittleness(gateway, *target, head, request_id);
  RecordPause(gateway, *target, head, request_id);
  RecordLeaving(gateway, target, head, request_id);
}

}  // namespace tarragon::gateway
