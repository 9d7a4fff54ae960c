#include "tarragon/gateway/request_queue.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace tarragon::gateway {

void request_queue::Join(const std::string& service,
                         std::shared_ptr<queue_member> member,
                         std::chrono::milliseconds delay) {
  service_queue& queue = queues_.try_emplace(service, loop_).first->second;
  ReportSize(member->DescribePlace().priority, 1);
  queue.members.push_back(std::move(member));
  if (std::exchange(queue.is_turn_scheduled, true)) {
    return;
  }
  queue.timer.expires_after(delay);
  queue.timer.async_wait([this, service](const asio::error_code& error) {
    if (!error) {
      TakeTurns(service);
    }
  });
}

bool request_queue::HasPredecessor(const std::string& service,
                                   const routing::queued_request& request) const {
  const auto found = queues_.find(service);
  return found != queues_.end() &&
         std::ranges::any_of(found->second.members, [&](const auto& member) {
           return member->IsWaiting() && Precedes(member->DescribePlace(), request);
         });
}

void request_queue::TakeTurns(const std::string& service) {
  service_queue& queue = queues_.at(service);
  queue.is_turn_scheduled = false;
  struct place {
    routing::queued_request request;
    std::shared_ptr<queue_member> member;
  };
  std::vector<place> places;
  for (std::shared_ptr<queue_member>& member : std::exchange(queue.members, {})) {
    const routing::queued_request request = member->DescribePlace();
    ReportSize(request.priority, -1);
    if (member->IsWaiting()) {
      places.push_back({request, std::move(member)});
    }
  }
  std::ranges::stable_sort(places, routing::Precedes, &place::request);
  std::ranges::for_each(places, [](const place& next) { next.member->OnTurn(); });
}

void request_queue::ReportSize(int priority, std::ptrdiff_t change) {
  std::ptrdiff_t& size = sizes_[priority];
  size += change;
  counters_.Gauge("tarragon_gateway_queued_requests", fmt::format("priority=\"{}\"", priority))
      .Set(size);
}

}  // namespace tarragon::gateway
