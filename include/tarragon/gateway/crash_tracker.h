#ifndef TARRAGON_GATEWAY_CRASH_TRACKER_H_
#define TARRAGON_GATEWAY_CRASH_TRACKER_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/gateway/gateway_state.h"
#include "tarragon/gateway/request_admission.h"
#include "tarragon/routing/crash_quarantine.h"
#include "tarragon/routing/endpoint_registry.h"

namespace tarragon::gateway {

/**
 * Tells the quarantine what one request shows: that an endpoint ended while it had the request, or
 * that the request was answered and crashes no endpoint.
 */
class crash_tracker final {
 public:
  explicit crash_tracker(gateway_state& gateway) : gateway_(gateway) {}

  void OnAdmitted(std::string_view request_id, const admitted_request& admitted);
  void OnSent(const routing::endpoint_ptr& target);
  /** Called when the head of the response has arrived. */
  void OnAnswerBegun();
  /** Called when an event of a stream has arrived. */
  void OnEvent();
  void OnAnswered();
  /** Called when the connection was lost before the response was complete. */
  void OnConnectionLost();

  bool IsQuarantined() const;

 private:
  /**
   * Requests that crash endpoints do so within some 100 ms of their first token. A stream that has
   * gone on for longer neither crashes its endpoint nor counts as the cause of a later crash. One
   * without an event may do so at any time, since slow endpoints take longer.
   */
  static constexpr std::chrono::milliseconds kMaxTimeToCrash{500};

  void RecordAnswered();
  bool HasRunForLong() const;
  /** @return time since the head of the response arrived; empty if it has not. */
  std::optional<duration> AnswerAge() const;

  gateway_state& gateway_;
  std::string request_id_;
  std::vector<std::string> shared_parts_;
  std::vector<routing::request_trait> traits_;
  routing::endpoint_ptr target_;
  time_point sent_at_;
  std::optional<time_point> answer_begun_at_;
  /** An event has arrived in this send. */
  bool has_event_ = false;
  /** This send has been recorded as answered. */
  bool answered_ = false;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_CRASH_TRACKER_H_
